package peeker

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// State is what a connection holds.
type State int

//go:generate stringer -type=State -trimprefix=State

// The states of a connection.
const (
	StateEmpty  State = iota // Open, with no bytes to read.
	StateUnread              // Bytes wait to be read.
	StateEnded               // Closed, reset or ended by the peer, with no bytes to read.
	StateHidden              // A connection that is no socket.
)

// Peek returns the state of a connection. It can be called while another goroutine
// waits in Read.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return StateHidden
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return StateEnded
	}
	state := StateEnded
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = StateEmpty
		case err == nil && n > 0:
			state = StateUnread
		}
	})
	if err != nil {
		return StateEnded
	}
	return state
}

// HungUp reports whether the peer of a connection has closed it, whether or not bytes
// that it sent before wait to be read.
func HungUp(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || hungUp || Peek(c) == StateEnded
}

// Pending reports whether a connection waits to be accepted. It is false for a
// listener that is no socket or is closed.
func Pending(ln net.Listener) bool {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}
