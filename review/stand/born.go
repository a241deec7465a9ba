package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["born"] = bornCase }

const (
	// clockStep is how far the clock of one machine is ahead, as in kwit-mesh.
	clockStep = 2400 * time.Millisecond
	// firstRun is how long the upstream runs before it crashes, and downTime how long it
	// is down.
	firstRun, downTime = 1200 * time.Millisecond, 600 * time.Millisecond
	// drain is the bound of the same name. An upstream that leaves goes on serving for
	// longer, here for servesOn.
	drain, servesOn = 2 * time.Second, 5 * time.Second
)

// bornCase adds an upstream on a machine whose clock is ahead for a while. The upstream
// crashes once and starts again under its id, when the clock is right again. Much later
// it leaves as planned.
func bornCase(rec *recorder, trouble bool) (verdict, error) {
	f, err := newFleet(rec)
	if err != nil {
		return verdict{}, err
	}
	defer f.close()
	work := func(*http.Request) time.Duration { return 120 * time.Millisecond }
	for _, s := range []string{"archiwum", "ksiegi", "ksiegi", "ksiegi"} {
		if _, err := f.add(s, 183, work); err != nil {
			return verdict{}, err
		}
	}
	f.publish(7, []route{{"book-close", "/ksiegi/", "unsafe", "ksiegi", 5 * time.Second, 1500 * time.Millisecond, 2}}, maxBodyBytes)
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	// The new upstream with its node, as scale_out adds it.
	u, err := f.add("ksiegi", 183, work)
	if err != nil {
		return verdict{}, err
	}
	u.born = time.Now().UnixMilli()
	if trouble {
		u.born += clockStep.Milliseconds()
		rec.log("%s: the clock is %v ahead", u.name, clockStep)
	}
	u.report("ready")
	if err := u.start(); err != nil {
		return verdict{}, err
	}

	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	done := make(chan struct{})
	for n := range 24 {
		m := f.machines[n%4] // Not the machine whose clock is stepped.
		wg.Add(1)
		go func() {
			defer wg.Done()
			var k *client
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
				}
				if k == nil {
					if k, err = dial(m); err != nil {
						k = nil
						continue
					}
				}
				id := newID()
				a := k.do(http.MethodPost, "/ksiegi/"+id, id, 5*time.Second, make([]byte, 4000))
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				if a.err != nil {
					k.close()
					k = nil
				}
			}
		}()
	}
	time.Sleep(firstRun)
	rec.log("upstream %s crashes", u.up.id)
	u.up.end()
	time.Sleep(downTime)
	u.born, u.seq = time.Now().UnixMilli(), 0
	if trouble {
		rec.log("%s: the clock is right again", u.name)
	}
	if err := u.up.start(); err != nil {
		return verdict{}, err
	}
	rec.log("upstream %s starts again under its id", u.up.id)
	u.report("ready")
	time.Sleep(12 * time.Second)
	u.report("draining")
	acked := time.Now()
	time.Sleep(servesOn)
	f.store.remove("servers/" + u.up.id)
	rec.log("store: %s removed", u.up.id)
	u.up.end()
	time.Sleep(time.Second)
	close(done)
	wg.Wait()
	before, after, lost := 0, 0, 0
	for _, r := range u.up.ran() {
		a := answers[r.ID]
		late := r.At.Sub(acked) > drain
		switch {
		case late:
			after++
			if a.err != nil || a.status != http.StatusOK {
				lost++
			}
			rec.log("upstream %s began %s %.3f s after the ack of draining: client got %s", r.Upstream, r.ID, r.At.Sub(acked).Seconds(), a)
		case r.At.After(acked.Add(-10 * time.Second)):
			before++
		}
	}
	count := map[string]int{}
	for _, a := range answers {
		count[fmt.Sprint(a.status)]++
	}
	rec.log("answers by status, 0 for none: %v", count)
	return verdict{after > 0, fmt.Sprintf("%d requests reached the upstream later than %v after the ack that it is draining, %d of them were lost when it ended (%d reached it in the 12 s before)", after, drain, lost, before)}, nil
}
