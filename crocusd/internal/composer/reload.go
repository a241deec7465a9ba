package composer

import (
	"reflect"

	"crocustack/core/configurer"
	"crocustack/platform"
)

// Reload applies the settings that can change while the node runs: its service,
// the addresses of the backend server and the store, and the platform's bounds.
// Changes of listeners, failure domain and log need a restart.
func (n *Node) Reload(cfg configurer.Settings) {
	n.backend.SetAddress(hostOf(cfg.Backend.URL))
	n.store.SetAddress(hostOf(cfg.Platform.URL))
	n.service.Store(&cfg.Node.Service)
	bounds, err := platform.DecodeBounds(cfg.Platform.Bounds)
	if err != nil {
		n.ReloadFailed(err)
	} else {
		n.bounds.Store(&bounds)
	}
	left := cfg
	left.Backend.URL, left.Platform, left.Node.Service = n.cfg.Backend.URL, n.cfg.Platform, n.cfg.Node.Service
	n.log.Info("settings reloaded", "Service", cfg.Node.Service, "Backend", cfg.Backend.URL, "NeedRestart", !reflect.DeepEqual(left, n.cfg))
}

// ReloadFailed logs why changed settings are not applied.
func (n *Node) ReloadFailed(err error) {
	n.log.Error(err, "settings not reloaded; the earlier ones stay in force")
}
