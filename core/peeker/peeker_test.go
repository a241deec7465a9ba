package peeker

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPeek guards against a wrong state, and against waiting for a goroutine that
// reads the connection.
func TestPeek(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if Pending(ln) {
		t.Error("a connection is pending before one was opened")
	}
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if !Pending(ln) {
		t.Error("no connection is pending after one was opened")
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	after := func(want State) State {
		got := Peek(c)
		for end := time.Now().Add(10 * time.Second); got != want && time.Now().Before(end); got = Peek(c) {
			time.Sleep(time.Millisecond)
		}
		return got
	}
	read := make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1))
		close(read)
	}()
	got := []State{Peek(c)}
	_, _ = client.Write([]byte("ab"))
	<-read
	got = append(got, after(StateUnread))
	_, _ = c.Read(make([]byte, 1))
	got = append(got, Peek(c))
	_ = client.Close()
	got = append(got, after(StateEnded))
	pipe, _ := net.Pipe()
	got = append(got, Peek(pipe))
	want := []State{StateEmpty, StateUnread, StateEmpty, StateEnded, StateHidden}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("-want +got:\n%s", d)
	}
}
