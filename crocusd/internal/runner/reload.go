package runner

import (
	"reflect"

	"crocustack/core/configurer"
)

// Reload logs that changed settings need a restart; this node takes none over
// while it runs.
func (n *Node) Reload(cfg configurer.Settings) {
	n.log.Info("settings changed", "NeedRestart", !reflect.DeepEqual(cfg, n.cfg))
}

// ReloadFailed logs why changed settings can't be read.
func (n *Node) ReloadFailed(err error) {
	n.log.Error(err, "changed settings can't be read")
}
