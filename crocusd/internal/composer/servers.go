package composer

import (
	"net"
	"slices"

	"github.com/rcrowley/go-metrics"

	"crocustack/core/connector"
	"crocustack/core/observer"
)

// maxLeftOutLines bounds the log lines of one view about entries that are left out.
const maxLeftOutLines = 16

// chooseServers returns the members that count as backend servers: at most one for each
// service on a machine.
func (n *Node) chooseServers(v observer.View) []connector.Member {
	c := n.arbiter.Choose(namedMembers(v))
	if before := n.leftOut.Swap(&c.LeftOut); before == nil || !slices.EqualFunc(*before, c.LeftOut, connector.Member.SameRun) {
		for _, m := range c.LeftOut[:min(len(c.LeftOut), maxLeftOutLines)] {
			n.log.Info("entry of the store left out: another one counts for its machine", "Instance", m.Instance, "Service", m.Service, "Address", m.Address)
		}
	}
	return c.Servers
}

// namedMembers returns the members whose services the configuration names. Entries of
// others, such as an agent on the machine of a backend server, must not take the place of
// the server's own.
func namedMembers(v observer.View) []connector.Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m connector.Member) bool {
		_, named := v.Config.Services[m.Service]
		return !named
	})
}

// newestByHost returns the member on each machine, keyed by host. When the
// entries of several runs name the same machine, the one written last is returned.
func newestByHost(members []connector.Member) map[string]connector.Member {
	byHost := make(map[string]connector.Member, len(members))
	for _, m := range members {
		host := hostOnly(m.Address)
		if old, ok := byHost[host]; !ok || !m.Written.Before(old.Written) {
			byHost[host] = m
		}
	}
	return byHost
}

// refuteInstance records that the server on a machine is not an instance. If another entry
// counts for the machine now, the view is applied again.
func (n *Node) refuteInstance(host, instance string) {
	if n.arbiter.Refute(host, instance) {
		n.askStore()
	}
}

// registerLeftOut registers the gauge Members.LeftOut: the entries that are left out because
// another one counts for their machine.
func (n *Node) registerLeftOut() {
	n.rec.Registry().GetOrRegister("Members.LeftOut", metrics.NewFunctionalGauge(func() int64 {
		if left := n.leftOut.Load(); left != nil {
			return int64(len(*left))
		}
		return 0
	}))
}

// hostOnly returns the host of a host:port. The adapter passes on only valid addresses.
func hostOnly(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
