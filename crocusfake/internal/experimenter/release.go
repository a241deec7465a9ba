package experimenter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// ReleaseResult holds the results of Release.
type ReleaseResult struct {
	Head
	// PlatformUp and OneDomainCut hold, for each round, the time from the
	// publication until the note is active on every node.
	PlatformUp, OneDomainCut []Milliseconds
	// Reads counts the calls to the platform.
	Reads int
}

// Release publishes notes with the platform up, and with one domain cut off from
// the platform, and measures the time until each note is active on all nodes.
func Release(ctx context.Context, command string, seed uint64, perService, rounds int) (ReleaseResult, error) {
	domains := []string{"waw-a", "waw-b"}
	result := ReleaseResult{Head: newHead(command, seed, "Nodes", fmt.Sprint(4*perService), "Domains", joinSpaces(domains),
		"Cut", domains[1], "Rounds", fmt.Sprint(rounds))}
	f, err := startFleet(ctx, fleetConfig{policy: "Adaptive", mesh: kwitariuszMesh(), perService: perService, domains: domains, seed: seed})
	if err != nil {
		return result, err
	}
	keep := false
	defer func() { f.close(keep) }()
	for _, r := range []struct {
		cut   bool
		times *[]Milliseconds
	}{{false, &result.PlatformUp}, {true, &result.OneDomainCut}} {
		f.toPlatform[domains[1]].SetBlocked(r.cut)
		for range rounds {
			d, err := f.activationTime(ctx)
			if err != nil {
				keep = true
				return result, errors.Wrapf(err, "node logs in %s", f.dir)
			}
			*r.times = append(*r.times, milliseconds(d))
		}
	}
	c := f.publisher.Counts()
	result.Reads = c.Reads + c.Watches
	return result, nil
}

// activationTime publishes a note and returns the time until it is active on all
// nodes.
func (f *fleet) activationTime(ctx context.Context) (time.Duration, error) {
	// The queue length alternates, so that each note contains a change.
	n, err := f.publish(f.successor(0, 100+int(f.noteNumber()%2)))
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, m := range f.members {
		g.Go(func() error {
			for {
				st, err := f.status(ctx, m)
				if err == nil && st.Note.Number >= n.Number {
					return nil
				}
				select {
				case <-ctx.Done():
					return errors.Newf("note %d not active on %s after %v: active note %+v, error %v", n.Number, m.name, time.Since(begin), st.Note, err)
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	err = g.Wait()
	return time.Since(begin), err
}

func (f *fleet) noteNumber() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.note.Number
}

// Breaches always returns 0, since the experiment checks no promises.
func (r ReleaseResult) Breaches() int { return 0 }

// Table returns one row for each case and one for the calls to the platform.
func (r ReleaseResult) Table() [][]string {
	rows := [][]string{{"Case", "Rounds", "Median", "Max"}}
	for _, c := range []struct {
		name  string
		times []Milliseconds
	}{{"platform up", r.PlatformUp}, {"one domain cut from the platform", r.OneDomainCut}} {
		if len(c.times) == 0 {
			continue
		}
		s := slices.Sorted(slices.Values(c.times))
		rows = append(rows, []string{c.name, fmt.Sprint(len(s)), s[len(s)/2].String(), s[len(s)-1].String()})
	}
	return append(rows, []string{"platform calls", fmt.Sprint(r.Reads)})
}
