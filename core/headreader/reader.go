package headreader

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

var (
	// ErrTooLong means that a head has no end within the limit.
	ErrTooLong = errors.New("head is too long")
	// ErrMalformed means that a head doesn't follow the grammar of HTTP/1.1.
	ErrMalformed = errors.New("malformed head")
)

// growth is the factor by which the buffer for a head grows.
const growth = 4

// Source reads what was put back, then from the underlying reader. It is not safe for
// concurrent use.
type Source struct {
	io.Reader
	pending []byte
}

// Read implements io.Reader.
func (s *Source) Read(b []byte) (int, error) {
	if len(s.pending) > 0 {
		n := copy(b, s.pending)
		s.pending = s.pending[n:]
		return n, nil
	}
	return s.Reader.Read(b)
}

// Unread puts a copy of b in front of what is to be read.
func (s *Source) Unread(b []byte) { s.pending = append(bytes.Clone(b), s.pending...) }

// EndFunc returns the length of the head at the beginning of b, or 0 if b holds only a
// part of one. It returns ErrMalformed as soon as b can't become a head.
type EndFunc func(b []byte) (int, error)

// Peek reads until br holds a whole head of at most limit bytes, and returns the head
// without consuming it. br must read from s. If its buffer is too small, a reader with a
// larger one takes its place; the reader to use from now on is returned in each case. The
// error is ErrTooLong, ErrMalformed or that of reading.
func Peek(br *bufio.Reader, s *Source, limit int, end EndFunc) ([]byte, *bufio.Reader, error) {
	for {
		b, _ := br.Peek(br.Buffered())
		n, err := end(b)
		switch {
		case err != nil:
			return nil, br, err
		case n > limit, n == 0 && len(b) >= limit:
			return nil, br, ErrTooLong
		case n > 0:
			return b[:n], br, nil
		case len(b) == br.Size():
			s.Unread(b)
			br = bufio.NewReaderSize(s, min(growth*len(b), limit))
		}
		if _, err := br.Peek(br.Buffered() + 1); err != nil {
			return nil, br, err
		}
	}
}
