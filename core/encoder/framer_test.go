package encoder

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
)

// TestWriteReadKeepsMessageBounds guards against a second message on a stream
// being lost or merged with the first.
func TestWriteReadKeepsMessageBounds(t *testing.T) {
	want := []proto.Message{
		&Chunk{Data: []byte("first")},
		&Chunk{Data: bytes.Repeat([]byte{7}, ChunkBytes)},
	}
	var b bytes.Buffer
	if err := Write(&b, want...); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(&b)
	for _, w := range want {
		got := &Chunk{}
		if err := Read(r, got); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(w, got, protocmp.Transform()); d != "" {
			t.Errorf("message differs (-want +got):\n%s", d)
		}
	}
	if err := Read(r, &Chunk{}); err != io.EOF {
		t.Errorf("after the last message: got %v, want io.EOF", err)
	}
}

// FuzzRead guards against a panic or an unbounded allocation while decoding
// untrusted input.
func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	_ = Write(&b, &Request{Message: &Request_Run{Run: &Run{Service: "numerator", BodyLength: 3}}})
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(_ *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		for _, m := range []proto.Message{&Request{}, &Control{}, &Hello{}, &Answer{}} {
			if Read(r, m) != nil {
				return
			}
		}
	})
}
