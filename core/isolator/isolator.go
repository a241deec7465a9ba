package isolator

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
)

// PanicsMetric is the name of the counter of panics.
const PanicsMetric = "Panics"

// Isolator logs and counts panics. It is safe for concurrent use.
type Isolator struct {
	log    logr.Logger
	panics metrics.Counter
}

// New returns an Isolator that counts in the registry.
func New(log logr.Logger, registry metrics.Registry) *Isolator {
	return &Isolator{log: log, panics: metrics.GetOrRegisterCounter(PanicsMetric, registry)}
}

// Run calls f and reports whether it returned without a panic. work says what f
// does, and id which request or peer it is for.
func (i *Isolator) Run(work, id string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			i.record(work, id, cause)
		}
	}()
	f()
	return true
}

func (i *Isolator) record(work, id string, cause any) {
	i.panics.Inc(1)
	i.log.Info("panic", "Work", work, "ID", id, "Cause", fmt.Sprint(cause), "Stack", string(debug.Stack()))
}

// Handler returns an HTTP handler that records the panics of h under the value of
// a request header and then closes the connection. A panic with
// http.ErrAbortHandler is a planned abort and is passed on.
func (i *Isolator) Handler(h http.Handler, idHeader string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				i.record("HTTP request", r.Header.Get(idHeader), cause)
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}
