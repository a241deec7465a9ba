package runner

import (
	"context"
	"sync/atomic"
	"time"

	"crocustack/core/releaser"
	"crocustack/core/watcher"
)

// snapshot is what the request path reads of release and instances. It is
// immutable.
type snapshot struct {
	catalogue releaser.Catalogue
	view      releaser.View
	table     watcher.Table
	ready     bool
}

// source reads the platform by polling.
type source struct {
	client   *watcher.Client
	log      func(msg string, err error)
	onChange func(*snapshot)
	current  atomic.Pointer[snapshot]
}

func (s *source) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		s.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *source) poll(ctx context.Context) {
	next := *s.current.Load()
	if v, _, err := s.client.Get(ctx, watcher.Read{Key: "release/current"}); err == nil {
		if _, c, err := releaser.ParseDocument(v.Bytes); err == nil {
			next.catalogue, _ = next.catalogue.With(c.Items()...)
			next.view = next.catalogue.View()
			next.ready = true
		} else {
			s.log("release refused", err)
		}
	}
	for name := range next.view.Domains {
		v, _, err := s.client.Get(ctx, watcher.Read{Key: watcher.InstancesPrefix + name})
		if err != nil {
			continue
		}
		if is, err := watcher.ParseInstances(v.Bytes); err == nil {
			for i := range is {
				is[i].Version = v.Version
			}
			next.table, _ = next.table.With(0, is...)
		}
	}
	s.current.Store(&next)
	s.onChange(&next)
}
