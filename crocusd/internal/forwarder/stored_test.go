package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/encoder"
	"crocustack/core/resolver"
	"crocustack/core/router"
)

// TestStoredAnswerReportsDeparture guards against requests to a server that leaves
// when the sender got the answer that says so only by asking for it after it had
// lost its link.
func TestStoredAnswerReportsDeparture(t *testing.T) {
	upstreams := router.New(router.Config{LastResort: true}, "d", "r", 1)
	upstreams.SetUpstreams(0, "s", []router.Upstream{{Service: "s", Address: "a", Domain: "d", Instance: "i", StartMillis: 1}})
	f := newForwarder(t, upstreams)
	id := &encoder.AttemptId{SenderBootId: 1, Sequence: 1}
	run := &encoder.Run{Id: id, Service: "s", Instance: "i", Target: &encoder.Incarnation{Address: "a"}}
	stored := &script{&encoder.Answer{Id: id, Outcome: encoder.Outcome_OUTCOME_UNKNOWN, Load: &encoder.Load{ServerLeaving: true}}}
	f.receiveStored(stored, run, &trackingSink{Sink: &recordingSink{}})
	want := router.Decision(router.None{Reason: resolver.ReasonNoUpstream})
	if d := cmp.Diff(want, upstreams.Pick(0, "s", nil, 0)); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
}
