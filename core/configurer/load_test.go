package configurer

import (
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"crocustack/core/recorder"
	"crocustack/core/reporter"
)

var update = flag.Bool("update", false, "rewrite golden files and docs/OPERATIONS.md")

// TestLoadGolden guards against findings that are lost or have a wrong
// position, and against values that are parsed with a wrong unit or default.
func TestLoadGolden(t *testing.T) {
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
			s, err := Load(filepath.Base(file), b)
			out, _ := json.MarshalIndent(s, "", "  ")
			got := string(out) + "\n"
			if err != nil {
				got = err.Error() + "\n"
			}
			checkFile(t, strings.TrimSuffix(file, ".yaml")+".golden", got)
		})
	}
}

func checkFile(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got; -update rewrites it):\n%s", file, diff)
	}
}

// TestOperationsTable guards against a settings table in docs/OPERATIONS.md
// that differs from the code.
func TestOperationsTable(t *testing.T) {
	const file, begin, end = "../../docs/OPERATIONS.md", "<!-- settings: begin -->\n", "<!-- settings: end -->"
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok1 := strings.Cut(string(b), begin)
	_, after, ok2 := strings.Cut(rest, end)
	if !ok1 || !ok2 {
		t.Fatalf("%s lacks the markers %q and %q", file, begin, end)
	}
	checkFile(t, file, before+begin+Markdown()+end+after)
}

// TestTableMatchesStruct guards against a field that is not in the table and so
// has no default, check or documentation, and against a table entry without a
// field.
func TestTableMatchesStruct(t *testing.T) {
	var fields, names []string
	var walk func(prefix string, typ reflect.Type)
	walk = func(prefix string, typ reflect.Type) {
		for f := range typ.Fields() {
			if name := prefix + f.Tag.Get("yaml"); f.Type.Kind() == reflect.Struct {
				walk(name+".", f.Type)
			} else {
				fields = append(fields, name)
			}
		}
	}
	walk("", reflect.TypeFor[Settings]())
	for _, s := range Table() {
		names = append(names, s.Name)
		if s.Unit == "" || s.Range == "" || !strings.HasSuffix(s.About, ".") {
			t.Errorf("%s lacks a unit, a range or a description that ends with a period", s.Name)
		}
	}
	if diff := cmp.Diff(fields, names); diff != "" {
		t.Error(diff)
	}
}

// TestLogChoicesMatchRecorder guards against an accepted level or format that
// the recorder doesn't support.
func TestLogChoicesMatchRecorder(t *testing.T) {
	if diff := cmp.Diff(recorder.Levels, LogLevels); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(recorder.Formats, LogFormats); diff != "" {
		t.Error(diff)
	}
}

// FuzzLoad guards against panics, errors without findings and accepted settings
// that are out of range.
func FuzzLoad(f *testing.F) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Load("f", b)
		if err != nil {
			var fs reporter.Findings
			if !errors.As(err, &fs) || len(fs) == 0 {
				t.Fatalf("error without findings: %v", err)
			}
			return
		}
		for _, d := range table {
			if msg := d.check(&s); msg != "" {
				t.Errorf("accepted %s: %s", d.Name, msg)
			}
		}
	})
}
