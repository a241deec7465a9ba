package reporter

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

type sample struct {
	Name  string        `yaml:"Name"`
	Count int           `yaml:"Count"`
	Wait  time.Duration `yaml:"Wait"`
	Inner []struct {
		Size *uint32  `yaml:"Size"`
		Tags []string `yaml:"Tags"`
	} `yaml:"Inner"`
}

// TestGolden guards against faults that are not reported because an earlier one
// ended the pass, and against findings with a wrong position.
func TestGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden cases: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var s sample
			c := Decode(filepath.Base(file), b, &s)
			if s.Count < 1 {
				c.Addf("Count", "must be at least 1")
			}
			got := "none"
			if err := c.Err(); err != nil {
				got = err.Error()
			}
			golden := strings.TrimSuffix(file, ".yaml") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(string(want), got+"\n"); d != "" {
				t.Errorf("findings (-want +got):\n%s", d)
			}
		})
	}
}

// FuzzDecode guards against panics, stack overflows and unbounded time on
// untrusted input.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{"Name: a", "- 1", "[", "{", "a: &x [*x]", strings.Repeat("[", 200), strings.Repeat("- ", 200), "<<: {Name: a}"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var s sample
		_ = Decode("fuzz", b, &s).Err()
	})
}

// TestLongListOnOneLine guards against a long list on one line, as JSON
// encoders write it, that is rejected as nested too deep.
func TestLongListOnOneLine(t *testing.T) {
	var s []sample
	b := "[" + strings.Repeat(`{"Name": "a", "Count": 1},`, 200) + "{}]"
	if err := Decode("line", []byte(b), &s).Err(); err != nil || len(s) != 201 {
		t.Error(err)
	}
}

// TestDeepNesting guards against a stack overflow, which would end the process,
// on a deeply nested value of the largest size that the platform stores.
func TestDeepNesting(t *testing.T) {
	for _, unit := range []string{"[", "{a: ", "- ", "? ", "!!x "} {
		var s sample
		if Decode("deep", []byte(strings.Repeat(unit, 1<<20/len(unit))), &s).Err() == nil {
			t.Errorf("document of repeated %q accepted", unit)
		}
	}
}

// TestDecodeAcceptsWideFlowDocument guards against a JSON document on one line
// that is rejected as nested too deep because of its many sibling fields.
func TestDecodeAcceptsWideFlowDocument(t *testing.T) {
	var v struct {
		Names []struct {
			A string `yaml:"A"`
			B string `yaml:"B"`
		} `yaml:"Names"`
	}
	doc := `{"Names":[` + strings.Repeat(`{"A":"x","B":"y"},`, 100) + `{"A":"x","B":"y"}]}`
	if err := Decode("wide.json", []byte(doc), &v).Err(); err != nil {
		t.Fatal(err)
	}
	if len(v.Names) != 101 {
		t.Errorf("got %d names, want 101", len(v.Names))
	}
}
