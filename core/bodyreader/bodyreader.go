package bodyreader

import (
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"crocustack/core/resolver"
)

// step is the part of the budget that is acquired at a time, in bytes.
const step = 64 << 10

// Reader reads bodies within a shared budget. It is safe for concurrent use.
type Reader struct{ budget *semaphore.Weighted }

// New returns a Reader whose bodies together hold at most budget bytes.
func New(budget int64) *Reader { return &Reader{budget: semaphore.NewWeighted(budget)} }

// Body is a complete request body.
type Body struct {
	Bytes []byte
	held  int64
	from  *Reader
}

// Release returns the part of the budget that the body holds. It must be called
// once, when Bytes are no longer used.
func (b *Body) Release() { b.from.budget.Release(b.held) }

// Read reads the body of r, of at most limit bytes, until the deadline. It
// returns ReasonBodyTooLarge, ReasonBufferFull, or ReasonCancelled when the
// client does not send the whole body in time; there is no body to release then.
func (d *Reader) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, resolver.Reason) {
	b := &Body{from: d}
	if r.ContentLength == 0 {
		return b, resolver.ReasonNone
	}
	if r.ContentLength > limit {
		return nil, resolver.ReasonBodyTooLarge
	}
	control := http.NewResponseController(w)
	// A connection without deadlines is a recorder of a test.
	_ = control.SetReadDeadline(deadline)
	reason := b.readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	_ = control.SetReadDeadline(time.Time{})
	if reason != resolver.ReasonNone {
		b.Release()
		return nil, reason
	}
	return b, resolver.ReasonNone
}

// readAll reads to the end of r. length is the stated length, or negative.
func (b *Body) readAll(r io.Reader, length int64) resolver.Reason {
	for length < 0 || int64(len(b.Bytes)) < length {
		next := int64(step)
		if length >= 0 {
			next = min(next, length-b.held)
		}
		if !b.from.budget.TryAcquire(next) {
			return resolver.ReasonBufferFull
		}
		b.held += next
		ended, err := b.readPart(r, int(next))
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			return resolver.ReasonBodyTooLarge
		case err != nil:
			return resolver.ReasonCancelled
		case ended && int64(len(b.Bytes)) < length:
			return resolver.ReasonCancelled
		case ended:
			return resolver.ReasonNone
		}
	}
	return resolver.ReasonNone
}

// readPart reads n bytes, or fewer if the body ends.
func (b *Body) readPart(r io.Reader, n int) (ended bool, err error) {
	from := len(b.Bytes)
	b.Bytes = slices.Grow(b.Bytes, n)[:from+n]
	for read := 0; read < n; {
		m, err := r.Read(b.Bytes[from+read:])
		read += m
		if err == nil {
			continue
		}
		b.Bytes = b.Bytes[:from+read]
		if err == io.EOF {
			return true, nil
		}
		return false, err
	}
	return false, nil
}
