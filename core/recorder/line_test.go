package recorder

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/resolver"
)

// Guards against a decision line that ParseLine reads back as a different
// decision, so that crocusctl explains a request wrongly.
func TestParseLineRoundTrip(t *testing.T) {
	for _, o := range []resolver.Outcome{nil, resolver.Ran{}, resolver.NotRun{Reason: resolver.ReasonQueueFull}, resolver.Unknown{Reason: resolver.ReasonBroken}} {
		want := sample
		want.Outcome, want.Reason = o, resolver.ReasonNone
		want.normalize()
		var buf bytes.Buffer
		_, log, err := NewLogger(&buf, &buf, "Info", "JSON", true)
		if err != nil {
			t.Fatal(err)
		}
		writeLine(log, &want)
		got, prefix, err := ParseLine(append([]byte("  1.5 node-1 "), buf.Bytes()...))
		if err != nil || prefix != "1.5 node-1" {
			t.Fatalf("prefix %q, error %v", prefix, err)
		}
		want.Time, got.Time = time.Time{}, time.Time{}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("-want +got:\n%s", d)
		}
	}
}

// FuzzParseLine guards against a panic on lines that other programs logged.
func FuzzParseLine(f *testing.F) {
	f.Add([]byte(`{"Decision":"Shed","Class":"Bulk","Reason":"None"}`))
	f.Add([]byte(`{"message":"node started"}`))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _, _ = ParseLine(b) })
}
