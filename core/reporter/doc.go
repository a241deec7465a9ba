// Package reporter collects findings about a document together with their
// position, so that one pass over a document reports all of its faults. Decode
// maps YAML onto a Go value; it reports unknown fields and scalars that don't
// fit their type. The package holds no state beyond the Collector of one
// document and never reads files.
package reporter
