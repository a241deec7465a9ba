package publisher

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gorilla/mux"
)

// Handler serves the keys under /v1/keys/ and the fault controls under
// /control/.
func (p *Publisher) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/keys/{key:.+}", p.serveKey).Methods(http.MethodGet)
	c := r.PathPrefix("/control").Subrouter()
	c.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Counts())
	}).Methods(http.MethodGet)
	c.HandleFunc("/keys/{key:.+}", func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(io.LimitReader(r.Body, MaxValue+1))
		if err == nil {
			err = p.Put(mux.Vars(r)["key"], b)
		}
		reply(w, err)
	}).Methods(http.MethodPut)
	c.HandleFunc("/instances", func(w http.ResponseWriter, r *http.Request) {
		var ins []Instance
		err := yaml.NewDecoder(r.Body).Decode(&ins)
		for _, in := range ins {
			if err == nil {
				err = p.SetInstance(in)
			}
		}
		reply(w, err)
	}).Methods(http.MethodPost)
	c.HandleFunc("/down/{on}", p.controlHandler(func(v string) error {
		on, err := strconv.ParseBool(v)
		if err == nil {
			p.SetDown(on)
		}
		return err
	})).Methods(http.MethodPost)
	c.HandleFunc("/stale/{behind:[0-9]+}", p.controlHandler(func(v string) error {
		n, err := strconv.Atoi(v)
		if err == nil {
			p.SetStale(n)
		}
		return err
	})).Methods(http.MethodPost)
	c.HandleFunc("/fresh", p.controlHandler(func(string) error { p.SetFresh(); return nil })).Methods(http.MethodPost)
	c.HandleFunc("/slow/{delay}", p.controlHandler(func(v string) error {
		d, err := time.ParseDuration(v)
		if err == nil {
			p.SetSlow(d)
		}
		return err
	})).Methods(http.MethodPost)
	return r
}

// controlHandler returns a handler that calls set with the path variable, or
// with "" if the path has none.
func (p *Publisher) controlHandler(set func(value string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, v := range mux.Vars(r) {
			reply(w, set(v))
			return
		}
		reply(w, set(""))
	}
}

func reply(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Publisher) serveKey(w http.ResponseWriter, r *http.Request) {
	after, errAfter := intParameter(r, "after")
	wait, errWait := intParameter(r, "wait")
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	watch := wait > 0
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Second)
	defer cancel()

	p.mu.Lock()
	slow := p.slow
	if watch {
		p.counts.Watches++
	} else {
		p.counts.Reads++
	}
	allowed := p.limiter.Allow()
	if !allowed {
		p.counts.Limited++
	}
	p.mu.Unlock()
	if !allowed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate limit", http.StatusTooManyRequests)
		return
	}
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			return
		}
	}
	value, version := p.readValue(ctx, mux.Vars(r)["key"], after, watch)
	switch {
	case version == 0:
		http.Error(w, "no such key", http.StatusNotFound)
	case version <= after:
		w.Header().Set("Key-Version", strconv.Itoa(version))
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Key-Version", strconv.Itoa(version))
		_, _ = w.Write(value)
	}
}

// readValue returns the current value and version of a key. If watch is true it
// blocks until the version exceeds after or the context is done. It aborts the
// connection while the platform is down.
func (p *Publisher) readValue(ctx context.Context, key string, after int, watch bool) ([]byte, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.down {
			panic(http.ErrAbortHandler)
		}
		value, version := p.currentValue(key)
		if version > after || !watch || ctx.Err() != nil {
			return value, version
		}
		changed := p.changed
		p.counts.Pending++
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		p.mu.Lock()
		p.counts.Pending--
	}
}

func intParameter(r *http.Request, name string) (int, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return 0, nil
	}
	return strconv.Atoi(v)
}
