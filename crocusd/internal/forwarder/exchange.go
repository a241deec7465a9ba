package forwarder

import (
	"bytes"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"crocustack/core/encoder"
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

// receiveAnswer reads the head and the body of an answer. A body of up to hold
// bytes is passed to the sink only once it is complete.
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
	return receiveBody(s, got, hold, sink)
}

func receiveBody(s receiver, got received, hold int, sink *trackingSink) (received, error) {
	digest := xxhash.New()
	length := uint64(0)
	var buffered bytes.Buffer
	for {
		frame := &encoder.BodyFrame{}
		if err := s.Receive(frame); err != nil {
			return got, err
		}
		switch f := frame.GetFrame().(type) {
		case *encoder.BodyFrame_Data:
			_, _ = digest.Write(f.Data)
			length += uint64(len(f.Data))
			if !sink.headSent && buffered.Len()+len(f.Data) <= hold {
				buffered.Write(f.Data)
				continue
			}
			if !sink.headSent {
				sink.Head(int(got.head.GetStatus()), got.head.GetHeaders(), got.head.GetBodyLength())
				if err := sink.Write(buffered.Bytes()); err != nil {
					return got, err
				}
			}
			if err := sink.Write(f.Data); err != nil {
				return got, err
			}
		case *encoder.BodyFrame_End:
			got.unspent = f.End.GetUnspent()
			if err := checkEnd(f.End, got.head.GetBodyLength(), length, digest.Sum64()); err != nil {
				return got, err
			}
			got.complete = true
			if sink.headSent {
				return got, nil
			}
			sink.Head(int(got.head.GetStatus()), got.head.GetHeaders(), int64(buffered.Len()))
			return got, sink.Write(buffered.Bytes())
		default:
			return got, errors.New("body frame has neither data nor end")
		}
	}
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
