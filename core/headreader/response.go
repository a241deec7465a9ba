package headreader

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// statusLength is the length of the version, a blank and the status.
	statusLength = len(version11 + " 200")
	minStatus    = 100
	maxStatus    = 599
)

// ResponseEnd is the EndFunc of responses.
func ResponseEnd(b []byte) (int, error) {
	if n := min(len(b), len(version11)-1); string(b[:n]) != version11[:n] {
		return 0, errors.Wrap(ErrMalformed, "no status line")
	}
	if i := bytes.Index(b, []byte(headEnd)); i >= 0 {
		return i + len(headEnd), nil
	}
	if bytes.Count(b, []byte("\n")) != bytes.Count(b, []byte(lineEnd)) {
		return 0, errors.Wrap(ErrMalformed, "bare line feed")
	}
	return 0, nil
}

// CheckResponse checks the raw head of a response. The error is ErrMalformed.
func CheckResponse(raw []byte) error {
	lines := splitHead(raw)
	if err := checkStatusLine(lines[0]); err != nil {
		return err
	}
	_, err := checkFields(lines[1:], lines[0][:len(version11)])
	return err
}

// checkStatusLine checks the version and the status. A status outside of 100 to 599 has
// no meaning (RFC 9110, section 15). 101 would begin another protocol, which no request
// asks for.
func checkStatusLine(line string) error {
	if len(line) < statusLength || !printable(line) {
		return errors.Wrap(ErrMalformed, "status line")
	}
	version, status, reason := line[:len(version11)], line[len(version11)+1:statusLength], line[statusLength:]
	if version != version11 && version != version10 || line[len(version11)] != ' ' || reason != "" && reason[0] != ' ' {
		return errors.Wrap(ErrMalformed, "status line")
	}
	code, err := strconv.Atoi(status)
	if err != nil || !digits(status) || code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrMalformed, "status %q", status)
	}
	return nil
}

// CheckStatus checks the status of a final response. The error is ErrMalformed.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %d", status)
	}
	return nil
}

// CheckTrailer checks the fields after a body in chunks, as a parser returned them. The
// error is ErrMalformed.
func CheckTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if err := CheckField(name, values...); err != nil {
			return err
		}
	}
	return nil
}
