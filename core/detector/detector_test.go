package detector

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestPause guards against running a request from a link whose data may have
// been sent before a pause, whether the tick or the request comes first after
// it, and against holding requests of a link without a pause.
func TestPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPauseDetector(300 * ms)
		var now, lastTick, lastCall, pauseEnd time.Duration
		paused := false // A pause ended and there was no tick since.
		advance := func(t *rapid.T, from, to int) {
			now += time.Duration(rapid.IntRange(from, to).Draw(t, "ms")) * ms
			if now-lastTick > 300*ms && !paused || now-lastCall > 300*ms {
				paused, pauseEnd = true, now
			}
			lastCall = now
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				advance(t, 1, 600)
				if got := p.Tick(now); got != paused {
					t.Fatalf("tick at %v after %v: pause %v, want %v", now, lastTick, got, paused)
				}
				lastTick, paused = now, false
			},
			"request": func(t *rapid.T) {
				advance(t, 0, 400)
				if got := p.PausedSinceTick(now); got != paused {
					t.Fatalf("request at %v, tick at %v: pause %v, want %v", now, lastTick, got, paused)
				}
				confirmed := time.Duration(rapid.IntRange(0, int(now/ms)).Draw(t, "confirmed")) * ms
				want := pauseEnd > 0 && confirmed <= pauseEnd
				if got := p.PausedSince(now, confirmed); got != want {
					t.Fatalf("link confirmed at %v, pause ended at %v: held %v, want %v", confirmed, pauseEnd, got, want)
				}
			},
		})
	})
}

// TestLinkMonitor guards against a silent link that stays in use, and against
// closing a link that is idle, that answers or that was not read because this
// process was paused.
func TestLinkMonitor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const probeAfter, timeout, interval = 300 * ms, 700 * ms, 50 * ms
		m := NewLinkMonitor(probeAfter, timeout)
		var now, read, pendingSince, resumed, probed time.Duration // The last time of each event; pendingSince is -1 without pending requests.
		pendingSince = -1
		for range rapid.IntRange(1, 120).Draw(t, "rounds") {
			now += interval
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0:
				read = now
				m.RecordRead(now)
			case 1:
				pendingSince = -1
			case 2:
				now += time.Second
				resumed = now
			default:
				if pendingSince < 0 {
					pendingSince = now
				}
			}
			got := m.Decide(now, pendingSince >= 0)
			silent := now - max(read, pendingSince, resumed)
			switch {
			case got == ActionProbe && (pendingSince < 0 || silent < probeAfter || probed > now-silent):
				t.Fatalf("probe after %v, last probe at %v", silent, probed)
			case got == ActionProbe:
				probed = now
			case got == ActionAbandon && (pendingSince < 0 || silent < probeAfter+timeout || probed <= now-silent):
				t.Fatalf("abandoned after %v", silent)
			case got == ActionAbandon:
				if m.RecordRead(now); m.Decide(now+interval, false) != ActionAbandon {
					t.Fatal("abandoned link is in use again after a read")
				}
				return
			case pendingSince >= 0 && silent > probeAfter+timeout+interval:
				t.Fatalf("link still in use after %v without a read", silent)
			}
		}
	})
}
