package handler

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"crocustack/core/encoder"
	"crocustack/core/linker"
	"crocustack/core/quarantiner"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
)

// subject is a request as the subject of quarantine: backend servers may end
// because they run it.
type subject struct {
	h        *Handler
	m        *encoder.Run
	body     *incomingBody
	identity quarantiner.Identity
	// trial is true if the request runs on probation. The subject then holds h.trial
	// until end is called.
	trial bool
}

// trialWait bounds how long a request on probation waits for another trial at this
// gate to end.
const trialWait = 500 * time.Millisecond

// judge decides whether a request may go on to the backend server. If not, it has
// answered the sender. Otherwise the caller must call end on the subject.
func (h *Handler) judge(ctx context.Context, s *linker.Stream, m *encoder.Run, body *incomingBody, gone <-chan struct{}) (*subject, bool) {
	u := &subject{h: h, m: m, body: body, identity: quarantiner.Identity{
		Caller: m.GetCaller(), Method: m.GetMethod(), Host: m.GetHost(), Target: string(m.GetPath()), Body: body.bytes, Stated: body.stated,
	}}
	if m.GetSuspicion() != nil {
		if err := h.cfg.Suspects.MergeMessages([]*encoder.Suspicion{m.GetSuspicion()}); err != nil {
			h.refuse(s, m, resolver.ReasonBadRequest, m.GetAllowance())
			return nil, false
		}
	}
	if reason := u.admit(ctx, gone); reason != resolver.ReasonNone {
		h.refuseWith(s, m, reason, m.GetAllowance(), u.suspicion())
		return nil, false
	}
	return u, true
}

// admit returns ReasonNone if the request may run now. A request on probation first
// waits for its turn, after which the verdict may be another one.
func (u *subject) admit(ctx context.Context, gone <-chan struct{}) resolver.Reason {
	switch u.h.cfg.Suspects.Judge(u.identity).(type) {
	case quarantiner.Allowed:
		if !u.m.GetTrial() {
			return resolver.ReasonNone
		}
		// The sender knows of a verdict that has not reached this node.
		return u.startTrial(ctx, gone)
	case quarantiner.Quarantined:
		return resolver.ReasonQuarantined
	case quarantiner.OnProbation:
	}
	if !u.m.GetTrial() {
		return resolver.ReasonNotChosenForTrial
	}
	if reason := u.startTrial(ctx, gone); reason != resolver.ReasonNone {
		return reason
	}
	switch u.h.cfg.Suspects.Judge(u.identity).(type) {
	case quarantiner.Allowed:
		u.end()
	case quarantiner.Quarantined:
		u.end()
		return resolver.ReasonQuarantined
	case quarantiner.OnProbation:
	}
	return resolver.ReasonNone
}

// startTrial waits until no other trial runs at this gate. Soon after a trial of the
// request that did not complete, none begins.
func (u *subject) startTrial(ctx context.Context, gone <-chan struct{}) resolver.Reason {
	timer := time.NewTimer(trialWait)
	defer timer.Stop()
	select {
	case u.h.trial <- struct{}{}:
		if u.h.pauses.active(u.h.clock.Now(), u.identity.Key()) {
			<-u.h.trial
			return resolver.ReasonOnProbation
		}
		u.trial = true
		u.h.record(u.m, recorder.KindTrial, nil, "begins")
		return resolver.ReasonNone
	case <-gone:
		return resolver.ReasonCancelled
	case <-ctx.Done():
		return resolver.ReasonDeadlineExceeded
	case <-timer.C:
		return resolver.ReasonOnProbation
	}
}

// enter waits until the request may go to the backend server: a trial alone, others
// side by side. A request that can go to another server does not wait for a trial.
// The caller must call leave at the end of the run if the reason is ReasonNone.
func (u *subject) enter(ctx context.Context) (leave func(), reason resolver.Reason) {
	k := u.h.lock
	switch {
	case u.trial:
		return k.lock(ctx), resolver.ReasonNone
	case k.tryRLock():
		return k.rUnlock, resolver.ReasonNone
	case !u.m.GetLastChoice():
		return nil, resolver.ReasonTrialUnderWay
	case k.rLock(ctx):
		return k.rUnlock, resolver.ReasonNone
	case ctx.Err() == context.DeadlineExceeded:
		return nil, resolver.ReasonDeadlineExceeded
	default:
		return nil, resolver.ReasonCancelled
	}
}

// end ends the trial, if the request runs as one.
func (u *subject) end() {
	if u.trial {
		u.trial = false
		<-u.h.trial
	}
}

// completed records that the backend server has run the request to its end.
func (u *subject) completed() {
	if u.h.cfg.Suspects.RecordCompletion(u.identity) {
		u.h.pauses.end(u.identity.Key())
		u.h.record(u.m, recorder.KindTrial, nil, "a run has completed; the request is cleared")
	}
}

// abandoned records that the sender left while the backend server may have been
// running the request.
func (u *subject) abandoned() { u.h.ends.remember(u.openRun()) }

// incomplete records that the request may have run and was not answered. broken is
// true if the connection to the backend server broke. A trial speaks against the request
// only if the server is found ended: one that is slow, or whose caller has left, may have
// run well.
func (u *subject) incomplete(broken bool) {
	if broken {
		u.h.observeBroken(u.openRun())
	}
	if u.trial {
		if broken {
			time.AfterFunc(recheckDelay, u.h.recheckEnd) // Another request may not come for long.
		}
		u.h.pauses.begin(u.h.clock.Now(), u.identity.Key())
		u.h.record(u.m, recorder.KindTrial, nil, "not completed: "+u.h.cfg.Suspects.Find(u.identity).String())
	}
}

// openRun returns the run as one that has not been answered.
func (u *subject) openRun() openRun {
	r := openRun{m: u.m, key: u.identity.Key(), at: u.h.clock.Now()}
	if u.trial {
		r.trial = u.runID()
	}
	return r
}

// runID returns the id of the run among all nodes; never 0.
func (u *subject) runID() uint64 {
	b := binary.BigEndian.AppendUint64(nil, u.m.GetId().GetSenderBootId())
	return max(xxhash.Sum64(binary.BigEndian.AppendUint64(b, u.m.GetId().GetSequence())), 1)
}

// suspicion returns what the node knows of the request, or nil if nothing speaks
// against it.
func (u *subject) suspicion() *encoder.Suspicion {
	known := u.h.cfg.Suspects.Find(u.identity)
	if known.Clear() {
		return nil
	}
	return known.Message()
}

// maxSuspicions bounds the records of one message.
const maxSuspicions = 2048

// serveSuspicions adds what a peer knows to the table and answers with what this
// node knows besides.
func (h *Handler) serveSuspicions(s *linker.Stream, m *encoder.Suspicions) {
	if err := h.cfg.Suspects.MergeMessages(m.GetRecords()); err != nil {
		h.rec.Record(recorder.Decision{Time: time.Now(), Kind: recorder.KindTrial, Service: h.self.Service, Detail: "record of a peer ignored: " + err.Error()})
	}
	reply := &encoder.SuspicionsReply{}
	if len(m.GetDigests()) == quarantiner.Buckets {
		buckets := h.cfg.Suspects.Digests().Differing(quarantiner.Digests(m.GetDigests()))
		for _, n := range buckets {
			reply.Differing = append(reply.Differing, uint32(n))
		}
		if len(buckets) > 0 {
			reply.Records = quarantiner.Messages(h.cfg.Suspects.InBuckets(buckets, maxSuspicions))
		}
	}
	_ = s.Send(reply) // The peer asks again if the link failed.
}
