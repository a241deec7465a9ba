package handler

import (
	"context"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"crocustack/core/admitter"
	"crocustack/core/budgeter"
	"crocustack/core/connector"
	"crocustack/core/encoder"
	"crocustack/core/gatekeeper"
	"crocustack/core/linker"
	"crocustack/core/resolver"
	"crocustack/crocusd/internal/tracer"
)

// execute sends an admitted request to the backend server and answers the
// sender. When gone is closed, a cancellable run is cancelled.
func (h *Handler) execute(ctx context.Context, s *linker.Stream, m *encoder.Run, u *subject, gone <-chan struct{}) admitter.Result {
	run := h.newRun(ctx, m)
	h.runs.Add(run)
	defer h.runs.Remove(run)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if h.cancellable(m) {
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-gone:
				cancel()
			case <-done:
			}
		}()
	}
	start := h.clock.Now()
	r := h.send(ctx, m, connector.Call{
		RequestID: run.RequestID, Instance: m.GetInstance(), Method: m.GetMethod(), Host: m.GetHost(), Path: string(m.GetPath()),
		Headers: m.GetHeaders(), Body: u.body.bytes, Stream: u.body.reader(), StreamLength: int64(m.GetBodyLength()), Parent: run.Token, Trace: run.TraceID,
	})
	result := admitter.Result{}
	switch r := r.(type) {
	case connector.Answered:
		result.Failed = r.Status >= http.StatusInternalServerError
		h.sendResponse(s, u, run, r)
	case connector.NotRun:
		if r.Draining {
			h.StartDraining()
		}
		if r.Reason == resolver.ReasonBackendUnreachable {
			go h.observeUnreachable() // It may wait for a server that does not react.
		}
		h.runs.Remove(run)
		h.withdraw(m)
		// The backend server may have spent part of the allowance on calls to
		// other services before it refused.
		h.refuseWith(s, m, r.Reason, takeUnspent(run.Pool), u.suspicion())
		result.Refused = true
	case connector.Unknown:
		if ctx.Err() != nil {
			u.abandoned()
		}
		u.incomplete(r.Reason == resolver.ReasonBackendLost && ctx.Err() == nil)
		h.runs.Remove(run)
		h.finish(m, gatekeeper.Answer{Outcome: resolver.Unknown{Reason: r.Reason}})
		h.answerUnknown(s, m, r.Reason, u.suspicion())
	}
	result.Latency = h.clock.Now() - start
	result.Cancelled = ctx.Err() != nil
	return result
}

// cancellable reports whether the run is cancelled when its sender disconnects.
// A run that a repeated request may ask about continues, so that its answer can
// be kept.
func (h *Handler) cancellable(m *encoder.Run) bool {
	return m.GetIdempotent() && m.GetTicket() == nil && m.GetKey() == ""
}

func (h *Handler) newRun(ctx context.Context, m *encoder.Run) *tracer.Run {
	traceID := ""
	for _, hd := range m.GetHeaders() {
		if hd.GetName() == headerTrace && len(hd.GetValues()) > 0 {
			traceID = tracer.TraceID(string(hd.GetValues()[0]))
		}
	}
	if traceID == "" {
		traceID = newSpanID() + newSpanID()
	}
	token := m.GetRequestId()
	if !h.cfg.RequestIDAsToken {
		token = newSpanID()
	}
	return &tracer.Run{
		Token: token, TraceID: traceID, RequestID: m.GetRequestId(), Kind: m.GetKind(), Class: classOf(m),
		TreeID: m.GetTreeId(), Depth: m.GetDepth(), Deadline: deadlineOf(ctx), Pool: budgeter.NewPool(m.GetAllowance()),
		Organisation: m.GetOrganisation(), AppliedLevel: m.GetAppliedLevel(), Repeated: m.GetAgain() || m.GetRepeatedTree(),
	}
}

// sendResponse sends the backend server's response to the sender. A response of
// up to HoldAnswerBytes is buffered until it is complete; a longer one is
// streamed.
func (h *Handler) sendResponse(s *linker.Stream, u *subject, run *tracer.Run, resp connector.Answered) {
	m := u.m
	defer func() { _ = resp.Body.Close() }()
	buffered, err := io.ReadAll(io.LimitReader(resp.Body, h.cfg.HoldAnswerBytes+1))
	long := int64(len(buffered)) > h.cfg.HoldAnswerBytes
	if err != nil {
		u.incomplete(true)
		h.runs.Remove(run)
		h.finish(m, gatekeeper.Answer{Outcome: resolver.Unknown{Reason: resolver.ReasonBroken}})
		h.answerUnknown(s, m, resolver.ReasonBroken, u.suspicion())
		return
	}
	head := &encoder.Answer{
		Id: m.GetId(), Outcome: encoder.Outcome_OUTCOME_RAN, Status: uint32(resp.Status),
		Headers: resp.Headers, Load: h.loadMessage(m), BodyLength: -1,
		Responder: IncarnationMessage(h.self),
	}
	if long {
		h.streamResponse(s, u, run, head, buffered, resp.Body)
		return
	}
	u.completed()
	head.BodyLength = int64(len(buffered))
	h.runs.Remove(run)
	outcome := resolver.Ran{Status: resp.Status}
	h.finish(m, gatekeeper.Answer{Status: resp.Status, Headers: head.GetHeaders(), Body: buffered, Outcome: outcome})
	sendComplete(s, head, buffered, takeUnspent(run.Pool))
}

// takeUnspent empties a pool and returns the units that it held. Units lent at
// that time count as spent, because the answer is sent before they can be
// returned.
func takeUnspent(p *budgeter.Pool) uint32 {
	rest := uint32(0)
	for n := p.LendHalf(); n > 0; n = p.LendHalf() {
		rest += n
	}
	return rest
}

// sendComplete sends an answer whose body is complete.
func sendComplete(s *linker.Stream, head *encoder.Answer, body []byte, unspent uint32) {
	end := &encoder.BodyFrame{Frame: &encoder.BodyFrame_End{End: &encoder.End{
		Length: uint64(len(body)), Xxhash64: xxhash.Sum64(body), Unspent: unspent,
	}}}
	if len(body) <= encoder.ChunkBytes {
		_ = s.Send(head, dataFrame(body), end)
		return
	}
	if s.Send(head) != nil || sendChunks(s, body) != nil {
		return
	}
	_ = s.Send(end)
}

func dataFrame(b []byte) *encoder.BodyFrame {
	return &encoder.BodyFrame{Frame: &encoder.BodyFrame_Data{Data: b}}
}

func sendChunks(s *linker.Stream, body []byte) error {
	for len(body) > 0 {
		n := min(len(body), encoder.ChunkBytes)
		if err := s.Send(dataFrame(body[:n])); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// streamResponse sends a long answer while it is being read. Its end frame
// states whether the body was complete.
func (h *Handler) streamResponse(s *linker.Stream, u *subject, run *tracer.Run, head *encoder.Answer, first []byte, rest io.Reader) {
	digest := xxhash.New()
	length := uint64(0)
	send := func(b []byte) error {
		_, _ = digest.Write(b)
		length += uint64(len(b))
		return sendChunks(s, b)
	}
	err := s.Send(head)
	if err == nil {
		err = send(first)
	}
	buffer := make([]byte, encoder.ChunkBytes)
	for err == nil {
		var n int
		n, err = rest.Read(buffer)
		if n > 0 {
			if sendErr := send(buffer[:n]); sendErr != nil {
				err = sendErr
			}
		}
	}
	if err == io.EOF {
		u.completed()
	} else {
		u.incomplete(true)
	}
	h.runs.Remove(run)
	// A streamed answer is not kept, so it can't be replayed to a repeated
	// request.
	h.finish(u.m, gatekeeper.Answer{Outcome: resolver.Unknown{Reason: resolver.ReasonSettled}})
	_ = s.Send(&encoder.BodyFrame{Frame: &encoder.BodyFrame_End{End: &encoder.End{
		Length: length, Xxhash64: digest.Sum64(), Aborted: err != io.EOF, Unspent: takeUnspent(run.Pool),
	}}})
}
