package forwarder

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"crocustack/core/encoder"
	"crocustack/core/headreader"
	"crocustack/core/linker"
)

// answerGrace is how long past the deadline the sender waits for the gate to
// report the outcome itself.
const answerGrace = 50 * time.Millisecond

// errAborted means that the gate marked the body of the answer as incomplete.
var errAborted = errors.New("answer aborted by the gate")

// sendRun writes a run and its body. After an error it is unknown how much of them
// arrived. A body that may not fit into the window of the stream is written in the
// background: the upstream may answer at length before it reads the body. sent is closed
// when nothing more is written, which is when the stream is closed at the latest.
func sendRun(s *linker.Stream, run *encoder.Run, body []byte) (sent <-chan struct{}, err error) {
	done := make(chan struct{})
	head := &encoder.Request{Message: &encoder.Request_Run{Run: run}}
	if len(body) <= encoder.ChunkBytes {
		defer close(done)
		if len(body) == 0 {
			return done, s.Send(head)
		}
		return done, s.Send(head, &encoder.Chunk{Data: body})
	}
	if err := s.Send(head); err != nil {
		close(done)
		return done, err
	}
	go func() {
		defer close(done)
		sendBody(s, body)
	}()
	return done, nil
}

// sendBody writes a body in chunks. If it breaks off, so does the exchange: the answer
// says how.
func sendBody(s *linker.Stream, body []byte) {
	for len(body) > 0 {
		n := min(len(body), encoder.ChunkBytes)
		if s.Send(&encoder.Chunk{Data: body[:n]}) != nil {
			return
		}
		body = body[n:]
	}
}

// bindStream sets the deadline of the stream and makes its reads fail when ctx
// is done. The returned function stops watching ctx.
func bindStream(ctx context.Context, s *linker.Stream, deadline time.Time) func() bool {
	_ = s.SetDeadline(deadline)
	return context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
}

// trackingSink records whether the head of an answer has been passed to the
// caller. After that the request can't be answered differently.
type trackingSink struct {
	Sink
	headSent bool
}

// Head implements Sink.
func (s *trackingSink) Head(status int, headers []*encoder.Header, length int64) {
	s.headSent = true
	s.Sink.Head(status, headers, length)
}

// received is an answer, possibly read only in part.
type received struct {
	head *encoder.Answer
	// complete is true when the end frame has confirmed the body.
	complete bool
	// unspent is the part of the allowance that was returned.
	unspent uint32
}

// receiver is the reading side of a *linker.Stream.
type receiver interface {
	Receive(m proto.Message) error
}

// receiveAnswer reads the head and the body of an answer. A body of a stated length of up
// to hold bytes is passed to the sink only once it is complete. A gate states no length
// for one that it streams, which is passed on as it arrives: many slow clients would
// otherwise make the node hold the beginnings of all their answers.
func receiveAnswer(s receiver, id *encoder.AttemptId, hold int, sink *trackingSink) (received, error) {
	got := received{head: &encoder.Answer{}}
	if err := s.Receive(got.head); err != nil {
		got.head = nil
		return got, err
	}
	if !proto.Equal(got.head.GetId(), id) {
		got.head = nil
		return got, errors.New("answer is for a different attempt ID")
	}
	if got.head.GetOutcome() != encoder.Outcome_OUTCOME_RAN {
		got.unspent = got.head.GetUnspent()
		return got, nil
	}
	if err := checkHead(got.head); err != nil {
		return got, err
	}
	r := bodyReceiver{sink: sink, head: got.head, digest: xxhash.New()}
	if stated := got.head.GetBodyLength(); stated >= 0 {
		r.held = make([]byte, 0, min(stated, int64(hold)))
	}
	end, err := r.receive(s)
	got.unspent, got.complete = end.GetUnspent(), err == nil
	if err == nil {
		err = r.release()
	}
	return got, err
}

// checkHead checks what the client would get of the head of an answer. A gate of an
// earlier version passes on what its backend server sent.
func checkHead(head *encoder.Answer) error {
	if err := headreader.CheckStatus(int(head.GetStatus())); err != nil {
		return err
	}
	for _, h := range head.GetHeaders() {
		if err := headreader.CheckField(h.GetName(), h.GetValues()...); err != nil {
			return err
		}
	}
	return nil
}

// bodyReceiver receives the body of an answer.
type bodyReceiver struct {
	sink *trackingSink
	head *encoder.Answer
	// held holds the body so far until it is complete; nil for a body that is passed on
	// as it arrives. Its capacity is never exceeded.
	held   []byte
	digest *xxhash.Digest
	length uint64
}

// receive reads the body up to its end frame, which confirms it unless the error is set.
func (r *bodyReceiver) receive(s receiver) (*encoder.End, error) {
	for {
		frame := &encoder.BodyFrame{}
		if err := s.Receive(frame); err != nil {
			return nil, err
		}
		switch f := frame.GetFrame().(type) {
		case *encoder.BodyFrame_Data:
			if err := r.add(f.Data); err != nil {
				return nil, err
			}
		case *encoder.BodyFrame_End:
			return f.End, checkEnd(f.End, r.head.GetBodyLength(), r.length, r.digest.Sum64())
		default:
			return nil, errors.New("body frame has neither data nor end")
		}
	}
}

// add holds a part of the body or passes it on.
func (r *bodyReceiver) add(b []byte) error {
	_, _ = r.digest.Write(b)
	r.length += uint64(len(b))
	if len(b) <= cap(r.held)-len(r.held) {
		r.held = append(r.held, b...)
		return nil
	}
	if err := r.release(); err != nil {
		return err
	}
	return r.sink.Write(b)
}

// release passes on what is held, and makes the rest be passed on as it arrives.
func (r *bodyReceiver) release() error {
	if !r.sink.headSent {
		r.sink.Head(int(r.head.GetStatus()), r.head.GetHeaders(), r.head.GetBodyLength())
	}
	if len(r.held) == 0 {
		return nil
	}
	held := r.held
	r.held = nil
	return r.sink.Write(held)
}

// checkEnd compares an end frame with the body that was read. stated is the
// body length from the head of the answer, or negative when the head states
// none.
func checkEnd(end *encoder.End, stated int64, length, digest uint64) error {
	if end.GetAborted() {
		return errAborted
	}
	if end.GetLength() != length || end.GetXxhash64() != digest || (stated >= 0 && uint64(stated) != length) {
		return errors.Newf("answer body does not match its stated length or checksum: got %d bytes, end frame states %d", length, end.GetLength())
	}
	return nil
}
