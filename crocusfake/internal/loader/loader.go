package loader

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"crocustack/crocusfake/internal/worker"
)

// maxInFlight is the maximum number of requests in flight.
const maxInFlight = 20000

// Kind is one kind of request that callers send.
type Kind struct {
	Name    string `yaml:"Name"`
	Class   string `yaml:"Class"`
	Service string `yaml:"Service"`
	Method  string `yaml:"Method"`
	Path    string `yaml:"Path"`
	// Share is the kind's weight in the mix of arrivals.
	Share   float64       `yaml:"Share"`
	Timeout time.Duration `yaml:"Timeout"`
	// BodySize is the length of the request body in bytes.
	BodySize int `yaml:"BodySize"`
	// AnswerSize must equal Size of the route that handles the request.
	AnswerSize int `yaml:"AnswerSize"`
	// Ticket makes the callers fetch and send tickets.
	Ticket bool `yaml:"Ticket"`
	// Key makes the callers send an Idempotency-Key.
	Key bool `yaml:"Key"`
}

// Config describes a group of callers.
type Config struct {
	// Name is a prefix that distinguishes the keys of several loaders.
	Name string `yaml:"Name"`
	// Entries are the entry listeners; each attempt is sent to a random one.
	Entries []string `yaml:"Entries"`
	Kinds   []Kind   `yaml:"Kinds"`
	// Rate is the number of arrivals per second.
	Rate float64 `yaml:"Rate"`
	// Retries is the maximum number of repeats of a failed request.
	Retries int `yaml:"Retries"`
	// Backoff is the mean of the exponentially distributed wait before a repeat.
	Backoff time.Duration `yaml:"Backoff"`
	Seed    uint64        `yaml:"Seed"`
}

// Try is one attempt: an HTTP request and its answer.
type Try struct {
	Key        string
	Number     int
	Entry      string
	Begin, End time.Time
	// Outcome, Reason and Request are the values of the headers Crocus-Outcome,
	// Crocus-Reason and Crocus-Request, empty if missing.
	Outcome, Reason, Request string
	// Status is the HTTP status, or 0 if there was no answer.
	Status int
	// Whole is true if the answer has status 200 and exactly the expected body.
	Whole bool
	// Broken is true if reading the answer's body failed, so that the caller
	// noticed the truncation.
	Broken bool
	Error  string
}

// Record is one caller request with all its attempts.
type Record struct {
	Kind, Class string
	Offered     time.Time
	Tries       []Try
	// Unsent is true if the request was not sent because maxInFlight requests
	// were in flight.
	Unsent bool
}

// Latency returns the time from the scheduled arrival of the request to its
// complete answer, or false if there was none. The kind's timeout applies to
// each attempt separately.
func (r Record) Latency() (time.Duration, bool) {
	if n := len(r.Tries); n > 0 && r.Tries[n-1].Whole {
		return r.Tries[n-1].End.Sub(r.Offered), true
	}
	return 0, false
}

// OutcomeLabel returns the outcome and the reason of the attempt as one label.
func (t Try) OutcomeLabel() string {
	switch {
	case t.Outcome == "" && t.Status == 0:
		return "NoAnswer"
	case t.Outcome == "":
		return fmt.Sprintf("Status%d", t.Status)
	case t.Outcome == "Ran" && t.Status != http.StatusOK:
		return fmt.Sprintf("Ran%d", t.Status)
	case t.Reason != "":
		return t.Outcome + "/" + t.Reason
	default:
		return t.Outcome
	}
}

// LastOutcomeLabel returns the label of the last attempt, or "Unsent".
func (r Record) LastOutcomeLabel() string {
	if r.Unsent || len(r.Tries) == 0 {
		return "Unsent"
	}
	return r.Tries[len(r.Tries)-1].OutcomeLabel()
}

// Loader generates load. It is safe for concurrent use.
type Loader struct {
	client     *http.Client
	kinds      []Kind
	totalShare float64

	mu       sync.Mutex
	cfg      Config
	rng      *rand.Rand
	records  []*Record
	inFlight int
	tickets  map[string][]ticket
}

// New returns a loader. It sends nothing until Run is called.
func New(cfg Config) *Loader {
	l := &Loader{
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 1024,
		}},
		kinds:   cfg.Kinds,
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		tickets: make(map[string][]ticket),
	}
	for _, k := range cfg.Kinds {
		l.totalShare += k.Share
	}
	return l
}

// SetRate sets the number of arrivals per second; 0 stops them.
func (l *Loader) SetRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Rate = rate
}

// SetRetries sets the maximum number of repeats for requests that arrive from
// now on.
func (l *Loader) SetRetries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Retries = n
}

// SetEntries replaces the entry listeners.
func (l *Loader) SetEntries(entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Entries = slices.Clone(entries)
}

// Records returns a copy of all records. Requests still in flight contain the
// attempts completed so far.
func (l *Loader) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	rs := make([]Record, 0, len(l.records))
	for _, r := range l.records {
		c := *r
		c.Tries = slices.Clone(r.Tries)
		rs = append(rs, c)
	}
	return rs
}

// Run generates requests with exponentially distributed gaps until the context
// is done. Requests in flight are not cancelled; Run returns once they have
// completed.
func (l *Loader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		l.mu.Lock()
		rate := l.cfg.Rate
		gap := l.rng.ExpFloat64()
		kind := l.pickKind()
		l.mu.Unlock()
		idle := rate <= 0
		if idle {
			next = time.Now().Add(5 * time.Millisecond)
		} else {
			next = next.Add(time.Duration(gap / rate * float64(time.Second)))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		if idle {
			continue
		}
		offered := next
		key := fmt.Sprintf("%s-%d-%d", l.cfg.Name, l.cfg.Seed, n)
		wg.Go(func() { l.request(kind, key, offered) })
	}
}

// pickKind returns a random kind, weighted by Share. The caller must hold l.mu.
func (l *Loader) pickKind() Kind {
	x := l.rng.Float64() * l.totalShare
	for _, k := range l.kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return l.kinds[len(l.kinds)-1]
}

func (l *Loader) request(k Kind, key string, offered time.Time) {
	rec := &Record{Kind: k.Name, Class: k.Class, Offered: offered}
	l.mu.Lock()
	l.records = append(l.records, rec)
	rec.Unsent = l.inFlight >= maxInFlight
	if rec.Unsent {
		l.mu.Unlock()
		return
	}
	l.inFlight++
	retries := l.cfg.Retries
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.inFlight--
		l.mu.Unlock()
	}()

	var tk string
	if k.Ticket {
		tk = l.takeTicket(k)
	}
	attemptKey := key
	indeterminate := false
	for repeat, number := 0, 1; ; number++ {
		entry, wait := l.pickEntryAndBackoff()
		attempt, newTicket := l.send(k, attemptKey, number, repeat+1, tk, entry)
		l.mu.Lock()
		rec.Tries = append(rec.Tries, attempt)
		l.mu.Unlock()
		if attempt.Whole {
			return
		}
		if attempt.Status == http.StatusPreconditionRequired && newTicket != "" {
			// An answer that issues a ticket is not a failure, so the next attempt
			// does not count as a repeat. A ticket that replaces another one
			// guarantees that the request with the old ticket will never run, even
			// if an earlier attempt had an indeterminate outcome.
			tk = newTicket
			continue
		}
		indeterminate = indeterminate || attempt.Outcome != "NotRun"
		if repeat++; repeat > retries {
			return
		}
		sameKey := tk != "" || k.Key
		if attempt.Reason == "TicketForeign" || attempt.Reason == "TicketExpired" {
			if indeterminate {
				return
			}
			tk, sameKey = l.takeTicket(k), false
		}
		if !sameKey {
			attemptKey = fmt.Sprintf("%s.%d", key, repeat)
		}
		time.Sleep(wait)
	}
}

func (l *Loader) pickEntryAndBackoff() (entry string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cfg.Entries[l.rng.IntN(len(l.cfg.Entries))], time.Duration(l.rng.ExpFloat64() * float64(l.cfg.Backoff))
}

func (l *Loader) send(k Kind, key string, number, attempt int, tk, entry string) (t Try, newTicket string) {
	t = Try{Key: key, Number: number, Entry: entry, Begin: time.Now()}
	defer func() { t.End = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), k.Timeout)
	defer cancel()
	body := worker.FillerText("body "+key, k.BodySize)
	req, err := http.NewRequestWithContext(ctx, k.Method, "http://"+entry+"/"+k.Service+k.Path, worker.NewBody(k.Method, body))
	if err != nil {
		t.Error = err.Error()
		return t, ""
	}
	if k.BodySize > 0 {
		req.ContentLength = int64(k.BodySize)
	}
	req.Header.Set(worker.HeaderKey, key)
	req.Header.Set(worker.HeaderTry, strconv.Itoa(number))
	req.Header.Set("Crocus-Attempt", strconv.Itoa(attempt))
	req.Header.Set("Crocus-Timeout-Ms", strconv.FormatInt(k.Timeout.Milliseconds(), 10))
	if tk != "" {
		req.Header.Set("Crocus-Ticket", tk)
	}
	if k.Key {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		t.Error = err.Error()
		return t, ""
	}
	defer func() { _ = resp.Body.Close() }()
	t.Status = resp.StatusCode
	t.Outcome = resp.Header.Get("Crocus-Outcome")
	t.Reason = resp.Header.Get("Crocus-Reason")
	t.Request = resp.Header.Get("Crocus-Request")
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error, t.Broken = err.Error(), true
		return t, ""
	}
	u, err := url.Parse(k.Path)
	if err != nil {
		t.Error = err.Error()
		return t, ""
	}
	if t.Status == http.StatusOK {
		t.Whole = bytes.Equal(b, worker.Answer(k.Service, u.Path, key, k.AnswerSize, body))
	}
	return t, resp.Header.Get("Crocus-Ticket")
}
