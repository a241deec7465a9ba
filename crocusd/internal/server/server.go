package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"crocustack/core/bodyreader"
	"crocustack/core/budgeter"
	"crocustack/core/classifier"
	"crocustack/core/connector"
	"crocustack/core/gatekeeper"
	"crocustack/core/recorder"
	"crocustack/core/releaser"
	"crocustack/core/resolver"
	"crocustack/crocusd/internal/forwarder"
	"crocustack/crocusd/internal/handler"
	"crocustack/crocusd/internal/tracer"
)

// Config holds the settings of a Server.
type Config struct {
	// Service is the service of the node's own backend server.
	Service      string
	MaxBodyBytes int64 // Maximum size of one body.
	BufferBytes  int64 // Buffer budget of all bodies together.
}

// Forwarder forwards requests to upstreams and gets tickets from them.
type Forwarder interface {
	Forward(ctx context.Context, r forwarder.Request, sink forwarder.Sink) forwarder.Result
	Tickets(ctx context.Context, service, kind string, n int) ([]gatekeeper.Ticket, time.Duration, error)
}

// Server serves requests over HTTP. It is safe for concurrent use.
type Server struct {
	cfg      Config
	view     func() releaser.View
	ready    func() bool
	forward  Forwarder
	runs     *tracer.Registry
	rec      *recorder.Recorder
	bodies   *bodyreader.Reader
	active   atomic.Int64
	draining atomic.Bool
}

// New returns a Server that reads the active release through view.
func New(cfg Config, view func() releaser.View, ready func() bool, f Forwarder, runs *tracer.Registry, rec *recorder.Recorder) *Server {
	return &Server{cfg: cfg, view: view, ready: ready, forward: f, runs: runs, rec: rec, bodies: bodyreader.New(bodyreader.NewBudget(cfg.BufferBytes, 0))}
}

// StartDraining makes the server refuse new requests of callers. Calls of the
// backend server are still forwarded, because they belong to requests in flight.
func (v *Server) StartDraining() { v.draining.Store(true) }

// Active returns the number of requests in flight at both listeners.
func (v *Server) Active() int64 { return v.active.Load() }

// Entry returns the handler for callers.
func (v *Server) Entry() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/crocus/tickets", v.serveTickets).Methods(http.MethodPost)
	r.HandleFunc("/{service}/{path:.*}", v.serve(v.fromCaller, false))
	return r
}

// Outbound returns the handler for the node's own backend server.
func (v *Server) Outbound() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/{service}/{path:.*}", v.serve(v.fromBackend, true))
	return r
}

// completeFunc sets the fields of a request that depend on its origin, such as
// class, retry pool, depth and deadline. It returns ReasonNone, or the reason
// for which the request is refused.
type completeFunc func(r *http.Request, q *forwarder.Request) resolver.Reason

func (v *Server) serve(complete completeFunc, outbound bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v.active.Add(1)
		defer v.active.Add(-1)
		start := time.Now()
		q, reason, detail := v.parse(r)
		q.Outbound = outbound
		w.Header().Set(headerRequest, q.ID)
		if reason != resolver.ReasonNone {
			v.answerNotRun(w, q, reason, detail, start)
			return
		}
		body, reason := v.bodies.Read(w, r, v.cfg.MaxBodyBytes, q.Deadline)
		if reason != resolver.ReasonNone {
			v.answerNotRun(w, q, reason, "", start)
			return
		}
		defer body.Release()
		q.Body = body.Bytes
		if reason = complete(r, &q); reason != resolver.ReasonNone {
			v.refuse(w, r, q, reason, start)
			return
		}
		sink := &responseSink{w: w}
		result := v.forward.Forward(r.Context(), q, sink)
		v.answer(w, r, q, sink, result, start)
	}
}

// targetBelow returns the path below the service, with the query, as the caller sent
// them.
func targetBelow(r *http.Request) string {
	_, below, _ := strings.Cut(strings.TrimPrefix(connector.OriginTarget(r.RequestURI), "/"), "/")
	return "/" + below
}

// parse validates the path and the headers of a request and classifies it.
func (v *Server) parse(r *http.Request) (q forwarder.Request, reason resolver.Reason, detail string) {
	q = forwarder.Request{ID: requestID(), Service: mux.Vars(r)["service"], Method: r.Method, Path: targetBelow(r)}
	path, _, _ := strings.Cut(q.Path, "?")
	if !v.ready() {
		return q, resolver.ReasonNotReady, "no release is in force yet"
	}
	view := v.view()
	service, known := view.Services[q.Service]
	if !known {
		return q, resolver.ReasonUnknownService, "no service " + strconv.Quote(q.Service)
	}
	kind, ok := view.Table.Classify(service.Name, q.Method, path)
	if !ok {
		return q, resolver.ReasonUnknownKind, "no kind of " + service.Name + " matches " + q.Method + " " + path
	}
	q.Kind, q.Class = kind, kind.Class
	q.Headers = handler.ForwardableHeaders(r.Header)
	q.Key = r.Header.Get(headerIdempotencyKey)
	if text := r.Header.Get(headerTicket); text != "" {
		t, err := gatekeeper.ParseTicket(text)
		if err != nil {
			return q, resolver.ReasonBadRequest, headerTicket + ": " + err.Error()
		}
		if t.Home.Service != q.Service || t.Kind != kind.Name {
			return q, resolver.ReasonBadRequest, headerTicket + ": the ticket is for " + t.Home.Service + " " + t.Kind
		}
		q.Ticket = &t
	}
	timeout, err := headerNumber(r, headerTimeout, uint64(kind.Timeout.Milliseconds()))
	if err != nil {
		return q, resolver.ReasonBadRequest, err.Error()
	}
	q.Deadline = time.Now().Add(min(time.Duration(min(timeout, maxTimeoutMillis))*time.Millisecond, kind.Timeout))
	attempt, err := headerNumber(r, headerAttempt, 1)
	if err != nil {
		return q, resolver.ReasonBadRequest, err.Error()
	}
	q.Repeat = attempt > 1
	q.First = attempt == 1 && r.Header.Get(headerAttempt) != ""
	return q, resolver.ReasonNone, ""
}

// maxTimeoutMillis is 24 h. It caps the timeout in a header, so that the
// conversion to time.Duration does not overflow.
const maxTimeoutMillis = 24 * 3600 * 1000

func headerNumber(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, errors.Newf("%s: %q is not a whole number above 0", name, text)
	}
	return n, nil
}

// requestID returns a new time-ordered ID (UUID version 7, RFC 9562).
func requestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// fromCaller starts a new call tree.
func (v *Server) fromCaller(_ *http.Request, q *forwarder.Request) resolver.Reason {
	if v.draining.Load() {
		return resolver.ReasonDraining
	}
	q.TreeID = xxhash.Sum64String(q.ID)
	if q.Kind.Ticket == classifier.TicketRuleRequired && q.Ticket == nil {
		return resolver.ReasonTicketRequired
	}
	allowance := q.Kind.Allowance
	if q.Repeat {
		// The caller retries by itself; further retries of the call tree would
		// multiply its attempts.
		allowance = 0
	}
	q.Pool = budgeter.NewPool(allowance)
	return resolver.ReasonNone
}

// fromBackend adds the call to the call tree of the inbound request that it is
// made for, if that request is known.
func (v *Server) fromBackend(r *http.Request, q *forwarder.Request) resolver.Reason {
	q.Caller = v.cfg.Service
	switch t := v.runs.Find(r.Header.Get(headerParent), r.Header.Get(headerTraceparent)).(type) {
	case tracer.Matched:
		q.ID, q.Parent = t.Run.RequestID, t.Run.Kind
		q.Class, q.TreeID, q.Depth, q.Pool = t.Run.Class, t.Run.TreeID, t.Run.Depth+1, t.Run.Pool
		q.Deadline = earlier(q.Deadline, t.Run.Deadline)
		return resolver.ReasonNone
	case tracer.Ambiguous:
		q.Class, q.TreeID, q.Depth = t.Class, t.TreeID, t.Depth+1
		q.Deadline = earlier(q.Deadline, t.Deadline)
	case tracer.Unmatched:
		q.TreeID = xxhash.Sum64String(q.ID)
	}
	return resolver.ReasonNone
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// refuse writes the response to a request that is refused for its origin. When
// the request lacks a required ticket, the response carries one.
func (v *Server) refuse(w http.ResponseWriter, r *http.Request, q forwarder.Request, reason resolver.Reason, start time.Time) {
	if reason == resolver.ReasonDraining {
		w.Header().Set("Connection", "close")
	}
	if reason == resolver.ReasonTicketRequired {
		if !v.replaceTicket(w, r, q) {
			v.answerNotRun(w, q, resolver.ReasonNoUpstream, "no upstream could mint a ticket", start)
			return
		}
	}
	v.answerNotRun(w, q, reason, refusalDetails[reason], start)
}

// refusalDetails tells callers how to proceed after a refusal.
var refusalDetails = map[resolver.Reason]string{
	resolver.ReasonTicketRequired: "send the request again with the ticket of this answer",
	resolver.ReasonDraining:       "this node is leaving; send the request to another one",
}

// provesTicketUnused reports whether a refusal proves that no request has run
// under the ticket and that none will. The gate that minted the ticket proves it
// by refusing because it is draining or because the ticket is expired. If that
// gate is unreachable or was replaced, it is proved only for a caller that
// states that this is its first attempt: nothing was sent under the ticket
// before.
func provesTicketUnused(q *forwarder.Request, reason resolver.Reason) bool {
	switch reason {
	case resolver.ReasonDraining, resolver.ReasonTicketExpired:
		return true
	case resolver.ReasonNoLink, resolver.ReasonTicketForeign:
		return q.First
	default:
		return false
	}
}

// replaceTicket adds a new ticket to the response. The request does not run
// under the new ticket in the same exchange, because a caller that does not
// receive the response repeats the request with the old ticket.
func (v *Server) replaceTicket(w http.ResponseWriter, r *http.Request, q forwarder.Request) bool {
	tickets, _, err := v.forward.Tickets(r.Context(), q.Service, q.Kind.Name, 1)
	if err != nil || len(tickets) == 0 {
		return false
	}
	setTicket(w, tickets[0])
	return true
}

func (v *Server) answer(w http.ResponseWriter, r *http.Request, q forwarder.Request, sink *responseSink, result forwarder.Result, start time.Time) {
	switch o := result.Outcome.(type) {
	case resolver.Ran:
		v.record(q, result.Upstream, o, "", start)
	case resolver.NotRun:
		v.record(q, result.Upstream, o, "", start)
		if q.Ticket != nil && provesTicketUnused(&q, o.Reason) && v.replaceTicket(w, r, q) {
			writeOutcome(w, http.StatusPreconditionRequired, "NotRun", o.Reason, "the ticket is void; send the request again with the ticket of this answer")
			return
		}
		writeNotRun(w, o.Reason, "")
	case resolver.Unknown:
		v.record(q, result.Upstream, o, "", start)
		if sink.headSent {
			sink.Abort()
		}
		writeUnknown(w, o.Reason)
	case nil:
		// net/http sends an empty 200 response for a handler that writes nothing.
		panic("forwarder returned no outcome")
	}
}

func (v *Server) answerNotRun(w http.ResponseWriter, q forwarder.Request, reason resolver.Reason, detail string, start time.Time) {
	v.record(q, "", resolver.NotRun{Reason: reason}, detail, start)
	writeNotRun(w, reason, detail)
}

func (v *Server) record(q forwarder.Request, upstream string, o resolver.Outcome, detail string, start time.Time) {
	kind := recorder.KindAnswer
	if q.Outbound {
		kind = recorder.KindCall
	}
	v.rec.Record(recorder.Decision{
		Time: time.Now(), Kind: kind, RequestID: q.ID, Service: q.Service, KindName: q.Kind.Name,
		Class: q.Class, Upstream: upstream, Outcome: o, Detail: detail, Took: time.Since(start),
	})
}

// ticketReply is the response body of POST /crocus/tickets.
type ticketReply struct {
	Tickets         []string
	LifetimeSeconds int
}

// maxTickets is the maximum number of tickets in one response.
const maxTickets = 256

func (v *Server) serveTickets(w http.ResponseWriter, r *http.Request) {
	service, kind := r.URL.Query().Get("service"), r.URL.Query().Get("kind")
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxTickets {
			writeNotRun(w, resolver.ReasonBadRequest, "count must be a whole number from 1 to "+strconv.Itoa(maxTickets))
			return
		}
		count = n
	}
	if !v.ready() {
		writeNotRun(w, resolver.ReasonNotReady, "no release is in force yet")
		return
	}
	if k, ok := v.view().Table.Kind(kind); !ok || k.Service != service || k.Ticket == classifier.TicketRuleNone {
		writeNotRun(w, resolver.ReasonUnknownKind, "no kind "+strconv.Quote(kind)+" with tickets in service "+strconv.Quote(service))
		return
	}
	tickets, lifetime, err := v.forward.Tickets(r.Context(), service, kind, count)
	if err != nil {
		writeNotRun(w, resolver.ReasonNoUpstream, err.Error())
		return
	}
	reply := ticketReply{LifetimeSeconds: int(lifetime.Seconds())}
	for _, t := range tickets {
		text, err := t.Text()
		if err != nil {
			writeNotRun(w, resolver.ReasonNoUpstream, err.Error())
			return
		}
		reply.Tickets = append(reply.Tickets, text)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
