package commander

import (
	"bytes"
	"context"
	"os"
	"time"

	"crocustack/core/configurer"
)

// reloadInterval is the maximum delay until a change of the settings file is
// detected without SIGHUP.
const reloadInterval = time.Second

// reloader reads the settings file again on SIGHUP and once per reloadInterval.
type reloader struct {
	file string
	node node
	hup  <-chan os.Signal
	// last is the content that was read most recently, valid or not.
	last []byte
}

func newReloader(file string, b []byte, n node, hup <-chan os.Signal) *reloader {
	return &reloader{file: file, node: n, hup: hup, last: b}
}

// run reloads until ctx ends.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
		case <-ticker.C:
		}
		r.reload()
	}
}

// reload passes changed settings to the node. If the file is unreadable or
// invalid, the current settings stay active.
func (r *reloader) reload() {
	b, err := os.ReadFile(r.file)
	if err != nil {
		r.node.ReloadFailed(err)
		return
	}
	if bytes.Equal(b, r.last) {
		return
	}
	r.last = b
	cfg, err := configurer.Load(r.file, b)
	if err != nil {
		r.node.ReloadFailed(err)
		return
	}
	r.node.Reload(cfg)
}
