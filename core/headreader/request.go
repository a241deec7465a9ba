package headreader

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// Request is what the raw head of a request says of its length.
type Request struct {
	// Bytes is the length of the head with its last line end.
	Bytes int
	// Fields is the number of header fields.
	Fields int
	// HasBody is true if a body follows.
	HasBody bool
}

// RequestEnd is the EndFunc of requests.
func RequestEnd(b []byte) (int, error) {
	if i := bytes.Index(b, []byte(headEnd)); i >= 0 {
		return i + len(headEnd), nil
	}
	return 0, nil
}

// CheckRequest checks the raw head of a request. The error is ErrMalformed.
func CheckRequest(raw []byte) (Request, error) {
	h := Request{Bytes: len(raw)}
	lines := splitHead(raw)
	version := lines[0][strings.LastIndexByte(lines[0], ' ')+1:]
	if version != version11 && version != version10 || strings.Count(lines[0], " ") != 2 || !printable(lines[0]) {
		return h, errors.Wrap(ErrMalformed, "request line")
	}
	f, err := checkFields(lines[1:], version)
	h.Fields, h.HasBody = f.count, f.hasBody
	if err == nil && (f.hosts > 1 || f.hosts == 0 && version == version11) {
		err = errors.Wrap(ErrMalformed, "Host missing or repeated")
	}
	return h, err
}
