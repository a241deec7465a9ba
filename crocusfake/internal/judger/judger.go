package judger

import (
	"fmt"
	"net/http"
	"time"

	"crocustack/crocusfake/internal/loader"
	"crocustack/crocusfake/internal/worker"
)

const maxExamples = 20

// Verdict is the result of a comparison.
type Verdict struct {
	Requests, Tries, Runs int
	// DoubleRuns counts keys of requests that are not idempotent and that ran
	// more than once.
	DoubleRuns int
	// FalseNotRun counts attempts, nested calls included, that ran although
	// their caller received the outcome NotRun.
	FalseNotRun int
	// RepeatNotRun counts repeats with the same ticket or key that received
	// NotRun although an earlier attempt ran. This alone is not a breach.
	RepeatNotRun int
	// WrongAnswers counts answers with status 200 and a wrong body, except those
	// that the caller noticed to be truncated.
	WrongAnswers int
	// WrongNested counts nested calls that received such an answer.
	WrongNested int
	// MaxAttempts is the largest number of requests that backend servers
	// received for one HTTP request of a caller.
	MaxAttempts int
	// MaxRetries is the largest number of retries among them.
	MaxRetries int
	// ExcessRetries counts HTTP requests with more retries than allowed.
	ExcessRetries int
	// Wasted is the share of run time spent on requests whose caller received no
	// complete answer.
	Wasted float64
	// Examples describes the first breaches, at most maxExamples.
	Examples []string
	// Request is the node's request ID of the first example.
	Request string
}

// Breaches returns the number of breaches of all kinds.
func (v Verdict) Breaches() int {
	return v.DoubleRuns + v.FalseNotRun + v.WrongAnswers + v.WrongNested + v.ExcessRetries
}

// addBreach increments count and adds the breach to the examples.
func (v *Verdict) addBreach(count *int, request, format string, args ...any) {
	*count++
	if v.Request == "" {
		v.Request = request
	}
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// Judge compares the ledgers with the callers' records. Both must be complete,
// so no request may be in flight. The allowance is the number of retries allowed
// for one call tree; if it is negative, retries are not checked.
func Judge(ledgers []worker.Entries, records []loader.Record, allowance int) Verdict {
	var v Verdict
	runsByKey := make(map[string][]worker.Run)
	runByAttempt := make(map[worker.Attempt]worker.Run)
	arrivals := make(map[worker.Attempt]int)
	for _, l := range ledgers {
		for _, r := range l.Runs {
			v.Runs++
			runsByKey[r.Key] = append(runsByKey[r.Key], r)
			runByAttempt[worker.Attempt{Key: r.Key, Try: r.Try}] = r
		}
		for a, n := range l.Arrivals {
			arrivals[a] += n
		}
	}
	v.countRetries(arrivals, allowance)
	for key, runs := range runsByKey {
		if len(runs) > 1 && !runs[0].Idempotent {
			v.addBreach(&v.DoubleRuns, runs[1].Request, "double run: key %s ran at %s (try %s, request %s) and %s (try %s, request %s)", key,
				runs[0].Instance, runs[0].Try, runs[0].Request, runs[1].Instance, runs[1].Try, runs[1].Request)
		}
	}
	for _, l := range ledgers {
		for _, c := range l.Nested {
			if run, ok := runByAttempt[worker.Attempt{Key: c.Key, Try: c.Try}]; ok && c.Outcome == "NotRun" {
				v.addBreach(&v.FalseNotRun, run.Request, "false NotRun: nested call %s try %s told NotRun/%s, ran at %s (request %s)", c.Key, c.Try, c.Reason, run.Instance, run.Request)
			}
			if !c.Whole {
				v.addBreach(&v.WrongNested, "", "wrong answer: nested call %s of %s try %s", c.Key, c.Service, c.Try)
			}
		}
	}
	answered := make(map[string]bool)
	for _, r := range records {
		v.Requests++
		for _, t := range r.Tries {
			v.Tries++
			if t.Whole {
				answered[t.Key] = true
			}
			if t.Status == http.StatusOK && !t.Whole && !t.Broken {
				v.addBreach(&v.WrongAnswers, t.Request, "wrong answer: %s key %s try %d request %s at entry %s", r.Kind, t.Key, t.Number, t.Request, t.Entry)
			}
			if t.Outcome != "NotRun" {
				continue
			}
			if run, ok := runByAttempt[worker.Attempt{Key: t.Key, Try: fmt.Sprint(t.Number)}]; ok {
				v.addBreach(&v.FalseNotRun, run.Request, "false NotRun: %s key %s try %d request %s told NotRun/%s, ran at %s (request %s)",
					r.Kind, t.Key, t.Number, t.Request, t.Reason, run.Instance, run.Request)
			} else if len(runsByKey[t.Key]) > 0 {
				v.RepeatNotRun++
			}
		}
	}
	v.Wasted = wastedShare(runsByKey, answered)
	return v
}

// countRetries counts requests with the same key as retries of one call. The
// nested calls of a repeated run have different keys and count as new calls.
func (v *Verdict) countRetries(arrivals map[worker.Attempt]int, allowance int) {
	attempts, retries := make(map[worker.Attempt]int), make(map[worker.Attempt]int)
	for a, n := range arrivals {
		tree := a.Tree()
		attempts[tree] += n
		retries[tree] += n - 1
	}
	for tree, n := range retries {
		v.MaxAttempts = max(v.MaxAttempts, attempts[tree])
		v.MaxRetries = max(v.MaxRetries, n)
		if allowance >= 0 && n > allowance {
			v.addBreach(&v.ExcessRetries, "", "excess retries: %d in the tree of key %s try %s", n, tree.Key, tree.Try)
		}
	}
}

// wastedShare returns the share of run time spent on requests without a complete
// answer. Runs that have not ended are ignored.
func wastedShare(runsByKey map[string][]worker.Run, answered map[string]bool) float64 {
	var total, wastedTime time.Duration
	for key, runs := range runsByKey {
		for _, r := range runs {
			if r.End.IsZero() {
				continue
			}
			d := r.End.Sub(r.Begin)
			total += d
			if !answered[worker.Root(key)] {
				wastedTime += d
			}
		}
	}
	if total == 0 {
		return 0
	}
	return float64(wastedTime) / float64(total)
}
