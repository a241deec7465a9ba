package measurer

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/watcher"
	"crocustack/crocusd/internal/synchronizer"
)

// Measure runs all measurements with a fleet of the given size and prints the
// results.
func Measure(w io.Writer, nodes int) error {
	o := Options{Nodes: nodes, Domains: 4, Services: max(nodes/9, 6)}
	if nodes >= 300 {
		o.Domains = 11
	}
	if _, err := fmt.Fprintf(w, "nodes=%d domains=%d services=%d\n", o.Nodes, o.Domains, o.Services); err != nil {
		return err
	}
	return errors.CombineErrors(measureLifecycle(w, o), measureForwarding(w, o))
}

type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, "  "+format+"\n", args...)
	}
}

// printTimes prints quantiles of sorted times, or the error.
func (p *printer) printTimes(label string, ts []time.Duration, err error) {
	if err != nil {
		p.printf("%s: FAILED: %v", label, err)
		p.err = err
		return
	}
	p.printf("%s: median %v, p99 %v, all %v", label, quantile(ts, 0.5), quantile(ts, 0.99), quantile(ts, 1))
}

// quantile returns the q-quantile of sorted times.
func quantile(ts []time.Duration, q float64) time.Duration {
	if len(ts) == 0 {
		return 0
	}
	return ts[int(q*float64(len(ts)-1))].Round(time.Millisecond)
}

// sampleReads samples the platform's counter of reads once a second until stop is
// called. stop returns the highest and the mean number of reads per second, and
// the number of refused reads.
func sampleReads(p *Platform) (stop func() (peak uint64, mean float64, refused uint64)) {
	quit, done := make(chan struct{}), make(chan struct{})
	first, refused, begin := p.Reads.Load(), p.Refused.Load(), time.Now()
	last, peak := first, uint64(0)
	go func() {
		defer close(done)
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-quit:
				return
			case <-t.C:
				now := p.Reads.Load()
				peak = max(peak, now-last)
				last = now
			}
		}
	}()
	return func() (uint64, float64, uint64) {
		seconds := time.Since(begin).Seconds()
		close(quit)
		<-done
		total := p.Reads.Load()
		return max(peak, total-last), float64(total-first) / seconds, p.Refused.Load() - refused
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureLifecycle measures the start of the fleet, its steady state, the delivery
// of notes, the restart of one domain, an outage of the platform and the restart
// of the fleet.
func measureLifecycle(w io.Writer, o Options) error {
	p := &printer{w: w}
	before := heapBytes()
	f := NewFleet(o)
	defer f.Stop()
	n := float64(o.Nodes)

	stop := sampleReads(f.Platform)
	begin := time.Now()
	f.Start(all)
	ts, err := f.Await(begin, 60*time.Second, all, ready)
	p.printTimes("whole fleet starts, ready", ts, err)
	time.Sleep(5 * time.Second)
	peakReads, _, refused := stop()
	p.printf("whole fleet starts, platform reads: at most %d a second, %d refused", peakReads, refused)

	time.Sleep(15 * time.Second) // Until the transfers and first links of the start are complete.
	f.Network.TakePeakBytes()
	messages, bytes, cpu := f.Network.Messages.Load(), f.Network.Bytes.Load(), processorTime()
	begin = time.Now()
	stop = sampleReads(f.Platform)
	time.Sleep(20 * time.Second)
	peakReads, mean, _ := stop()
	seconds := time.Since(begin).Seconds()
	p.printf("steady, each node sends: %.0f bytes and %.2f messages a second", float64(f.Network.Bytes.Load()-bytes)/n/seconds, float64(f.Network.Messages.Load()-messages)/n/seconds)
	p.printf("steady, busiest node sends and receives: %.0f bytes a second", float64(f.Network.TakePeakBytes())/seconds)
	p.printf("steady, processor time of each node: %.3f%% of a core", 100*(processorTime()-cpu).Seconds()/n/seconds)
	p.printf("steady, platform reads: %.1f a second, at most %d", mean, peakReads)
	p.printf("heap of each node: %.0f KB", float64(heapBytes()-before)/n/1024)
	links, peakLinks := f.Network.Links()
	p.printf("links of each node: %.1f, at most %d", links, peakLinks)

	hasNote := func(number uint64) func(int, synchronizer.Snapshot) bool {
		return func(_ int, s synchronizer.Snapshot) bool { return s.View.Number == number }
	}
	var slowest []time.Duration
	for range 5 {
		ts, err = f.Await(time.Now(), 30*time.Second, all, hasNote(f.PublishNote()))
		if err != nil {
			break
		}
		slowest = append(slowest, ts[len(ts)-1])
		time.Sleep(1200 * time.Millisecond)
	}
	p.printTimes("note in force, platform up", ts, err)
	p.printf("note in force everywhere, 5 notes: %v", slowest)
	f.Platform.SetPartitioned(domainName(1), true)
	time.Sleep(12 * time.Second) // Longer than the 10 s without readers after which a node reads directly.
	ts, err = f.Await(time.Now(), 30*time.Second, all, hasNote(f.PublishNote()))
	p.printTimes("note in force, one domain cut from the platform", ts, err)
	f.Platform.SetPartitioned(domainName(1), false)

	inDomain := func(i int) bool { return i%o.Domains == 1 }
	stop = sampleReads(f.Platform)
	begin = time.Now()
	f.Start(inDomain)
	ts, err = f.Await(begin, 60*time.Second, inDomain, ready)
	p.printTimes("whole domain restarts, ready", ts, err)
	time.Sleep(10 * time.Second)
	peakReads, _, refused = stop()
	p.printf("whole domain restarts, platform reads: at most %d a second, %d refused", peakReads, refused)

	stop = sampleReads(f.Platform)
	f.Platform.SetDown(true)
	time.Sleep(20 * time.Second)
	peakReads, mean, _ = stop()
	p.printf("platform down, reads: %.1f a second, at most %d", mean, peakReads)
	stop = sampleReads(f.Platform)
	f.Platform.SetDown(false)
	ts, err = f.Await(time.Now(), 60*time.Second, all, hasNote(f.PublishNote()))
	p.printTimes("platform back, note in force", ts, err)
	time.Sleep(5 * time.Second)
	peakReads, mean, _ = stop()
	p.printf("platform back, reads: %.1f a second, at most %d", mean, peakReads)

	stop = sampleReads(f.Platform)
	begin = time.Now()
	f.Start(all)
	ts, err = f.Await(begin, 60*time.Second, all, ready)
	p.printTimes("whole fleet restarts, ready", ts, err)
	time.Sleep(5 * time.Second)
	peakReads, _, refused = stop()
	p.printf("whole fleet restarts, platform reads: at most %d a second, %d refused", peakReads, refused)
	return p.err
}

// measureForwarding compares plain gossip with forwarding by scope: the bytes of
// updates per changed record, and the time until all nodes whose scope holds the
// record have received it.
func measureForwarding(w io.Writer, o Options) error {
	p := &printer{w: w}
	for _, o.ForwardAll = range []bool{true, false} {
		f := NewFleet(o)
		begin := time.Now()
		f.Start(all)
		if _, err := f.Await(begin, 60*time.Second, all, ready); err != nil {
			f.Stop()
			return err
		}
		time.Sleep(15 * time.Second)
		const changes = 16
		bytes, updates := f.Network.Bytes.Load(), f.Network.Updates.Load()
		var slowest, p90 []time.Duration
		for k := range changes {
			i := k / 2 * 7 % o.Nodes
			listed := k%2 == 1
			f.SetListed(i, listed)
			cell := watcher.Cell{Domain: f.nodes[i].domain, Service: f.nodes[i].service}
			ts, err := f.Await(time.Now(), 30*time.Second, all, func(_ int, s synchronizer.Snapshot) bool {
				if !s.Table.Scope().Holds(cell) {
					return true
				}
				found := false
				for _, r := range s.Table.Service(cell.Service) {
					found = found || r.Address == f.nodes[i].address
				}
				return found == listed
			})
			if err != nil {
				p.printf("plain=%v: change %d: FAILED: %v", o.ForwardAll, k, err)
				p.err = errors.CombineErrors(p.err, err)
				continue
			}
			p90 = append(p90, quantile(ts, 0.9))
			slowest = append(slowest, ts[len(ts)-1])
			time.Sleep(1200 * time.Millisecond) // A watch is renewed at most once a second.
		}
		totalBytes := float64(f.Network.Bytes.Load() - bytes)
		updateBytes := float64(f.Network.Updates.Load() - updates)
		slices.Sort(p90)
		slices.Sort(slowest)
		p.printf("plain=%v: %.0f bytes of updates for each change (%.0f with all other traffic), delivered to 90%% after %v, to all after %v (medians), at worst %v",
			o.ForwardAll, updateBytes/changes, totalBytes/changes, quantile(p90, 0.5), quantile(slowest, 0.5), quantile(slowest, 1))
		f.Stop()
	}
	return p.err
}
