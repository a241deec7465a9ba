package handler

import (
	"crypto/sha256"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"crocustack/core/bodyreader"
	"crocustack/core/encoder"
	"crocustack/core/linker"
	"crocustack/core/quarantiner"
)

const (
	// MaxUnstatedBody is the length up to which a sender may leave out the digest of a
	// body. Such a body is always held.
	MaxUnstatedBody = 16 << 10
	// maxHeldBody is the length up to which a body is held if the budget allows it. As
	// many bytes of a streamed body may wait in the window of its stream.
	maxHeldBody = 256 << 10
)

// incomingBody is the body of a run: held as a whole, or streamed.
type incomingBody struct {
	bytes []byte
	hold  *bodyreader.Hold
	// stream is nil if the body is held. stated describes a streamed body.
	stream *io.PipeReader
	stated *quarantiner.StatedBody
	// received is true once the whole body has been read from the stream.
	received atomic.Bool
	// gone is closed when the sender has closed the stream after the body, or the link
	// has broken.
	gone chan struct{}
}

// errBodyLength means that the body of a Run is larger than allowed or does not
// have the stated length.
var errBodyLength = errors.New("request body is too large or cut short")

// receiveBody returns the body of a run. It reads a body that is held to its end; a
// streamed one is read as the backend server takes it.
func (h *Handler) receiveBody(s *linker.Stream, m *encoder.Run) (*incomingBody, error) {
	if m.GetBodyLength() > uint64(h.cfg.MaxBodyBytes) {
		return nil, errBodyLength
	}
	b := &incomingBody{gone: make(chan struct{})}
	if !b.tryHold(h.cfg.Bodies, m) {
		r, w := io.Pipe()
		b.stream = r
		b.stated = &quarantiner.StatedBody{Length: m.GetBodyLength(), Digest: [sha256.Size]byte(m.GetBodyDigest())}
		go b.receive(s, w, m.GetBodyLength())
		return b, nil
	}
	if err := b.readAll(s, m.GetBodyLength()); err != nil {
		b.release()
		return nil, err
	}
	go b.awaitEnd(s)
	return b, nil
}

// tryHold reports whether the body is to be held.
func (b *incomingBody) tryHold(budget *bodyreader.Budget, m *encoder.Run) bool {
	length := m.GetBodyLength()
	if budget == nil || length <= MaxUnstatedBody || len(m.GetBodyDigest()) != sha256.Size {
		return true
	}
	if length > maxHeldBody {
		return false
	}
	b.hold = budget.Hold()
	return b.hold.TryGrow(int64(length))
}

func (b *incomingBody) readAll(s *linker.Stream, length uint64) error {
	b.bytes = make([]byte, 0, min(length, maxHeldBody))
	chunk := &encoder.Chunk{}
	for uint64(len(b.bytes)) < length {
		if err := s.Receive(chunk); err != nil {
			return err
		}
		b.bytes = append(b.bytes, chunk.GetData()...)
	}
	b.received.Store(true)
	if uint64(len(b.bytes)) != length {
		return errBodyLength
	}
	return nil
}

// receive passes the chunks of a streamed body on until it is complete or nobody reads
// them.
func (b *incomingBody) receive(s *linker.Stream, w *io.PipeWriter, length uint64) {
	chunk := &encoder.Chunk{}
	for read := uint64(0); read < length; read += uint64(len(chunk.GetData())) {
		err := s.Receive(chunk)
		if err == nil && uint64(len(chunk.GetData())) > length-read {
			err = errBodyLength
		}
		if err == nil {
			_, err = w.Write(chunk.GetData())
		}
		if err != nil {
			_ = w.CloseWithError(err) // Never fails.
			close(b.gone)
			return
		}
	}
	b.received.Store(true)
	_ = w.Close()
	b.awaitEnd(s)
}

// awaitEnd closes gone when the sender closes the stream or the link breaks.
func (b *incomingBody) awaitEnd(s *linker.Stream) {
	defer close(b.gone)
	_ = s.Receive(&encoder.Chunk{})
}

// reader returns the streamed body, or nil if the body is held.
func (b *incomingBody) reader() io.Reader {
	if b.stream == nil {
		return nil
	}
	return b.stream
}

// end ends the use of the body. A sender that is still sending it is stopped, so that
// it reads the answer.
func (b *incomingBody) end(s *linker.Stream) {
	b.release()
	if b.stream != nil && !b.received.Load() {
		_ = b.stream.Close()
		_ = s.CloseUnread() // The link may have failed already.
	}
}

func (b *incomingBody) release() {
	if b.hold != nil {
		b.hold.Release()
	}
}
