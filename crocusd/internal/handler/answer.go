package handler

import (
	"time"

	"crocustack/core/admitter"
	"crocustack/core/encoder"
	"crocustack/core/linker"
	"crocustack/core/recorder"
	"crocustack/core/resolver"
	"crocustack/core/timekeeper"
)

// effectiveLevel returns the effective admission level for a kind: the maximum
// of own, the level of this gate, and the levels of all services that runs of
// the kind call.
func (h *Handler) effectiveLevel(kind string, own uint32) uint32 {
	now := h.clock.Now()
	level := own
	for _, c := range h.calls.Callees(now, kind) {
		level = max(level, h.levels.Effective(now, c.Service, c.Kind))
	}
	return level
}

// loadMessage returns the load report for the answer to a run.
func (h *Handler) loadMessage(m *encoder.Run) *encoder.Load {
	h.noticesMu.Lock()
	h.notices.Seen(h.clock.Now(), admitter.GateKind{Service: m.GetService(), Name: m.GetKind()})
	h.noticesMu.Unlock()
	ld := h.admission.load()
	position := h.storePosition()
	level := ld.Level
	if m.GetLastChoice() {
		level = ld.RateLevel
	}
	load := &encoder.Load{
		InFlight: uint32(ld.InFlight), Queued: uint32(ld.Queued), Limit: uint32(ld.Limit),
		Level: h.effectiveLevel(m.GetKind(), level), Draining: h.Draining(), Era: position.Era, Revision: position.Revision,
		RateLimit: ld.RateLimit, RateLoad: ld.RateLoad, ServerLeaving: h.serverLeaving(m.GetInstance()),
	}
	if h.cfg.Evidence != nil {
		now := timekeeper.SinceBoot()
		age, version := h.cfg.Evidence.Age(now)
		load.ConfigVersion, load.EvidenceMicros = version, uint64(age.Microseconds())
		load.ViewMicros = uint64(h.cfg.Evidence.ViewAge(now).Microseconds())
	}
	return load
}

func (h *Handler) record(m *encoder.Run, k recorder.Kind, o resolver.Outcome, detail string) {
	h.rec.Record(recorder.Decision{
		Time: time.Now(), Kind: k, RequestID: m.GetRequestId(), Service: m.GetService(), KindName: m.GetKind(),
		Class: classOf(m), Upstream: h.self.Address, Outcome: o, Detail: detail,
	})
}

// refuse answers that the request was not run and never will be. unspent is the
// part of the allowance that is returned to the sender.
func (h *Handler) refuse(s *linker.Stream, m *encoder.Run, reason resolver.Reason, unspent uint32) {
	h.refuseWith(s, m, reason, unspent, nil)
}

// refuseWith refuses as refuse does and reports to the sender what the node knows of
// the request; nil for nothing.
func (h *Handler) refuseWith(s *linker.Stream, m *encoder.Run, reason resolver.Reason, unspent uint32, suspicion *encoder.Suspicion) {
	kind := recorder.KindRefuse
	if reason.Overloaded() {
		kind = recorder.KindShed
	}
	h.record(m, kind, resolver.NotRun{Reason: reason}, "")
	_ = s.Send(&encoder.Answer{
		Id: m.GetId(), Outcome: encoder.Outcome_OUTCOME_NOT_RUN, Reason: uint32(reason),
		Unspent: unspent, Load: h.loadMessage(m), Responder: IncarnationMessage(h.self), Suspicion: suspicion,
	})
}

// answerUnknown answers that it is unknown whether the request ran, and tells the
// sender what the node knows of the request; nil for nothing.
func (h *Handler) answerUnknown(s *linker.Stream, m *encoder.Run, reason resolver.Reason, suspicion *encoder.Suspicion) {
	h.record(m, recorder.KindRefuse, resolver.Unknown{Reason: reason}, "")
	_ = s.Send(&encoder.Answer{
		Id: m.GetId(), Outcome: encoder.Outcome_OUTCOME_UNKNOWN, Reason: uint32(reason),
		Load: h.loadMessage(m), Responder: IncarnationMessage(h.self), Suspicion: suspicion,
	})
}
