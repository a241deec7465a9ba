package commander

import (
	"bytes"
	"context"
	"os"
	"time"

	"crocustack/core/configurer"
)

// reloadInterval bounds how late a change of the settings file that comes
// without SIGHUP is seen.
const reloadInterval = time.Second

// reloader reads the settings file again after SIGHUP and from time to time.
type reloader struct {
	file string
	node node
	hup  <-chan os.Signal
	// last is the content that was read last, valid or not.
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

// reload hands changed settings to the node. Settings that can't be read or
// have findings leave those in force untouched.
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
