package headreader

import (
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
	lineEnd   = "\r\n"
	headEnd   = "\r\n\r\n"
)

// fields is what the fields of a head say about the framing of the message.
type fields struct {
	// count is the number of fields. hosts, lengths and codings are those of Host,
	// Content-Length and Transfer-Encoding.
	count, hosts, lengths, codings int
	// hasBody is true if a body of more than 0 bytes is stated.
	hasBody bool
}

// splitHead returns the lines of a raw head without their ends.
func splitHead(raw []byte) []string {
	return strings.Split(strings.TrimSuffix(string(raw), headEnd), lineEnd)
}

// checkFields checks the field lines of a message. It refuses whatever two parsers could
// read in different ways: folded fields, bare line ends, blanks and control characters
// in names, more than one statement of the length. Otherwise a message could be hidden
// in the body of another one, or end elsewhere.
func checkFields(lines []string, version string) (fields, error) {
	f := fields{}
	for _, line := range lines {
		if !printable(line) {
			return f, errors.Wrap(ErrMalformed, "control character in the head")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) {
			return f, errors.Wrap(ErrMalformed, "header field")
		}
		f.count++
		value = strings.Trim(value, " \t")
		switch {
		case strings.EqualFold(name, "Host"):
			f.hosts++
		case strings.EqualFold(name, "Content-Length"):
			f.lengths++
			if !digits(value) {
				return f, errors.Wrap(ErrMalformed, "Content-Length")
			}
			f.hasBody = f.hasBody || strings.Trim(value, "0") != ""
		case strings.EqualFold(name, "Transfer-Encoding"):
			f.codings++
			if !strings.EqualFold(value, "chunked") || version == version10 {
				return f, errors.Wrap(ErrMalformed, "Transfer-Encoding")
			}
			f.hasBody = true
		}
	}
	if f.lengths+f.codings > 1 {
		return f, errors.Wrap(ErrMalformed, "Content-Length or Transfer-Encoding repeated")
	}
	return f, nil
}

// CheckField checks a field that did not come as a line. The error is ErrMalformed.
func CheckField[T ~string | ~[]byte](name string, values ...T) error {
	if !token(name) {
		return errors.Wrapf(ErrMalformed, "field name %q", name)
	}
	for _, v := range values {
		if !printable(string(v)) {
			return errors.Wrapf(ErrMalformed, "control character in field %s", name)
		}
	}
	return nil
}

// printable reports whether a line has no control characters but tabs.
func printable(line string) bool {
	for i := range len(line) {
		if line[i] < ' ' && line[i] != '\t' || line[i] == 0x7f {
			return false
		}
	}
	return true
}

func digits(s string) bool {
	return s != "" && len(s) < 19 && strings.Trim(s, "0123456789") == ""
}

// token reports whether s is a token of RFC 9110, section 5.6.2.
func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}
