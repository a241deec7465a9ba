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

// MaxMessageBytes bounds one message. Bodies travel in chunks of ChunkBytes, so
// that only a catalogue section with very many items comes near the bound.
const MaxMessageBytes = 1 << 20

// ChunkBytes is the largest body part in one message.
const ChunkBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Write writes the messages in one call of w.Write: each call becomes one frame
// of the link.
func Write(w io.Writer, ms ...proto.Message) error {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	for _, m := range ms {
		if _, err := protodelim.MarshalTo(b, m); err != nil {
			return errors.Wrap(err, "encode message")
		}
	}
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "write message")
}

// Read reads one message into m. It returns io.EOF when the stream ended
// between two messages, and an error for a message that is cut short, larger
// than MaxMessageBytes or not decodable.
func Read(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(r, m)
	if err == io.EOF {
		return io.EOF
	}
	return errors.Wrap(err, "read message")
}
