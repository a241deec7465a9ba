package composer

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/connector"
)

// Guards against sending requests to an earlier run on a machine while its
// stale entry still exists, in whatever order the entries come.
func TestNewestByHost(t *testing.T) {
	old := connector.Member{Instance: "i-1", Service: "a", Address: "10.0.0.1:80", StartMillis: 1}
	next := connector.Member{Instance: "i-2", Service: "b", Address: "10.0.0.1:80", StartMillis: 2}
	other := connector.Member{Instance: "i-3", Service: "a", Address: "10.0.0.2:80", StartMillis: 1}
	want := map[string]connector.Member{"10.0.0.1": next, "10.0.0.2": other}
	for _, ms := range [][]connector.Member{{old, next, other}, {other, next, old}} {
		if d := cmp.Diff(want, newestByHost(ms)); d != "" {
			t.Errorf("-want +got:\n%s", d)
		}
	}
}
