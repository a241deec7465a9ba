package reporter

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxDepth bounds the nesting of a document. The YAML parser recurses for each
// level, and a stack overflow in Go cannot be recovered.
const maxDepth = 64

// Collector collects the findings of one document and holds the position of
// each of its fields.
type Collector struct {
	file      string
	locations map[string]location
	// faulty holds the fields that have a finding.
	faulty   map[string]bool
	findings Findings
	// unparsed is true when the document has no syntax tree. Its fields then
	// have zero values, and findings about these would be misleading.
	unparsed bool
}

type location struct{ line, column int }

// Decode decodes YAML into the struct, slice or map that v points to and
// returns a collector with a finding for each unknown field and type mismatch.
// Keys match the yaml tags of the struct fields. Anchors, aliases and merge
// keys are rejected because they can expand a small document without bound.
// Fields with a fault are not set.
func Decode(file string, b []byte, v any) (c *Collector) {
	c = NewCollector(file)
	c.unparsed = true
	// The parser is a third-party library that handles input from the network;
	// a panic in it must not end the process.
	defer func() {
		if r := recover(); r != nil {
			c.findings = append(c.findings, Finding{File: file, Message: fmt.Sprintf("the document can't be parsed: %v", r)})
		}
	}()
	tokens := lexer.Tokenize(string(b))
	if t := tooDeep(tokens); t != nil {
		line, column := position(t)
		c.findings = append(c.findings, Finding{File: file, Line: line, Column: column, Message: fmt.Sprintf("nested deeper than %d levels", maxDepth)})
		return c
	}
	f, err := parser.Parse(tokens, 0)
	if err != nil {
		c.findings = append(c.findings, FromError(file, err)...)
		return c
	}
	var body ast.Node
	for _, d := range f.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			c.add("", d.Body, "only one document is allowed")
			return c
		}
		body = d.Body
	}
	if body == nil {
		c.findings = append(c.findings, Finding{File: file, Line: 1, Column: 1, Message: "the document is empty"})
		return c
	}
	c.unparsed = false
	c.locations[""] = nodeLocation(body)
	c.decode("", body, reflect.ValueOf(v).Elem())
	return c
}

// NewCollector returns a collector for a document whose positions are unknown.
func NewCollector(file string) *Collector {
	return &Collector{file: file, locations: make(map[string]location), faulty: make(map[string]bool)}
}

// Addf records a finding at a field. A field that the document lacks takes the
// position of the nearest enclosing field. A field has at most one finding, so
// that the zero value left by a type mismatch isn't reported as out of range.
func (c *Collector) Addf(field, format string, args ...any) {
	if c.unparsed || c.faulty[field] {
		return
	}
	c.faulty[field] = true
	p, at := c.locations[field], field
	for at != "" && p == (location{}) {
		at = parent(at)
		p = c.locations[at]
	}
	c.findings = append(c.findings, Finding{File: c.file, Line: p.line, Column: p.column, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Err returns all findings as Findings, sorted by position, or nil.
func (c *Collector) Err() error { return c.findings.Err() }

// parent returns the path of the enclosing field.
func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

func (c *Collector) add(field string, n ast.Node, format string, args ...any) {
	p := nodeLocation(n)
	c.faulty[field] = true
	c.findings = append(c.findings, Finding{File: c.file, Line: p.line, Column: p.column, Field: field, Message: fmt.Sprintf(format, args...)})
}

// nodeLocation returns the position of a node: for block mappings that of the
// first key, otherwise that of the node's token.
func nodeLocation(n ast.Node) location {
	t := n.GetToken()
	switch n := n.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 && !n.IsFlowStyle {
			t = n.Values[0].Key.GetToken()
		}
	case *ast.MappingValueNode:
		t = n.Key.GetToken()
	}
	line, column := position(t)
	return location{line, column}
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func (c *Collector) decode(field string, n ast.Node, v reflect.Value) {
	switch n := n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		c.add(field, n, "anchors, aliases and merge keys aren't supported")
		return
	case *ast.NullNode:
		return
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		c.decode(field, n, v.Elem())
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		c.decodeStruct(field, n, v)
	case reflect.Slice:
		s, ok := n.(*ast.SequenceNode)
		if !ok {
			c.add(field, n, "expected a list, found %s", n.Type())
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
		for i, e := range s.Values {
			f := field + "[" + strconv.Itoa(i) + "]"
			c.locations[f] = nodeLocation(e)
			c.decode(f, e, v.Index(i))
		}
	default:
		c.decodeScalar(field, n, v)
	}
}

func (c *Collector) decodeStruct(field string, n ast.Node, v reflect.Value) {
	var values []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		c.add(field, n, "expected a mapping, found %s", n.Type())
		return
	}
	known := make(map[string]int, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		known[name] = i
	}
	for _, mv := range values {
		key, ok := mv.Key.(*ast.StringNode)
		if !ok {
			c.add(join(field, mv.Key.String()), mv.Key, "keys must be plain strings")
			continue
		}
		f := join(field, key.Value)
		i, ok := known[key.Value]
		if !ok {
			c.add(f, mv.Key, "unknown field")
			continue
		}
		c.locations[f] = nodeLocation(mv.Key)
		if _, ok := mv.Value.(ast.ScalarNode); ok {
			c.locations[f] = nodeLocation(mv.Value)
		}
		c.decode(f, mv.Value, v.Field(i))
	}
}

func (c *Collector) decodeScalar(field string, n ast.Node, v reflect.Value) {
	s, ok := n.(ast.ScalarNode)
	if !ok {
		c.add(field, n, "expected a single value, found %s", n.Type())
		return
	}
	// YAML parses a digest such as 0012345678901234 as a number. A string field
	// takes the text as written.
	if v.Kind() == reflect.String {
		if t := s.Type(); t == ast.IntegerType || t == ast.FloatType {
			v.SetString(n.GetToken().Value)
			return
		}
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		text, ok := s.GetValue().(string)
		d, err := time.ParseDuration(text)
		if !ok || err != nil {
			c.add(field, n, "expected a duration such as 50ms")
			return
		}
		v.SetInt(int64(d))
		return
	}
	if err := yaml.NodeToValue(n, v.Addr().Interface()); err != nil {
		for _, f := range FromError(c.file, err) {
			c.add(field, n, "%s", f.Message)
		}
	}
}

// tooDeep returns the first token that is nested deeper than maxDepth, or nil.
// The depth of flow collections is counted by brackets, that of block
// collections by indicators on one line and by the columns at which lines begin.
func tooDeep(tokens token.Tokens) *token.Token {
	flow, inline, line := 0, 0, 0
	var columns []int
	for _, t := range tokens {
		if t.Position.Line != line {
			line, inline = t.Position.Line, 0
			for len(columns) > 0 && columns[len(columns)-1] >= t.Position.Column {
				columns = columns[:len(columns)-1]
			}
			columns = append(columns, t.Position.Column)
		}
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			flow++
		case token.MappingEndType, token.SequenceEndType:
			flow--
		case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType, token.TagType, token.AnchorType:
			if flow == 0 {
				inline++
			}
		default:
		}
		if flow > maxDepth || len(columns) > maxDepth || (flow == 0 && inline > maxDepth) {
			return t
		}
	}
	return nil
}
