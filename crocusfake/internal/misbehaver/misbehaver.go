package misbehaver

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"crocustack/core/peeker"
	"crocustack/platform/standin"
)

//go:generate stringer -type=Kind -trimprefix=Kind

// Kind is a kind of misbehaviour.
type Kind int

// The kinds.
const (
	KindHeldBody   Kind = iota // Bodies of legal size that stop just short of their end.
	KindHugeBody               // Bodies far over the limit.
	KindManyFields             // Heads of legal size made of very many short fields.
	KindUnread                 // Requests sent ahead, whose answers are not read.
	KindSlowHead               // Heads that trickle in.
	KindSlowReader             // Long answers that are read very slowly.
	KindHalfWay                // Requests that stop half-way.
)

// NumKinds is the number of kinds.
const NumKinds = int(KindHalfWay) + 1

// Config holds what a crowd of clients does.
type Config struct {
	// Addresses are the listeners that the clients connect to.
	Addresses []string
	// Host is the Host header. Paths are those that the clients ask for, and LongPath
	// one with a long answer.
	Host     string
	Paths    []string
	LongPath string
	// BodyBytes is the length of a legal body, and HeadBytes that of a legal head.
	BodyBytes, HeadBytes int
	Connections          int
	Seed                 uint64
}

// Run lets a crowd of one kind misbehave until ctx is done. Clients that the server
// disconnects come back after a pause.
func Run(ctx context.Context, kind Kind, cfg Config) {
	var wg sync.WaitGroup
	for i := range cfg.Connections {
		wg.Go(func() {
			draw := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
			for ctx.Err() == nil {
				cfg.connect(ctx, kind, draw)
				sleep(ctx, reconnectPause)
			}
		})
	}
	wg.Wait()
}

const (
	reconnectPause = 200 * time.Millisecond
	// trickle is the pause between the bytes of a slow client.
	trickle = 100 * time.Millisecond
	// pieceBytes is the size of a piece of a body that is sent in small pieces.
	pieceBytes = 1000
	// sentAhead is the number of requests that a client sends without reading.
	sentAhead = 2000
)

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// connect opens one connection and misbehaves on it until it ends.
func (cfg Config) connect(ctx context.Context, kind Kind, draw *rand.Rand) {
	c, err := net.DialTimeout("tcp", cfg.Addresses[draw.IntN(len(cfg.Addresses))], time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	path := cfg.Paths[draw.IntN(len(cfg.Paths))]
	id := fmt.Sprintf("m%016x", draw.Uint64())
	switch kind {
	case KindHeldBody:
		cfg.holdBody(c, path, id, draw.IntN(3))
	case KindHugeBody:
		cfg.sendHuge(c, path, id, draw.IntN(2) == 0)
	case KindManyFields:
		head := cfg.head("GET", path, id)
		_, err = io.WriteString(c, head+strings.Repeat("a:\r\n", (cfg.HeadBytes-len(head))/4)+"\r\n")
	case KindUnread:
		request := cfg.head("GET", path, id) + "\r\n"
		for range sentAhead {
			if _, err = io.WriteString(c, request); err != nil {
				return
			}
		}
	case KindSlowHead:
		cfg.trickleHead(ctx, c, path, id)
	case KindSlowReader:
		if _, err := io.WriteString(c, cfg.head("GET", cfg.LongPath, id)+"\r\n"); err == nil {
			readSlowly(ctx, c)
		}
		return
	case KindHalfWay:
		head := cfg.head("POST", path, id) + "Content-Length: 100000\r\n\r\n"
		if draw.IntN(2) == 0 {
			head = head[:draw.IntN(len(head))]
		}
		_, err = io.WriteString(c, head)
	}
	if err == nil {
		awaitEnd(ctx, c)
	}
}

func (cfg Config) head(method, path, id string) string {
	return standin.Head(standin.Request{ID: id, Method: method, Host: cfg.Host, Target: path})
}

// holdBody sends all but the last byte of a body: in one piece, in small pieces, or in
// chunks.
func (cfg Config) holdBody(c net.Conn, path, id string, form int) {
	head := cfg.head("POST", path, id)
	if form == 2 {
		if _, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes))
		for sent := 0; sent < cfg.BodyBytes-pieceBytes; sent += pieceBytes {
			if _, err := io.WriteString(c, chunk); err != nil {
				return
			}
		}
		return
	}
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, cfg.BodyBytes); err != nil {
		return
	}
	piece := cfg.BodyBytes - 1
	if form == 1 {
		piece = pieceBytes
	}
	bytes := make([]byte, piece)
	for left := cfg.BodyBytes - 1; left > 0; left -= piece {
		if _, err := c.Write(bytes[:min(left, piece)]); err != nil {
			return
		}
	}
}

// sendHuge sends a body far over the limit, with a stated length or in chunks, until it
// is refused.
func (cfg Config) sendHuge(c net.Conn, path, id string, stated bool) {
	framing, piece := "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", 1<<16, strings.Repeat("x", 1<<16))
	if stated {
		framing, piece = "Content-Length: 9000000000\r\n\r\n", strings.Repeat("x", 1<<16)
	}
	if _, err := io.WriteString(c, cfg.head("POST", path, id)+framing); err != nil {
		return
	}
	for sent := 0; sent < 2*cfg.BodyBytes; sent += 1 << 16 {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
	}
}

func (cfg Config) trickleHead(ctx context.Context, c net.Conn, path, id string) {
	head := cfg.head("GET", path, id)
	for i := 0; ctx.Err() == nil; i++ {
		b := "x"
		if i < len(head) {
			b = head[i : i+1]
		}
		if _, err := io.WriteString(c, b); err != nil {
			return
		}
		sleep(ctx, trickle)
	}
}

func readSlowly(ctx context.Context, c net.Conn) {
	b := make([]byte, 1)
	for ctx.Err() == nil {
		if _, err := c.Read(b); err != nil {
			return
		}
		sleep(ctx, trickle)
	}
}

// awaitEnd waits until the server ends the connection or ctx is done. It reads nothing.
func awaitEnd(ctx context.Context, c net.Conn) {
	for ctx.Err() == nil {
		sleep(ctx, trickle)
		if _, err := c.Write(nil); err != nil {
			return
		}
		if peeker.HungUp(c) {
			return
		}
	}
}
