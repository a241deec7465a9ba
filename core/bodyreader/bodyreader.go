package bodyreader

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"crocustack/core/resolver"
)

// firstBytes is the memory for the beginning of a body. It doubles as long as the
// body goes on: callers state lengths that they don't always send.
const firstBytes = 16 << 10

// Reader reads bodies within a budget. It is safe for concurrent use.
type Reader struct{ budget *Budget }

// New returns a Reader whose bodies hold parts of the budget.
func New(b *Budget) *Reader { return &Reader{budget: b} }

// Body is a complete request body.
type Body struct {
	Bytes []byte
	hold  *Hold
	// arrival is set while the body is being received.
	arrival *arrival
}

// Release returns the part of the budget that the body holds. It must be called
// once, when Bytes are no longer used.
func (b *Body) Release() { b.hold.Release() }

// Read reads the body of r, of at most limit bytes, until the deadline. It
// returns ReasonBodyTooLarge, ReasonBufferFull, or ReasonCancelled when the
// client does not send the whole body in time; there is no body to release then.
func (d *Reader) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, resolver.Reason) {
	b := &Body{hold: d.budget.Hold()}
	if r.ContentLength == 0 {
		return b, resolver.ReasonNone
	}
	if r.ContentLength > limit {
		return nil, resolver.ReasonBodyTooLarge
	}
	control := http.NewResponseController(w)
	// A connection without deadlines is a recorder of a test.
	_ = control.SetReadDeadline(deadline)
	b.arrival = d.budget.arrive(time.Now(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer d.budget.leave(b.arrival)
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
		if !b.grow(length) {
			return resolver.ReasonBufferFull
		}
		ended, err := b.fill(r)
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

// grow doubles the memory for the body, up to the stated length, if the budget allows
// it.
func (b *Body) grow(length int64) bool {
	size := max(2*int64(cap(b.Bytes)), firstBytes)
	if length >= 0 {
		size = min(size, length)
	}
	if !b.acquire(size - int64(cap(b.Bytes))) {
		return false
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return true
}

const (
	// roomInterval and roomTries bound how long a body waits for the room of stalled
	// ones that were stopped.
	roomInterval = 5 * time.Millisecond
	roomTries    = 20
)

// acquire gets n bytes of the budget. Stalled bodies have to make room.
func (b *Body) acquire(n int64) bool {
	for range roomTries {
		if b.hold.TryGrow(n) {
			return true
		}
		if !b.hold.b.StopStalled(time.Now()) {
			return false
		}
		time.Sleep(roomInterval)
	}
	return b.hold.TryGrow(n)
}

// fill reads until the memory for the body is full, or the body ends.
func (b *Body) fill(r io.Reader) (ended bool, err error) {
	for len(b.Bytes) < cap(b.Bytes) {
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if n > 0 {
			b.arrival.progressAt.Store(time.Now().UnixNano())
			b.arrival.bytes.Store(int64(len(b.Bytes)))
		}
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}
