package composer

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// load sends idempotent requests through all machines in turn at a rate a second
// until stop is closed, and returns a function that waits for the answers and
// returns the number of requests sent and of those answered with 200.
func (f *fleet) load(name string, rate int, entries []int, stop <-chan struct{}) (wait func() (sent, served int)) {
	var (
		mu           sync.Mutex
		wg           sync.WaitGroup
		sent, served int
	)
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			sent++
			wg.Go(func() {
				if f.get(entries[i%len(entries)], fmt.Sprint(name, "-", i)).Status == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
	})
	return func() (int, int) {
		wg.Wait()
		return sent, served
	}
}

// TestStatedRateHolds guards against a backend server that states the rate of
// requests that it accepts and gets more than one and a half times as many, also
// after its node has restarted, and against requests that fail although other
// servers of the service are free.
func TestStatedRateHolds(t *testing.T) {
	const (
		rate     = 10 // Stated, in requests a second.
		span     = 4 * time.Second
		tellTime = 500 * time.Millisecond
	)
	f := newFleet(t, "s", "s", "s", "other")
	limited := f.machines[0]
	limited.backend.StateRate(fmt.Sprint(rate))
	stop := make(chan struct{})
	wait := f.load("l", 90, []int{1, 2, 3}, stop)
	time.Sleep(tellTime)
	for _, when := range []string{"while its node runs", "after a restart of its node"} {
		since := time.Now()
		time.Sleep(span)
		got := limited.backend.ArrivalsSince(since)
		if most := int(1.5*rate*span.Seconds()) + 5; got > most {
			t.Errorf("%s: a server that states %d requests a second got %d in %s, want at most %d", when, rate, got, span, most)
		}
		if got < rate {
			t.Errorf("%s: the server got %d requests in %s, want its capacity used", when, got, span)
		}
		if when == "while its node runs" {
			limited.stop()
			<-limited.ended
			f.start(limited)
		}
	}
	limited.backend.StateRate("")
	f.eventually("the full share after the limit is lifted", func() bool {
		since := time.Now()
		time.Sleep(time.Second)
		return limited.backend.ArrivalsSince(since) > 2*rate
	})
	close(stop)
	if sent, served := wait(); served < sent*99/100 {
		t.Errorf("%d of %d requests served, want 99%%: two servers had free capacity", served, sent)
	}
}

// TestLeavingServerGetsNothing guards against requests to a backend server that
// has stated in its answers that it leaves, while the store, which would say so
// as well, is down.
func TestLeavingServerGetsNothing(t *testing.T) {
	const drain = 2 * time.Second
	f := newFleet(t, "s", "s", "other")
	leaving := f.machines[0].backend
	f.store.SetDown(true)
	leaving.StateLeaving(true)
	stop, began := make(chan struct{}), time.Now()
	wait := f.load("l", 60, []int{0, 1, 2}, stop)
	f.eventually("request at the leaving server", func() bool { return leaving.ArrivalsSince(began) > 0 })
	time.Sleep(drain)
	since := time.Now()
	// The mark of a node that is about to exit ends after leavingTime.
	time.Sleep(leavingTime)
	if got := leaving.ArrivalsSince(since); got > 0 {
		t.Errorf("a server that leaves got %d requests later than %s after it had said so", got, drain)
	}
	close(stop)
	if sent, served := wait(); served < sent*99/100 {
		t.Errorf("%d of %d requests served, want 99%%", served, sent)
	}
	f.store.SetDown(false)
	leaving.StateLeaving(false)
	f.store.Deregister("i-1")
	f.machines[0].backend.Restart("i-9")
	f.register(0, memberRun("i-9", 9))
	f.eventually("a request at the server's successor", func() bool {
		got := f.get(2, fmt.Sprint("s-", time.Now().UnixNano()))
		return got.Body != "" && got.Body[:3] == "i-9"
	})
}

// TestLimitedServersLeaveChoice guards against requests that wait or are refused
// at servers that limit themselves although one server of the service is free: the
// refusals of the others must not use up its turn, nor raise the admission level.
func TestLimitedServersLeaveChoice(t *testing.T) {
	f := newFleet(t, "s", "s", "s", "s", "s")
	for _, m := range f.machines[1:] {
		m.backend.StateRate("0.5")
	}
	stop := make(chan struct{})
	wait := f.load("c", 100, []int{0, 1, 2, 3, 4}, stop)
	time.Sleep(4 * time.Second)
	close(stop)
	if sent, served := wait(); served < sent*99/100 {
		t.Errorf("%d of %d requests served, want 99%%: one server is free", served, sent)
	}
}
