package synchronizer

import (
	"strings"
	"time"

	"crocustack/core/releaser"
	"crocustack/core/watcher"
)

// platformValue is a decoded platform value, or the error of decoding it.
type platformValue struct {
	version   uint64
	domain    string // The domain of an instance list; empty for a release.
	instances []watcher.Instance
	note      releaser.Note
	catalogue releaser.Catalogue
	err       error
}

// parseValue decodes a platform value. It takes tens of milliseconds for a large
// release, so the Synchronizer calls it without holding its lock.
func parseValue(key string, v watcher.Value) platformValue {
	p := platformValue{version: v.Version}
	if domain, ok := strings.CutPrefix(key, watcher.InstancesPrefix); ok {
		p.domain = domain
		p.instances, p.err = watcher.ParseInstances(v.Bytes)
		return p
	}
	p.note, p.catalogue, p.err = releaser.ParseDocument(v.Bytes)
	return p
}

// recordResult records the result of a platform read. p holds a value only if
// the result is watcher.ResultValue.
func (e *engine) recordResult(now time.Duration, key string, result watcher.Result, p platformValue) {
	e.planner.RecordResult(now, key, result, p.version, e.random.Float64())
	e.changed = true
	switch {
	case result != watcher.ResultValue:
		e.refresh(now)
	case p.err != nil:
		e.log.Error(p.err, "platform value rejected", "Key", key, "Version", p.version)
	case p.domain != "":
		// The difference between two lists is pushed. The first list read is only
		// announced, because all readers of a starting fleet read it as well.
		first := e.table.FullListVersion(p.domain) == 0
		t, changed := e.table.WithList(now, p.domain, p.version, p.instances)
		e.table = t
		e.refresh(now)
		if first {
			e.announcePending = e.announcePending || len(changed) > 0
			return
		}
		e.push("", nil, changed)
	default:
		e.log.V(1).Info("release read", "Number", p.note.Number, "Version", p.version)
		items := e.mergeItems(now, p.catalogue.Items())
		e.refresh(now)
		e.push("", items, nil)
	}
}
