package budgeter

import (
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

func checkPool(t *rapid.T, p *Pool, initial uint32) {
	if got := uint64(p.held) + uint64(p.lent) + uint64(p.spent); got != uint64(initial) {
		t.Fatalf("held %d + lent %d + spent %d = %d, want %d", p.held, p.lent, p.spent, got, initial)
	}
}

// Guards against units being created or lost by any order of operations,
// including returns of shares that were never lent.
func TestPoolConservesUnits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := rapid.OneOf(rapid.Uint32Range(0, 20), rapid.Uint32()).Draw(t, "initial")
		p := NewPool(initial)
		var loans []uint32
		t.Repeat(map[string]func(*rapid.T){
			"Lend": func(t *rapid.T) { loans = append(loans, p.LendHalf()) },
			"Return": func(t *rapid.T) {
				if len(loans) == 0 {
					t.Skip()
				}
				p.Return(loans[0], rapid.Uint32().Draw(t, "unspent"))
				loans = loans[1:]
			},
			"Forged": func(t *rapid.T) { p.Return(rapid.Uint32().Draw(t, "lent"), rapid.Uint32().Draw(t, "unspent")) },
			"Spend": func(t *rapid.T) {
				if had := p.Held() > 0; p.Spend() != had {
					t.Fatalf("Spend with held > 0 %v returned %v", had, !had)
				}
			},
			"": func(t *rapid.T) { checkPool(t, p, initial) },
		})
	})
}

// tree simulates a call tree whose shape and failures are drawn at random.
type tree struct {
	t               *rapid.T
	calls, attempts uint32
}

// run performs one attempt and returns its unspent allowance. All calls are sent
// with their shares before the first one is answered.
func (tr *tree) run(depth int, allowance uint32) uint32 {
	p := NewPool(allowance)
	if depth > 0 {
		var lent []uint32
		for range rapid.IntRange(0, 3).Draw(tr.t, "fan") {
			if tr.calls < 300 { // Bounds the size of a drawn tree.
				tr.calls++
				lent = append(lent, p.LendHalf())
			}
		}
		for _, share := range lent {
			tr.call(depth-1, p, share)
		}
	}
	checkPool(tr.t, p, allowance)
	return p.Held()
}

// call makes attempts until one succeeds or the pool allows no retry.
func (tr *tree) call(depth int, p *Pool, share uint32) {
	for {
		tr.attempts++
		outcome := rapid.SampledFrom([]string{"ok", "failed", "refused", "request lost", "answer lost"}).Draw(tr.t, "outcome")
		unspent := share
		if outcome == "ok" || outcome == "failed" || outcome == "answer lost" {
			unspent = tr.run(depth, share)
		}
		if outcome == "request lost" || outcome == "answer lost" {
			unspent = 0
		}
		p.Return(share, unspent)
		if outcome == "ok" || !p.Spend() {
			return
		}
		share = p.LendHalf()
	}
}

// Guards against retries that multiply with the depth or fan-out of a call tree
// (P1).
func TestTreeAttemptsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.Uint32Range(0, 12).Draw(t, "allowance")
		tr := &tree{t: t}
		tr.run(rapid.IntRange(1, 8).Draw(t, "depth"), allowance)
		if tr.attempts > tr.calls+allowance {
			t.Fatalf("%d attempts for %d calls and allowance %d", tr.attempts, tr.calls, allowance)
		}
	})
}

// Guards against lost updates between concurrent children; run with -race.
func TestPoolConcurrentSpendsOnce(t *testing.T) {
	const initial = 1000
	p := NewPool(initial)
	var spent atomic.Uint32
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for p.Spend() {
				spent.Add(1)
				n := p.LendHalf()
				p.Return(n, n)
			}
		})
	}
	wg.Wait()
	if held := p.Held(); spent.Load()+held != initial {
		t.Errorf("spent %d + held %d, want %d", spent.Load(), held, initial)
	}
}

// Guards against a ratio that allows more retries than the share plus the burst,
// or that doesn't allow the full share because of rounding errors.
func TestRatioBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := float64(rapid.IntRange(0, 100).Draw(t, "percent")) / 100
		burst := float64(rapid.IntRange(1, 20).Draw(t, "burst"))
		r := NewRatio(share, burst)
		first, retries := 0, 0
		for _, deposit := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "deposits") {
			if deposit {
				r.Deposit()
				first++
			} else if r.TryRetry() {
				retries++
			}
		}
		if bound := share*float64(first) + burst + 1e-6; float64(retries) > bound || share == 0 && retries > 0 {
			t.Fatalf("%d retries for %d first attempts, share %v, burst %v", retries, first, share, burst)
		}
	})
	r := NewRatio(0.1, 1)
	for allowed := 0; allowed < 5; allowed++ {
		if !r.TryRetry() || r.TryRetry() {
			t.Fatalf("after %d retries: 10 first attempts at 10%% should allow exactly one more", allowed)
		}
		for range 10 {
			r.Deposit()
		}
	}
}
