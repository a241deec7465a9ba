package forwarder

import (
	"bytes"
	"io"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"crocustack/core/encoder"
	"crocustack/core/resolver"
)

// script returns its messages in order and then io.ErrUnexpectedEOF.
type script []proto.Message

func (s *script) Receive(m proto.Message) error {
	if len(*s) == 0 {
		return io.ErrUnexpectedEOF
	}
	proto.Merge(m, (*s)[0])
	*s = (*s)[1:]
	return nil
}

type recordingSink struct {
	status int
	body   bytes.Buffer
}

func (r *recordingSink) Head(status int, _ []*encoder.Header, _ int64) { r.status = status }
func (r *recordingSink) Write(b []byte) error                          { _, err := r.body.Write(b); return err }
func (r *recordingSink) Abort()                                        {}

func data(text string) proto.Message {
	return &encoder.BodyFrame{Frame: &encoder.BodyFrame_Data{Data: []byte(text)}}
}

func end(e *encoder.End) proto.Message {
	return &encoder.BodyFrame{Frame: &encoder.BodyFrame_End{End: e}}
}

// Guards against accepting an answer as complete, or passing it to the caller,
// when it belongs to another attempt or is too short, corrupt or aborted.
func TestReceiveAnswer(t *testing.T) {
	id := &encoder.AttemptId{SenderBootId: 7, Sequence: 3}
	ran := func(length int64) *encoder.Answer {
		return &encoder.Answer{Id: id, Outcome: encoder.Outcome_OUTCOME_RAN, Status: 201, BodyLength: length}
	}
	withStatus := func(status uint32) *encoder.Answer {
		return &encoder.Answer{Id: id, Outcome: encoder.Outcome_OUTCOME_RAN, Status: status, BodyLength: 6}
	}
	withHeader := func(name, value string) *encoder.Answer {
		return &encoder.Answer{Id: id, Outcome: encoder.Outcome_OUTCOME_RAN, Status: 201, BodyLength: 6, Headers: []*encoder.Header{encoder.NewHeader(name, value)}}
	}
	good := &encoder.End{Length: 6, Xxhash64: xxhash.Sum64String("abcdef"), Unspent: 2}
	tests := []struct {
		name  string
		in    script
		event resolver.Event
		shown string // Body passed to the caller when receiveAnswer returns.
	}{
		{"complete", script{ran(6), data("abc"), data("def"), end(good)}, resolver.AnswerRan{Status: 201}, "abcdef"},
		{"empty", script{ran(0), end(&encoder.End{Xxhash64: xxhash.Sum64(nil)})}, resolver.AnswerRan{Status: 201}, ""},
		{"other attempt", script{&encoder.Answer{Id: &encoder.AttemptId{SenderBootId: 7, Sequence: 4}, Outcome: encoder.Outcome_OUTCOME_RAN}}, resolver.LinkLost{}, ""},
		{"no head", script{}, resolver.LinkLost{}, ""},
		{"no end", script{ran(6), data("abc")}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"short", script{ran(6), data("abc"), end(good)}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"corrupt", script{ran(6), data("abcdeX"), end(good)}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"stated length differs", script{ran(7), data("abcdef"), end(good)}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"aborted", script{ran(6), data("abcdef"), end(&encoder.End{Length: 6, Xxhash64: good.GetXxhash64(), Aborted: true})}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"status 000", script{withStatus(0), data("abcdef"), end(good)}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"interim status", script{withStatus(103), data("abcdef"), end(good)}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"status 600", script{withStatus(600), data("abcdef"), end(good)}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"blank in a name", script{withHeader("X Odd", "a"), data("abcdef"), end(good)}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"line feed in a value", script{withHeader("X-Odd", "a\nb"), data("abcdef"), end(good)}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, ""},
		{"octets in a value", script{withHeader("X-Odd", "caf\xe9\t"), data("abcdef"), end(good)}, resolver.AnswerRan{Status: 201}, "abcdef"},
		{"long and truncated", script{ran(-1), data("abcdefgh"), data("ij")}, resolver.AnswerUnknown{Reason: resolver.ReasonBroken}, "abcdefghij"},
		{"not run", script{&encoder.Answer{Id: id, Outcome: encoder.Outcome_OUTCOME_NOT_RUN, Reason: uint32(resolver.ReasonDraining)}}, resolver.AnswerNotRun{Reason: resolver.ReasonDraining}, ""},
		{"no outcome", script{&encoder.Answer{Id: id}}, resolver.AnswerUnknown{Reason: resolver.ReasonNone}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sink := &recordingSink{}
			got, err := receiveAnswer(&tc.in, id, 6, &trackingSink{Sink: sink})
			if d := cmp.Diff(tc.event, eventOf(got, err)); d != "" {
				t.Errorf("event (-want +got):\n%s", d)
			}
			if d := cmp.Diff(tc.shown, sink.body.String()); d != "" {
				t.Errorf("body passed to the caller (-want +got):\n%s", d)
			}
		})
	}
}

// Guards against reporting a request as NotRun because its last attempt was
// refused, although an earlier attempt may have run.
func TestPreserveUnknown(t *testing.T) {
	unknown := resolver.Unknown{Reason: resolver.ReasonLinkLost}
	p := &retryLoop{result: Result{Outcome: unknown}}
	p.preserveUnknown()
	p.result.Outcome = resolver.NotRun{Reason: resolver.ReasonQueueFull}
	p.preserveUnknown()
	if d := cmp.Diff(resolver.Outcome(unknown), p.result.Outcome); d != "" {
		t.Errorf("outcome (-want +got):\n%s", d)
	}
	p.result.Outcome = resolver.Ran{Status: 200}
	p.preserveUnknown()
	if d := cmp.Diff(resolver.Outcome(resolver.Ran{Status: 200}), p.result.Outcome); d != "" {
		t.Errorf("outcome (-want +got):\n%s", d)
	}
}
