// Package reporter collects findings about a document together with their
// position, so that one pass over a document reports everything that is wrong
// with it. Decode maps YAML onto a Go value; it decides which fields are known
// and whether each scalar fits its type. It owns no state beyond the Collector
// of one document and never reads files.
package reporter
