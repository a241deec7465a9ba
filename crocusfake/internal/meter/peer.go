package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"crocustack/core/encoder"
	"crocustack/core/linker"
)

// peer is the sending side of links without the rest of a node. It never settles
// an attempt, so the gate of the node at the other end keeps all records.
type peer struct {
	manager *linker.Manager
	hello   *encoder.Hello
	bootID  uint64
}

func newPeer(address, domain string, bootID uint64) *peer {
	p := &peer{bootID: bootID, hello: &encoder.Hello{
		Incarnation: &encoder.Incarnation{Service: frontService, Address: address, BootId: bootID}, Domain: domain, Region: region,
	}}
	p.manager = linker.New(linker.DefaultConfig(), logr.Discard(), p)
	return p
}

// Hello implements linker.Handler.
func (p *peer) Hello() *encoder.Hello { return p.hello }

// Opened implements linker.Handler.
func (p *peer) Opened(*linker.Link) {}

// Closed implements linker.Handler.
func (p *peer) Closed(*linker.Link, error) {}

// Stream implements linker.Handler.
func (p *peer) Stream(*linker.Link, *linker.Stream) {}

// Control implements linker.Handler.
func (p *peer) Control(*linker.Link, *encoder.Control) {}

// sendRuns sends the runs with the sequence numbers from+1 to to.
func (p *peer) sendRuns(ctx context.Context, n *node, from, to int) error {
	l, err := p.manager.Get(ctx, n.link)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(concurrency)
	for seq := from + 1; seq <= to && ctx.Err() == nil; seq++ {
		g.Go(func() error { return p.sendRun(ctx, l, uint64(seq)) })
	}
	return g.Wait()
}

func (p *peer) sendRun(ctx context.Context, l *linker.Link, seq uint64) error {
	s, err := l.OpenStream(ctx)
	if err != nil {
		return err
	}
	defer l.EndExchange()
	defer func() { _ = s.Close() }()
	_ = s.SetDeadline(time.Now().Add(5 * time.Second))
	run := &encoder.Run{
		Id: &encoder.AttemptId{SenderBootId: p.bootID, Sequence: seq}, SettledBelow: 1, Target: l.Peer().GetIncarnation(),
		Service: backService, Kind: "post-" + backService, Class: 2, Depth: 1, TreeId: seq, RemainingMicros: 5_000_000, Idempotent: true,
		Method: http.MethodPost, Path: []byte("/work"), BodyLength: bodyBytes,
	}
	if err := s.Send(&encoder.Request{Message: &encoder.Request_Run{Run: run}}, &encoder.Chunk{Data: make([]byte, bodyBytes)}); err != nil {
		return errors.Wrap(err, "send run")
	}
	answer := &encoder.Answer{}
	if err := s.Receive(answer); err != nil {
		return errors.Wrap(err, "receive answer")
	}
	if answer.GetOutcome() != encoder.Outcome_OUTCOME_RAN {
		return errors.Newf("run %d: got outcome %v, reason %d", seq, answer.GetOutcome(), answer.GetReason())
	}
	for frame := (&encoder.BodyFrame{}); frame.GetEnd() == nil; {
		frame = &encoder.BodyFrame{}
		if err := s.Receive(frame); err != nil {
			return errors.Wrap(err, "receive body")
		}
	}
	return nil
}
