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

// answerGrace is how long past the deadline the gate's own verdict is awaited.
const answerGrace = 50 * time.Millisecond

// errAborted says that the gate marked the answer as broken off.
var errAborted = errors.New("answer was aborted")

// sendRun writes a run and its body. An error leaves open what arrived.
func sendRun(s *linker.Stream, run *encoder.Run, body []byte) error {
	head := &encoder.Request{Message: &encoder.Request_Run{Run: run}}
	if len(body) == 0 {
		return s.Send(head)
	}
	if len(body) <= encoder.ChunkBytes {
		return s.Send(head, &encoder.Chunk{Data: body})
	}
	if err := s.Send(head); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), encoder.ChunkBytes)
		if err := s.Send(&encoder.Chunk{Data: body[:n]}); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// bindStream ends reads on the stream when ctx ends. The returned function
// undoes it.
func bindStream(ctx context.Context, s *linker.Stream, deadline time.Time) func() bool {
	_ = s.SetDeadline(deadline)
	return context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Unix(1, 0)) })
}

// trackingSink notes whether the caller has seen the head of an answer. After
// that no other answer can follow.
type trackingSink struct {
	Sink
	begun bool
}

// Head implements Sink.
func (s *trackingSink) Head(status int, headers []*encoder.Header, length int64) {
	s.begun = true
	s.Sink.Head(status, headers, length)
}

// received is an answer as far as it was read.
type received struct {
	head *encoder.Answer
	// whole is true when the end frame matched the body.
	whole bool
	// unspent is the part of the allowance that came back.
	unspent uint32
}

// receiver is the reading side of a *linker.Stream.
type receiver interface {
	Receive(m proto.Message) error
}

// receiveAnswer reads the head and the body of an answer. A body of up to hold
// bytes reaches the sink only when it is whole.
func receiveAnswer(s receiver, id *encoder.AttemptId, hold int, sink *trackingSink) (received, error) {
	got := received{head: &encoder.Answer{}}
	if err := s.Receive(got.head); err != nil {
		got.head = nil
		return got, err
	}
	if !proto.Equal(got.head.GetId(), id) {
		got.head = nil
		return got, errors.New("answer carries another attempt id")
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
	var held bytes.Buffer
	for {
		frame := &encoder.BodyFrame{}
		if err := s.Receive(frame); err != nil {
			return got, err
		}
		switch f := frame.GetFrame().(type) {
		case *encoder.BodyFrame_Data:
			_, _ = digest.Write(f.Data)
			length += uint64(len(f.Data))
			if !sink.begun && held.Len()+len(f.Data) <= hold {
				held.Write(f.Data)
				continue
			}
			if !sink.begun {
				sink.Head(int(got.head.GetStatus()), got.head.GetHeaders(), got.head.GetBodyLength())
				if err := sink.Write(held.Bytes()); err != nil {
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
			got.whole = true
			if sink.begun {
				return got, nil
			}
			sink.Head(int(got.head.GetStatus()), got.head.GetHeaders(), int64(held.Len()))
			return got, sink.Write(held.Bytes())
		default:
			return got, errors.New("empty body frame")
		}
	}
}

func checkEnd(end *encoder.End, stated int64, length, digest uint64) error {
	if end.GetAborted() {
		return errAborted
	}
	if end.GetLength() != length || end.GetXxhash64() != digest || (stated >= 0 && uint64(stated) != length) {
		return errors.Newf("answer has %d bytes, its end states %d bytes or another digest", length, end.GetLength())
	}
	return nil
}
