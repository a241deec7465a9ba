package encoder

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the maximum size of an encoded message. Bodies are sent in
// chunks of ChunkBytes, so only a catalogue section with very many items comes
// near this size.
const MaxMessageBytes = 1 << 20

// ChunkBytes is the maximum size of the part of a body in one message.
const ChunkBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ErrUnencodable means that a message can't be encoded and that nothing was
// written, for instance because a string is not valid UTF-8.
var ErrUnencodable = errors.New("message can't be encoded")

// Write writes all messages in a single call of w.Write, because each call
// becomes one frame of the link.
func Write(w io.Writer, ms ...proto.Message) error {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	for _, m := range ms {
		if _, err := protodelim.MarshalTo(b, m); err != nil {
			return errors.Mark(errors.Wrap(err, "encode message"), ErrUnencodable)
		}
	}
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "write message")
}

// Read reads one message into m. It returns io.EOF when the stream ends between
// two messages, and another error for a message that is truncated, larger than
// MaxMessageBytes or malformed.
func Read(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(r, m)
	if err == io.EOF {
		return io.EOF
	}
	return errors.Wrap(err, "read message")
}
