package commander

import (
	"context"
	"io"
	"os"

	"crocustack/core/configurer"
	"crocustack/core/releaser"
	"crocustack/core/reporter"
)

const checkUsage = `Checks settings files, release notes and release documents and prints all findings as file:line:column: field: message. For a sound note it prints the number and the digest, which the next note names as its predecessor. With --as auto the fields at the top of a file tell what it is; a file with none of the fields of a note or a document is checked as settings.

Example: crocusctl check node.yaml note-0042.yaml`

type checkCommand struct {
	As string `long:"as" choice:"auto" choice:"settings" choice:"note" choice:"document" default:"auto" description:"What the files are"`
	OutputOptions
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Checked is the result for one file.
type Checked struct {
	File string
	// Is is the type of the file: settings, note or document. If the file can't
	// be read, it is the value of --as.
	Is       string
	Note     *NoteStamp        `json:",omitempty"`
	Findings reporter.Findings `json:",omitempty"`
}

// NoteStamp identifies a note in the output.
type NoteStamp struct {
	Number uint64
	Digest string
}

func stampOf(n releaser.Note) *NoteStamp {
	return &NoteStamp{n.Number, releaser.FormatDigest(n.Digest())}
}

func (c *checkCommand) run(_ context.Context, env *environment) error {
	var all []Checked
	failed := false
	for _, file := range c.Args.Files {
		r := checkFile(file, c.As)
		failed = failed || len(r.Findings) > 0
		all = append(all, r)
	}
	if err := c.write(env, all, func(w io.Writer) {
		for _, r := range all {
			for _, f := range r.Findings {
				printf(w, "%v\n", f)
			}
			switch {
			case len(r.Findings) > 0:
			case r.Note != nil:
				printf(w, "%s: ok, %s %d %s\n", r.File, r.Is, r.Note.Number, r.Note.Digest)
			default:
				printf(w, "%s: ok, %s\n", r.File, r.Is)
			}
		}
	}); err != nil {
		return err
	}
	if failed {
		return exitError{code: exitFindings}
	}
	return nil
}

func checkFile(file, as string) Checked {
	b, err := os.ReadFile(file)
	if err != nil {
		return Checked{File: file, Is: as, Findings: reporter.Findings{{File: file, Message: err.Error()}}}
	}
	if as == "auto" {
		as = detectType(b)
	}
	r := Checked{File: file, Is: as}
	var n releaser.Note
	switch as {
	case "note":
		if n, err = releaser.ParseNote(file, b); err == nil {
			r.Note = stampOf(n)
		}
	case "document":
		if n, _, err = releaser.ParseDocument(b); err == nil {
			r.Note = stampOf(n)
		}
	default:
		_, err = configurer.Load(file, b)
	}
	r.Findings = reporter.FromError(file, err)
	for i := range r.Findings {
		r.Findings[i].File = file // ParseDocument reports the platform key instead.
	}
	return r
}

// detectType determines the type of a file from its top-level fields. Errors in
// other fields are reported later by the parser for that type.
func detectType(b []byte) string {
	var top struct {
		Note        *struct{} `yaml:"Note"`
		NoteDigest  *string   `yaml:"NoteDigest"`
		Catalogue   *[]string `yaml:"Catalogue"`
		Number      *uint64   `yaml:"Number"`
		Predecessor *struct{} `yaml:"Predecessor"`
		Added       *struct{} `yaml:"Added"`
		Changed     *struct{} `yaml:"Changed"`
		Withdrawn   *struct{} `yaml:"Withdrawn"`
	}
	reporter.Decode("", b, &top)
	switch {
	case top.Note != nil || top.NoteDigest != nil || top.Catalogue != nil:
		return "document"
	case top.Number != nil || top.Predecessor != nil || top.Added != nil || top.Changed != nil || top.Withdrawn != nil:
		return "note"
	}
	return "settings"
}
