package matcher

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"crocustack/core/connector"
)

func route(name, host, prefix string) connector.Route {
	return connector.Route{Name: name, Host: host, Prefix: prefix, Shares: []connector.Share{{Service: name, Weight: 1}}}
}

// TestFind guards against matching a request with a less specific route or with
// the route of another host.
func TestFind(t *testing.T) {
	table := NewTable([]connector.Route{
		route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/y/z/"),
	})
	tests := []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/z/1", "long"},
		{"b.example", "/x/y/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "/xy/1", ""},
	}
	for _, c := range tests {
		got, _ := table.Find(c.host, c.path)
		if got.Name != c.want {
			t.Errorf("Find(%q, %q) = %q, want %q", c.host, c.path, got.Name, c.want)
		}
	}
}

// TestSplitterKeepsWeights guards against shares that drift from the weights:
// after any number of requests the count of each service differs from its share
// by at most the number of services of the route.
func TestSplitterKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := connector.Route{Name: "r"}
		total := 0.0
		for i, w := range rapid.SliceOfN(rapid.Float64Range(1, 100), 1, 5).Draw(t, "weights") {
			r.Shares = append(r.Shares, connector.Share{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		n := rapid.IntRange(1, 500).Draw(t, "requests")
		s := NewSplitter()
		got := make(map[string]int)
		for range n {
			got[s.Choose(r)]++
		}
		for _, share := range r.Shares {
			want := float64(n) * share.Weight / total
			if off := float64(got[share.Service]) - want; off > float64(len(r.Shares)) || off < -float64(len(r.Shares)) {
				t.Fatalf("%s got %d of %d requests, want %.1f", share.Service, got[share.Service], n, want)
			}
		}
	})
}

// TestSplitterReset guards against a new configuration that inherits the
// credits of the previous one.
func TestSplitterReset(t *testing.T) {
	s := NewSplitter()
	r := connector.Route{Name: "r", Shares: []connector.Share{{Service: "a", Weight: 2}, {Service: "b", Weight: 1}}}
	var before, after []string
	for range 3 {
		before = append(before, s.Choose(r))
	}
	s.Choose(r)
	s.Reset()
	for range 3 {
		after = append(after, s.Choose(r))
	}
	if d := cmp.Diff(before, after); d != "" {
		t.Errorf("-fresh +reset:\n%s", d)
	}
}
