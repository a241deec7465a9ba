package worker

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// Handler serves requests, /health, /load and the fault controls under
// /control/.
func (w *Worker) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/health", func(rw http.ResponseWriter, _ *http.Request) {
		state, _ := w.reportedState(time.Now())
		_ = json.NewEncoder(rw).Encode(map[string]string{"State": state})
	})
	r.HandleFunc("/load", func(rw http.ResponseWriter, _ *http.Request) {
		_, present := w.reportedState(time.Now())
		_ = json.NewEncoder(rw).Encode(map[string]int{"Present": present})
	})
	c := r.PathPrefix("/control").Subrouter()
	c.HandleFunc("/ledger", func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(w.ledger.Entries())
	}).Methods(http.MethodGet)
	c.HandleFunc("/slow/{value}", func(rw http.ResponseWriter, r *http.Request) {
		f, err := strconv.ParseFloat(mux.Vars(r)["value"], 64)
		if err != nil || f <= 0 {
			http.Error(rw, "the factor must be a number above 0", http.StatusBadRequest)
			return
		}
		w.SetSlow(f)
	}).Methods(http.MethodPost)
	for name, set := range map[string]func(bool){"pause": w.SetPaused, "drain": w.SetDraining} {
		c.HandleFunc("/"+name+"/{value}", func(rw http.ResponseWriter, r *http.Request) {
			on, err := strconv.ParseBool(mux.Vars(r)["value"])
			if err != nil {
				http.Error(rw, err.Error(), http.StatusBadRequest)
				return
			}
			set(on)
		}).Methods(http.MethodPost)
	}
	r.PathPrefix("/").HandlerFunc(w.serve)
	return r
}

// recordState records the current state for the health and load endpoints. It
// drops reports that are no longer needed for the report lag. The caller must
// hold w.mu.
func (w *Worker) recordState() {
	now := time.Now()
	w.reports = append(w.reports, stateReport{at: now, draining: w.draining, present: w.present})
	for len(w.reports) > 1 && now.Sub(w.reports[1].at) >= w.cfg.ReportLag {
		w.reports = w.reports[1:]
	}
}

// reportedState returns the state and load that the health and load endpoints
// report at the given time.
func (w *Worker) reportedState(now time.Time) (state string, present int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cfg.Mislead {
		return "Ready", 0
	}
	var last stateReport
	for _, r := range w.reports {
		if now.Sub(r.at) >= w.cfg.ReportLag {
			last = r
		}
	}
	switch {
	case last.draining:
		return "Draining", last.present
	case now.Sub(w.started) < w.cfg.Cold+w.cfg.ReportLag:
		return "Starting", last.present
	default:
		return "Ready", last.present
	}
}
