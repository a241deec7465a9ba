package handler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/quarantiner"
	"crocustack/core/resolver"
)

// fallibleBackend is a backend server whose process may have ended.
type fallibleBackend struct{ ended atomic.Bool }

func (*fallibleBackend) Do(context.Context, connector.Call) connector.Reply {
	return connector.Unknown{Reason: resolver.ReasonBackendLost}
}

func (b *fallibleBackend) Ended(context.Context) bool { return b.ended.Load() }

func newSubject(h *Handler, target string, trial bool) *subject {
	m := &encoder.Run{Method: "GET", Path: []byte(target), Trial: trial, Id: &encoder.AttemptId{SenderBootId: 1, Sequence: 1}}
	return &subject{h: h, m: m, identity: quarantiner.Identity{Method: "GET", Target: target}}
}

// TestOnlyEndsSpeakAgainstRequests guards against a verdict on requests whose answer
// was lost, or whose connection broke, while the server runs on; and against an end
// that is missed because the connection closed before the listener.
func TestOnlyEndsSpeakAgainstRequests(t *testing.T) {
	b := &fallibleBackend{}
	h := newHandler(b)
	u := newSubject(h, "/", false)
	u.incomplete(true)
	if got := h.cfg.Suspects.Size(); got != 0 {
		t.Errorf("%d suspects after a lost answer, want none", got)
	}
	b.ended.Store(true)
	h.observeUnreachable()
	if d := cmp.Diff(quarantiner.Verdict(quarantiner.Allowed{Ends: 1}), h.cfg.Suspects.Judge(u.identity)); d != "" {
		t.Errorf("after the server was found ended a little later: -want +got:\n%s", d)
	}
}

// TestOneEndCountsOnce guards against several connections that break with one server
// and count as several ends, which would judge a request that came often.
func TestOneEndCountsOnce(t *testing.T) {
	b := &fallibleBackend{}
	b.ended.Store(true)
	h := newHandler(b)
	u := newSubject(h, "/", false)
	for range 5 {
		u.incomplete(true)
	}
	if d := cmp.Diff(quarantiner.Verdict(quarantiner.Allowed{Ends: 1}), h.cfg.Suspects.Judge(u.identity)); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
	time.Sleep(endSpacing)
	u.incomplete(true)
	if d := cmp.Diff(quarantiner.Verdict(quarantiner.Allowed{Ends: 2}), h.cfg.Suspects.Judge(u.identity)); d != "" {
		t.Errorf("after another end: -want +got:\n%s", d)
	}
}

// TestTrialsRunOneAtATime guards against copies of a request on probation, from many
// callers at once, that end a server each; and against copies that are refused
// although the trial has shown the request harmless.
func TestTrialsRunOneAtATime(t *testing.T) {
	h := newHandler(&fallibleBackend{})
	first := newSubject(h, "/", true)
	for n := range uint64(quarantiner.MaxEnds) {
		h.cfg.Suspects.RecordEnd(first.identity.Key(), n)
	}
	ctx, gone := context.Background(), make(chan struct{})
	if got := newSubject(h, "/", false).admit(ctx, gone); got != resolver.ReasonNotChosenForTrial {
		t.Errorf("a copy of a sender that does not know: %s", got)
	}
	if got := first.admit(ctx, gone); got != resolver.ReasonNone || !first.trial {
		t.Fatalf("the first copy: %s, trial %t", got, first.trial)
	}
	if got := newSubject(h, "/", true).admit(ctx, gone); got != resolver.ReasonOnProbation {
		t.Errorf("a copy beside the trial: %s", got)
	}
	time.AfterFunc(trialWait/2, func() {
		first.completed()
		first.end()
	})
	last := newSubject(h, "/", true)
	if got := last.admit(ctx, gone); got != resolver.ReasonNone || last.trial {
		t.Errorf("a copy that waits for the trial: %s, trial %t", got, last.trial)
	}
}

// TestTrialsAreLimited guards against a request that ends servers for ever because
// its trials are not counted, also where the gate does not know the verdict yet.
func TestTrialsAreLimited(t *testing.T) {
	for name, fail := range map[string]func(*subject, *fallibleBackend){
		"broken connection": func(u *subject, b *fallibleBackend) {
			b.ended.Store(true)
			u.incomplete(true)
		},
		"connection that breaks before the listener closes": func(u *subject, b *fallibleBackend) {
			u.incomplete(true)
			b.ended.Store(true)
			time.Sleep(2 * recheckDelay)
		},
		"the sender left": func(u *subject, b *fallibleBackend) {
			u.abandoned()
			u.incomplete(false)
			b.ended.Store(true)
			u.h.observeUnreachable()
		},
	} {
		b := &fallibleBackend{}
		h := newHandler(b)
		ctx, gone := context.Background(), make(chan struct{})
		var got []resolver.Reason
		for n := range uint64(quarantiner.MaxTrials + 1) {
			u := newSubject(h, "/", true)
			u.m.Id.Sequence = n
			got = append(got, u.admit(ctx, gone))
			if u.trial {
				fail(u, b)
				h.pauses.end(u.identity.Key())
			}
			u.end()
			b.ended.Store(false)
		}
		want := []resolver.Reason{resolver.ReasonNone, resolver.ReasonNone, resolver.ReasonQuarantined}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: -want +got:\n%s", name, d)
		}
	}
}

// TestSlowTrialsAreRepeated guards against a harmless request that is quarantined because
// its trials ran out of time on a server that had just started, or their callers left; and
// against trials that follow each other at once and keep the server from others.
func TestSlowTrialsAreRepeated(t *testing.T) {
	h := newHandler(&fallibleBackend{})
	ctx, gone := context.Background(), make(chan struct{})
	var got []resolver.Reason
	for n := range uint64(2 * quarantiner.MaxTrials) {
		u := newSubject(h, "/", true)
		u.m.Id.Sequence = n
		got = append(got, u.admit(ctx, gone))
		if u.trial {
			u.abandoned()
			u.incomplete(false)
		}
		u.end()
		if n%2 == 1 {
			time.Sleep(minTrialPause)
		}
	}
	want := []resolver.Reason{resolver.ReasonNone, resolver.ReasonOnProbation, resolver.ReasonNone, resolver.ReasonOnProbation}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
}

// TestAbandonedRunIsSuspected guards against a caller that ends servers without a
// verdict because it leaves before they end.
func TestAbandonedRunIsSuspected(t *testing.T) {
	b := &fallibleBackend{}
	b.ended.Store(true)
	h := newHandler(b)
	left, stayed := newSubject(h, "/left", false), newSubject(h, "/stayed", false)
	left.abandoned()
	h.observeUnreachable()
	h.observeUnreachable()
	for _, c := range []struct {
		u    *subject
		ends int
	}{{left, 1}, {stayed, 0}} {
		if d := cmp.Diff(quarantiner.Verdict(quarantiner.Allowed{Ends: c.ends}), h.cfg.Suspects.Judge(c.u.identity)); d != "" {
			t.Errorf("%s: -want +got:\n%s", c.u.identity.Target, d)
		}
	}
	left.abandoned()
	time.Sleep(suspicionDelay + 50*time.Millisecond)
	h.observeUnreachable()
	if d := cmp.Diff(quarantiner.Verdict(quarantiner.Allowed{Ends: 1}), h.cfg.Suspects.Judge(left.identity)); d != "" {
		t.Errorf("long after the sender left: -want +got:\n%s", d)
	}
}

// TestSilentServerSpeaksAgainstNothing guards against requests that are put on
// probation because their callers left a backend server that does not react: it has
// not ended, and every request that comes often is left there again and again.
func TestSilentServerSpeaksAgainstNothing(t *testing.T) {
	h := newHandler(&fallibleBackend{})
	u := newSubject(h, "/", false)
	for range quarantiner.MaxEnds {
		u.abandoned()
		h.observeUnreachable()
		time.Sleep(endSpacing)
	}
	if got := h.cfg.Suspects.Size(); got != 0 {
		t.Errorf("%d suspects, want none", got)
	}
}

// TestTrialRunsAlone guards against a harmless request that is quarantined because
// another one, which has no verdict yet, ends the server during its trial; and against
// requests that wait for a trial although another server is free, or for ever.
func TestTrialRunsAlone(t *testing.T) {
	h := newHandler(&fallibleBackend{})
	ctx := context.Background()
	before, trial := newSubject(h, "/before", false), newSubject(h, "/", true)
	trial.trial = true
	leave, _ := before.enter(ctx)
	alone := make(chan func())
	go func() {
		open, _ := trial.enter(ctx)
		alone <- open
	}()
	select {
	case <-alone:
		t.Fatal("the trial begins beside an earlier run")
	case <-time.After(maxDrainForTrial / 5):
	}
	leave()
	open := <-alone
	if _, got := newSubject(h, "/other", false).enter(ctx); got != resolver.ReasonTrialUnderWay {
		t.Errorf("a request that has a choice: %s", got)
	}
	last := newSubject(h, "/last", false)
	last.m.LastChoice = true
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if _, got := last.enter(short); got != resolver.ReasonDeadlineExceeded {
		t.Errorf("a request without a choice, during the trial: %s", got)
	}
	time.AfterFunc(20*time.Millisecond, open)
	began := time.Now()
	if _, got := last.enter(ctx); got != resolver.ReasonNone || time.Since(began) > maxAlone/2 {
		t.Errorf("a request without a choice, after the trial: %s after %s", got, time.Since(began))
	}
}

// TestLongTrialBlocksNobody guards against a server that serves nobody while a trial
// takes long, and against a trial that never begins beside a long run.
func TestLongTrialBlocksNobody(t *testing.T) {
	h := newHandler(&fallibleBackend{})
	ctx := context.Background()
	if !h.lock.tryRLock() { // A run that lasts as long as the test.
		t.Fatal("no run may begin")
	}
	began := time.Now()
	open := h.lock.lock(ctx)
	defer open()
	if took := time.Since(began); took > 2*maxDrainForTrial {
		t.Errorf("the trial began after %s", took)
	}
	if !h.lock.rLock(ctx) || time.Since(began) > 2*(maxDrainForTrial+maxAlone) {
		t.Errorf("another run began after %s", time.Since(began))
	}
}
