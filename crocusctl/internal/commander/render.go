package commander

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"crocustack/core/releaser"
	"crocustack/core/reporter"
)

const renderUsage = `Writes the release document for a note: the note and the resulting catalogue, as the value of the platform key release/current. Publish it with the platform's own tools; crocusctl never writes to the platform. The release that the note builds on is read from --document, from the first --node that answers, or from --platform; a first note needs none. A note whose predecessor is not the release in force, or that adds what is there or changes or withdraws what is not there, is refused; --force writes it all the same.

Example: crocusctl render note-0042.yaml --node 10.0.1.7:7103 --out current.json`

type renderCommand struct {
	NodeOptions
	Document string `long:"document" value-name:"FILE" description:"File with the release document in force"`
	Out      string `long:"out" value-name:"FILE" description:"File to write; stdout by default"`
	Force    bool   `long:"force" description:"Write the document in spite of findings about the release in force"`
	Args     struct {
		Note string `positional-arg-name:"NOTE" required:"yes"`
	} `positional-args:"yes"`
}

func (c *renderCommand) run(ctx context.Context, env *environment) error {
	b, err := os.ReadFile(c.Args.Note)
	if err != nil {
		return exitf(exitUsage, "%v", err)
	}
	note, err := releaser.ParseNote(c.Args.Note, b)
	if err != nil {
		return exitf(exitFindings, "the note has findings\n%v", err)
	}
	catalogue, err := c.baseCatalogue(ctx, env, note)
	if err != nil {
		return err
	}
	if findings := compareNote(c.Args.Note, note, catalogue); len(findings) > 0 {
		printf(env.stderr, "%s\n", findings.Error())
		if !c.Force {
			return exitf(exitFindings, "nothing written; --force writes the document all the same")
		}
	}
	document := releaser.Document(note, catalogue)
	if len(document) > releaser.MaxDocumentBytes {
		return exitf(exitFindings, "the document has %d bytes, the platform stores %d", len(document), releaser.MaxDocumentBytes)
	}
	if c.Out == "" {
		_, err = env.stdout.Write(document)
		return err
	}
	if err := os.WriteFile(c.Out, document, 0o644); err != nil {
		return exitf(exitUsage, "%v", err)
	}
	return nil
}

// baseCatalogue reads the catalogue that the note will be applied to.
func (c *renderCommand) baseCatalogue(ctx context.Context, env *environment, note releaser.Note) (releaser.Catalogue, error) {
	var b []byte
	var err error
	switch {
	case c.Document != "":
		if b, err = os.ReadFile(c.Document); err != nil {
			return releaser.Catalogue{}, exitf(exitUsage, "%v", err)
		}
	case c.Platform != "":
		b, err = c.readKey(ctx, env, "release/current")
		if errors.Is(err, errNotFound) {
			return releaser.Catalogue{}, nil
		}
	case len(c.Nodes) > 0:
		for _, address := range c.Nodes {
			if b, err = c.adminRequest(ctx, env, http.MethodGet, address, "/release"); err == nil {
				break
			}
		}
	case note.Number == 1:
		return releaser.Catalogue{}, nil
	default:
		return releaser.Catalogue{}, exitf(exitUsage, "name the release in force with --document, --node or --platform")
	}
	if err != nil {
		return releaser.Catalogue{}, exitf(exitUnreachable, "release in force: %v", err)
	}
	_, catalogue, err := releaser.ParseDocument(b)
	if err != nil {
		return releaser.Catalogue{}, exitf(exitFindings, "the release in force has findings\n%v", err)
	}
	return catalogue, nil
}

// compareNote reports conflicts between a note and the current release. Nodes
// validate a note by its own content only, so such mistakes must be found
// before the note is published.
func compareNote(file string, n releaser.Note, c releaser.Catalogue) reporter.Findings {
	var fs reporter.Findings
	add := func(field, format string, args ...any) {
		fs = append(fs, reporter.Finding{File: file, Field: field, Message: fmt.Sprintf(format, args...)})
	}
	number, digest := c.HighestStamp()
	if n.Predecessor != (releaser.Predecessor{Number: number, Digest: digest}) {
		add("Predecessor", "the release in force is %d %s", number, releaser.FormatDigest(digest))
	}
	present := func(item string) bool {
		i, ok := c.Item(item)
		return ok && !i.Withdrawn
	}
	for _, i := range n.Items() {
		if i.Section == releaser.HeadersSection {
			continue
		}
		kind, name, _ := strings.Cut(i.Name, "/")
		switch {
		case i.Withdrawn && !present(i.Name):
			add("Withdrawn", "%s %s is not in force", kind, name)
		case !i.Withdrawn && isAdded(n, kind, name) && present(i.Name):
			add("Added", "%s %s is already in force", kind, name)
		case !i.Withdrawn && !isAdded(n, kind, name) && !present(i.Name):
			add("Changed", "%s %s is not in force", kind, name)
		}
	}
	next, _ := c.With(n.Items()...)
	view := next.View()
	for _, s := range view.Services {
		for _, call := range s.Calls {
			if _, ok := view.Services[call]; !ok {
				add("", "service %s calls %s, which would not be in force", s.Name, call)
			}
		}
	}
	for _, i := range next.Items() {
		if kind, name, _ := strings.Cut(i.Name, "/"); kind == "kind" && !i.Withdrawn {
			if _, ok := view.Services[i.Section]; !ok {
				add("", "kind %s is of service %s, which would not be in force", name, i.Section)
			}
		}
	}
	return fs.Sorted()
}

func isAdded(n releaser.Note, kind, name string) bool {
	switch kind {
	case "service":
		for _, s := range n.Added.Services {
			if s.Name == name {
				return true
			}
		}
	case "kind":
		for _, k := range n.Added.Kinds {
			if k.Name == name {
				return true
			}
		}
	case "domain":
		for _, d := range n.Added.Domains {
			if d.Name == name {
				return true
			}
		}
	}
	return false
}
