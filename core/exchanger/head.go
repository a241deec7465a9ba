package exchanger

import (
	"io"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes bounds the bytes read for the head of one response, with what is
// read ahead of its body. net/http sets no bound of its own.
const MaxHeadBytes = 64 << 10

// errHeadTooLarge means that a response has no end of its head within
// MaxHeadBytes.
var errHeadTooLarge = errors.Newf("head of the response is longer than %d bytes", MaxHeadBytes)

// headLimiter passes bytes on and fails when a head gets too long. It is not safe
// for concurrent use.
type headLimiter struct {
	r io.Reader
	// left is the number of bytes that may still be read while inHead is true.
	left   int
	inHead bool
}

// beginHead starts to count the bytes of a head.
func (l *headLimiter) beginHead() { l.left, l.inHead = MaxHeadBytes, true }

// endHead lifts the limit for the body.
func (l *headLimiter) endHead() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
