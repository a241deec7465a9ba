package commander

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"crocustack/core/recorder"
	"crocustack/core/releaser"
	"crocustack/core/resolver"
)

const docsDir = "../../../docs/"

func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(docsDir + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// section returns the text between the begin and end markers of a section, and
// the page before and after it.
func section(t *testing.T, page, name string) (before, text, after string) {
	t.Helper()
	begin, end := "<!-- "+name+": begin -->\n", "<!-- "+name+": end -->"
	i, j := strings.Index(page, begin), strings.Index(page, end)
	if i < 0 || j < i {
		t.Fatalf("no section %s", name)
	}
	i += len(begin)
	return page[:i], page[i:j], page[j:]
}

var rowName = regexp.MustCompile("(?m)^\\| `([^`]+)`")

func rows(text string) []string {
	var names []string
	for _, m := range rowName.FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	return names
}

// Guards against a table of reasons in docs/OPERATIONS.md that differs from the
// texts of crocusctl explain.
func TestOperationsReasons(t *testing.T) {
	page := readPage(t, "OPERATIONS.md")
	before, text, after := section(t, page, "reasons")
	if want := ReasonsMarkdown(); text != want {
		if *update {
			if err := os.WriteFile(docsDir+"OPERATIONS.md", []byte(before+want+after), 0o644); err != nil {
				t.Fatal(err)
			}
			return
		}
		t.Errorf("-code +page (-update rewrites it):\n%s", cmp.Diff(want, text))
	}
}

// Guards against a log field, decision, outcome or metric that is missing from
// the page, or that the page lists although it does not exist.
func TestOperationsTables(t *testing.T) {
	var decisions []string
	r := recorder.New(logr.Discard(), 1)
	for k := recorder.Kind(0); !strings.HasPrefix(k.String(), "Kind("); k++ {
		decisions = append(decisions, k.String())
		r.Record(recorder.Decision{Kind: k, KindName: "<Kind>", Took: time.Second, Outcome: resolver.Ran{}})
	}
	metrics := make(map[string]bool)
	r.Registry().Each(func(name string, _ any) {
		name = strings.Replace(name, "Answers.Ran.None", "Answers.<Outcome>.<Reason>", 1)
		metrics[regexp.MustCompile(`^Decisions\.\w+\.None$`).ReplaceAllString(name, "Decisions.<Decision>.<Reason>")] = true
	})
	var metricNames []string
	for name := range metrics {
		metricNames = append(metricNames, name)
	}
	slices.Sort(metricNames)
	for name, want := range map[string][]string{
		"fields":    recorder.LineFields,
		"decisions": decisions,
		"metrics":   metricNames,
		"outcomes": {recorder.OutcomeName(resolver.Ran{}), recorder.OutcomeName(resolver.NotRun{}),
			recorder.OutcomeName(resolver.Unknown{})},
	} {
		_, text, _ := section(t, readPage(t, "OPERATIONS.md"), name)
		if d := cmp.Diff(want, rows(text)); d != "" {
			t.Errorf("%s: -code +page:\n%s", name, d)
		}
	}
}

// Guards against an example that crocusctl check rejects or that
// RELEASE-NOTES-FORMAT.md does not mention.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob(docsDir + "examples/*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	var stdout, stderr bytes.Buffer
	if code := run(t.Context(), testEnvironment(&stdout, &stderr), append([]string{"check"}, files...)); code != 0 {
		t.Errorf("exit %d: %s%s", code, stdout.String(), stderr.String())
	}
	page := readPage(t, "RELEASE-NOTES-FORMAT.md")
	for _, f := range files {
		if !strings.Contains(page, strings.TrimPrefix(f, docsDir)) && strings.HasPrefix(filepath.Base(f), "note-") {
			t.Errorf("RELEASE-NOTES-FORMAT.md does not mention %s", f)
		}
	}
}

// Guards against notes in the documentation that nodes would reject.
func TestNotesInPages(t *testing.T) {
	n := 0
	for _, name := range []string{"../README.md", "RELEASE-NOTES-FORMAT.md"} {
		for _, m := range regexp.MustCompile("(?s)```yaml\n(Number:.*?)```").FindAllStringSubmatch(readPage(t, name), -1) {
			n++
			if _, err := releaser.ParseNote(name, []byte(m[1])); err != nil {
				t.Error(err)
			}
		}
	}
	if n == 0 {
		t.Error("no note found in the documentation")
	}
}

// Guards against a field of release notes that is missing from
// RELEASE-NOTES-FORMAT.md, or that the page lists although it does not exist.
func TestFormatFields(t *testing.T) {
	b, err := os.ReadFile(docsDir + "examples/kwitariusz/note-0001.yaml")
	if err != nil {
		t.Fatal(err)
	}
	note, err := releaser.ParseNote("note", b)
	if err != nil {
		t.Fatal(err)
	}
	var canonical struct {
		Added struct {
			Services, Kinds, Domains []map[string]any
		}
	}
	if err := json.Unmarshal(note.Canonical(), &canonical); err != nil {
		t.Fatal(err)
	}
	page := readPage(t, "RELEASE-NOTES-FORMAT.md")
	for title, items := range map[string][]map[string]any{
		"Service": canonical.Added.Services, "Kind": canonical.Added.Kinds, "Domain": canonical.Added.Domains,
	} {
		want := make(map[string]bool)
		for _, i := range items {
			for field := range i {
				want[field] = true
			}
		}
		_, text, _ := strings.Cut(page, "\n## "+title+"\n")
		text, _, _ = strings.Cut(text, "\n## ")
		got := make(map[string]bool)
		for _, field := range rows(text) {
			got[field] = true
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: -code +page:\n%s", title, d)
		}
	}
}
