package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["path"] = pathCase }

// pathCase sends requests whose path begins with two slashes on a route with the
// prefix "/". The upstream must get the path and the query as the client sent them.
func pathCase(rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	quick := func(*http.Request) time.Duration { return 5 * time.Millisecond }
	for _, s := range []string{"archiwum", "archiwum"} {
		if _, err := f.add(s, 20, quick); err != nil {
			return verdict{}, err
		}
	}
	f.publish(7, []route{{"receipts", "/", "safe", "archiwum", 5 * time.Second, 1200 * time.Millisecond, 2}}, 67108864)
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	sent := map[string]string{}
	for i := range 40 {
		target := fmt.Sprintf("/leny950/%x?seller=%d&day=2026-12-05", i, i)
		if trouble && i%2 == 0 {
			target = "/" + target
		}
		id := newID()
		sent[id] = target
		m := f.machines[i%2]
		once(m, http.MethodGet, target, id, 5*time.Second, nil)
	}
	changed := 0
	for _, m := range f.machines {
		for _, r := range m.up.ran() {
			same := sent[r.ID] == r.Target
			rec.log("upstream %s ran %s: %s %s, unchanged %t", r.Upstream, r.ID, r.Method, r.Target, same)
			if !same {
				changed++
			}
		}
	}
	return verdict{changed > 0, fmt.Sprintf("%d of %d requests ran with a path or query that no client sent", changed, len(sent))}, nil
}
