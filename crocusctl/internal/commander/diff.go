package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"

	"crocustack/core/releaser"
)

const diffUsage = `Shows which services, kinds and domains differ between two releases. OLD and NEW are release documents or notes. When OLD is a document and NEW is a note, the output is what the note would change.

Example: crocusctl diff current.json note-0042.yaml`

type diffCommand struct {
	OutputOptions
	Args struct {
		Old string `positional-arg-name:"OLD" required:"yes"`
		New string `positional-arg-name:"NEW" required:"yes"`
	} `positional-args:"yes"`
}

// ItemChange is one item that differs.
type ItemChange struct {
	Item   string
	Change string        // Added, Changed or Withdrawn.
	Fields []FieldChange `json:",omitempty"`
}

// FieldChange is one field with its old and new values in JSON.
type FieldChange struct {
	Name string
	Old  json.RawMessage `json:",omitempty"`
	New  json.RawMessage `json:",omitempty"`
}

func (c *diffCommand) run(_ context.Context, env *environment) error {
	before, err := loadRelease(c.Args.Old, nil)
	if err != nil {
		return err
	}
	after, err := loadRelease(c.Args.New, &before)
	if err != nil {
		return err
	}
	changes, err := diffCatalogues(before.catalogue, after.catalogue)
	if err != nil {
		return err
	}
	if err := c.write(env, changes, func(w io.Writer) {
		for _, ch := range changes {
			printf(w, "%s %s\n", ch.Change, ch.Item)
			for _, f := range ch.Fields {
				printf(w, "  %s: %s -> %s\n", f.Name, orNone(f.Old), orNone(f.New))
			}
		}
	}); err != nil {
		return err
	}
	if len(changes) > 0 {
		return exitError{code: exitFindings}
	}
	return nil
}

func orNone(v json.RawMessage) string {
	if len(v) == 0 {
		return "none"
	}
	return string(v)
}

// release is a release document or a note.
type release struct {
	catalogue  releaser.Catalogue
	isDocument bool
}

// loadRelease reads a release document or a note. A note is applied to base if
// base is a document.
func loadRelease(file string, base *release) (release, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return release{}, exitf(exitUsage, "%v", err)
	}
	if detectType(b) == "document" {
		_, c, err := releaser.ParseDocument(b)
		if err != nil {
			return release{}, exitf(exitFindings, "%s has findings\n%v", file, err)
		}
		return release{c, true}, nil
	}
	n, err := releaser.ParseNote(file, b)
	if err != nil {
		return release{}, exitf(exitFindings, "%s has findings\n%v", file, err)
	}
	var c releaser.Catalogue
	if base != nil && base.isDocument {
		c = base.catalogue
	}
	c, _ = c.With(n.Items()...)
	return release{catalogue: c}, nil
}

func diffCatalogues(before, after releaser.Catalogue) ([]ItemChange, error) {
	old, cur := activeItems(before), activeItems(after)
	names := slices.Collect(maps.Keys(old))
	for name := range cur {
		if _, ok := old[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out []ItemChange
	for _, name := range names {
		o, inOld := old[name]
		n, inNew := cur[name]
		if inOld && inNew && o == n {
			continue
		}
		ch := ItemChange{Item: name, Change: "Changed"}
		if !inOld {
			ch.Change = "Added"
		}
		if !inNew {
			ch.Change = "Withdrawn"
			out = append(out, ch)
			continue
		}
		var err error
		if ch.Fields, err = diffFields(o, n); err != nil {
			return nil, err
		}
		out = append(out, ch)
	}
	return out, nil
}

// activeItems returns the JSON values by name of all items that are not
// withdrawn, without the headers of notes.
func activeItems(c releaser.Catalogue) map[string]string {
	out := make(map[string]string)
	for _, i := range c.Items() {
		if !i.Withdrawn && i.Section != releaser.HeadersSection {
			out[i.Name] = i.Value
		}
	}
	return out
}

// diffFields compares two JSON objects. An empty string counts as an empty
// object.
func diffFields(before, after string) ([]FieldChange, error) {
	var o, n map[string]json.RawMessage
	for text, m := range map[string]*map[string]json.RawMessage{before: &o, after: &n} {
		if text == "" {
			continue
		}
		if err := json.Unmarshal([]byte(text), m); err != nil {
			return nil, err
		}
	}
	names := slices.Collect(maps.Keys(o))
	for name := range n {
		if _, ok := o[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out []FieldChange
	for _, name := range names {
		if !bytes.Equal(o[name], n[name]) {
			out = append(out, FieldChange{name, o[name], n[name]})
		}
	}
	return out, nil
}
