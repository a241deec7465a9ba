package reporter

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/token"
)

// Finding is one fault of a document. Line and Column start at 1; they are 0
// when the fault has no position.
type Finding struct {
	File         string
	Line, Column int
	// Field is the path of the field, such as Added.Kinds[0].Class. It is
	// empty for syntax errors.
	Field   string
	Message string
}

// String formats the finding as file:line:column: field: message.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	b.WriteString(": ")
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings holds the findings of one or more documents. It implements error.
type Findings []Finding

// Error returns one line for each finding.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the findings ordered by file and position, without
// duplicates.
func (fs Findings) Sorted() Findings {
	out := slices.Clone(fs)
	slices.SortFunc(out, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Field, b.Field), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(out)
}

// Err returns the sorted findings, or nil when there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs.Sorted()
}

// FromError converts an error of the YAML library into findings with their
// position. An error that wraps Findings gives these unchanged; any other error
// gives one finding without a position.
func FromError(file string, err error) Findings {
	if err == nil {
		return nil
	}
	var fs Findings
	if errors.As(err, &fs) {
		return fs
	}
	var ye yaml.Error
	if errors.As(err, &ye) {
		line, column := position(ye.GetToken())
		return Findings{{File: file, Line: line, Column: column, Message: ye.GetMessage()}}
	}
	return Findings{{File: file, Message: err.Error()}}
}

func position(t *token.Token) (line, column int) {
	if t == nil || t.Position == nil {
		return 0, 0
	}
	return t.Position.Line, t.Position.Column
}
