package runner

import (
	"reflect"

	"crocustack/core/configurer"
)

// Reload logs whether the settings have changed, which needs a restart: this
// kind of node applies no settings while it runs.
func (n *Node) Reload(cfg configurer.Settings) {
	n.log.Info("settings changed", "NeedRestart", !reflect.DeepEqual(cfg, n.cfg))
}

// ReloadFailed logs why changed settings cannot be read.
func (n *Node) ReloadFailed(err error) {
	n.log.Error(err, "changed settings can't be read")
}
