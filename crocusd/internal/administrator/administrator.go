package administrator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"crocustack/core/informer"
	"crocustack/core/recorder"
)

// Node is the node that the admin API exposes.
type Node interface {
	Status() informer.Status
	Links() []informer.Link
	Limits() informer.Limits
	// Release returns the document of the active release.
	Release() []byte
	// Ready reports whether the node serves requests.
	Ready() bool
	// Drain starts a graceful stop and returns at once.
	Drain()
}

// defaultDecisions is the maximum number of decisions in a response when the
// request states no limit.
const defaultDecisions = 100

// Handler returns the admin API of a node.
func Handler(n Node, rec *recorder.Recorder) http.Handler {
	r := mux.NewRouter()
	get := func(path string, read func() any) {
		r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, read()) }).Methods(http.MethodGet)
	}
	get("/status", func() any { return n.Status() })
	get("/links", func() any { return n.Links() })
	get("/limits", func() any { return n.Limits() })
	r.HandleFunc("/decisions", func(w http.ResponseWriter, r *http.Request) { serveDecisions(w, r, rec) }).Methods(http.MethodGet)
	r.HandleFunc("/release", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(n.Release())
	}).Methods(http.MethodGet)
	r.Handle("/metrics", Metrics(rec)).Methods(http.MethodGet)
	r.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { serveHealth(w, n) }).Methods(http.MethodGet)
	r.HandleFunc("/drain", func(w http.ResponseWriter, _ *http.Request) {
		n.Drain()
		writeJSON(w, http.StatusAccepted, n.Status())
	}).Methods(http.MethodPost)
	return r
}

// Router explains where requests would go.
type Router interface {
	Route(q informer.RouteQuery) informer.RouteAnswer
}

// Hosted returns the admin API of a node on the users' platform: metrics, and GET /route.
func Hosted(n Router, rec *recorder.Recorder) http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", Metrics(rec)).Methods(http.MethodGet)
	r.HandleFunc("/route", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if q.Get("host") == "" || q.Get("target") == "" {
			http.Error(w, "host and target are required", http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, n.Route(informer.RouteQuery{Host: q.Get("host"), Target: q.Get("target"), Organisation: q.Get("organisation")}))
	}).Methods(http.MethodGet)
	return r
}

// Metrics returns a handler that serves the counters and histograms as JSON.
func Metrics(rec *recorder.Recorder) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(rec.Registry(), w)
	})
}

func serveDecisions(w http.ResponseWriter, r *http.Request, rec *recorder.Recorder) {
	limit := defaultDecisions
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			http.Error(w, "limit must be a whole number above 0", http.StatusBadRequest)
			return
		}
		limit = n
	}
	writeJSON(w, http.StatusOK, rec.Recent(recorder.Filter{RequestID: r.URL.Query().Get("request"), Limit: limit}))
}

// serveHealth responds with 503 while the node accepts no new requests, so that
// health checks that only look at the status code work.
func serveHealth(w http.ResponseWriter, n Node) {
	state, status := "Ready", http.StatusOK
	switch {
	case n.Status().Draining:
		state, status = "Draining", http.StatusServiceUnavailable
	case !n.Ready():
		state, status = "Starting", http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct{ State string }{state})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
