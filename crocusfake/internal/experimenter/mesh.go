package experimenter

import (
	"net/http"
	"time"

	"crocustack/core/classifier"
	"crocustack/core/releaser"

	"crocustack/crocusfake/internal/loader"
	"crocustack/crocusfake/internal/worker"
)

// service describes one service of a mesh with all its instances.
type service struct {
	name               string
	slots, connections int
	routes             []worker.Route
	kinds              []classifier.Kind
}

// deepService is the service that nearly every call tree ends at.
const deepService = "archiwum"

// deepServiceTime is the service time at the deep service.
const deepServiceTime = 60 * time.Millisecond

const callerTimeout = time.Second

// allowance is the number of retries that one call tree may make.
const allowance = 3

// kwitariuszMesh returns the services of the organisation Kwitariusz Systemy,
// scaled down.
func kwitariuszMesh() []service {
	get, post, put := http.MethodGet, http.MethodPost, http.MethodPut
	call := func(s, method, path string) []worker.Call {
		return []worker.Call{{Service: s, Method: method, Path: path}}
	}
	kind := func(name, service, method, path string, class classifier.Class, idempotent bool) classifier.Kind {
		k := classifier.Kind{
			Name: name, Service: service, Methods: []string{method}, PathPrefix: path,
			Class: class, Idempotent: idempotent, Timeout: callerTimeout, Allowance: allowance,
		}
		return k
	}
	ticketed := func(k classifier.Kind) classifier.Kind {
		k.Ticket = classifier.TicketRuleRequired
		return k
	}
	return []service{
		{
			name: deepService, slots: 8, connections: 50,
			routes: []worker.Route{
				{Method: get, Path: "/browse", Mean: deepServiceTime, Idempotent: true},
				{Method: get, Path: "/records", Mean: deepServiceTime, Idempotent: true},
				{Method: post, Path: "/entries", Mean: deepServiceTime},
				{Method: put, Path: "/files", Mean: deepServiceTime, Idempotent: true},
				{Method: get, Path: "/ping", Idempotent: true},
			},
			kinds: []classifier.Kind{
				kind("browse", deepService, get, "/browse", classifier.ClassBrowse, true),
				kind("read-record", deepService, get, "/records", classifier.ClassStandard, true),
				kind("store-entry", deepService, post, "/entries", classifier.ClassCritical, false),
				kind("store-file", deepService, put, "/files", classifier.ClassBulk, true),
				kind("ping", deepService, get, "/ping", classifier.ClassStandard, true),
			},
		},
		{
			name: "ksiegi", slots: 16, connections: 100,
			routes: []worker.Route{
				{Method: get, Path: "/lookup", Mean: 10 * time.Millisecond, Idempotent: true, Calls: call(deepService, get, "/records")},
				{Method: post, Path: "/numbers", Mean: 10 * time.Millisecond, Calls: call("numerator", post, "/next")},
				{Method: post, Path: "/close", Mean: 10 * time.Millisecond, Calls: call("numerator", post, "/closed")},
			},
			kinds: []classifier.Kind{
				kind("lookup", "ksiegi", get, "/lookup", classifier.ClassStandard, true),
				ticketed(kind("issue-number", "ksiegi", post, "/numbers", classifier.ClassCritical, false)),
				ticketed(kind("close-book", "ksiegi", post, "/close", classifier.ClassCritical, false)),
			},
		},
		{
			name: "numerator", slots: 8, connections: 25,
			routes: []worker.Route{
				{Method: post, Path: "/next", Mean: 15 * time.Millisecond, Calls: call(deepService, post, "/entries")},
				{Method: post, Path: "/closed", Mean: 15 * time.Millisecond},
			},
			kinds: []classifier.Kind{
				kind("next-number", "numerator", post, "/next", classifier.ClassCritical, false),
				kind("mark-closed", "numerator", post, "/closed", classifier.ClassCritical, false),
			},
		},
		{
			name: "skany", slots: 8, connections: 50,
			routes: []worker.Route{
				{Method: put, Path: "/scans", Mean: 10 * time.Millisecond, Idempotent: true, Calls: call(deepService, put, "/files")},
			},
			kinds: []classifier.Kind{
				kind("upload-scan", "skany", put, "/scans", classifier.ClassBulk, true),
			},
		},
	}
}

// callerKinds returns the request kinds that callers of the mesh send.
func callerKinds() []loader.Kind {
	return []loader.Kind{
		{Name: "issue-number", Class: "Critical", Service: "ksiegi", Method: http.MethodPost, Path: "/numbers", Share: 0.10, Timeout: callerTimeout, BodySize: 200, Ticket: true},
		{Name: "close-book", Class: "Critical", Service: "ksiegi", Method: http.MethodPost, Path: "/close", Share: 0.05, Timeout: callerTimeout, BodySize: 200, Ticket: true},
		{Name: "lookup", Class: "Standard", Service: "ksiegi", Method: http.MethodGet, Path: "/lookup", Share: 0.35, Timeout: callerTimeout},
		{Name: "browse", Class: "Browse", Service: deepService, Method: http.MethodGet, Path: "/browse", Share: 0.35, Timeout: callerTimeout},
		{Name: "upload-scan", Class: "Bulk", Service: "skany", Method: http.MethodPut, Path: "/scans", Share: 0.15, Timeout: callerTimeout, BodySize: 4096},
	}
}

// classes lists the classes from the most to the least important one.
var classes = []string{"Critical", "Standard", "Browse", "Bulk"}

// capacity returns the number of call trees per second that saturates the slots
// of the deep service. Requests of the kind close-book don't reach that service.
func capacity(perService int) float64 {
	var share float64
	for _, k := range callerKinds() {
		if k.Name != "close-book" {
			share += k.Share
		}
	}
	slots := float64(kwitariuszMesh()[0].slots * perService)
	return slots / deepServiceTime.Seconds() / share
}

// section returns the release items of a mesh.
func section(mesh []service, domains []string, region string) releaser.Section {
	var s releaser.Section
	for _, m := range mesh {
		calls := make(map[string]bool)
		out := releaser.Service{
			Name: m.name, Slots: m.slots, Connections: m.connections,
			RetryRatio: 0.1, QueueTime: 150 * time.Millisecond, QueueLength: 100,
		}
		for _, r := range m.routes {
			for _, c := range r.Calls {
				if !calls[c.Service] {
					calls[c.Service] = true
					out.Calls = append(out.Calls, c.Service)
				}
			}
		}
		s.Services = append(s.Services, out)
		s.Kinds = append(s.Kinds, m.kinds...)
	}
	for _, d := range domains {
		s.Domains = append(s.Domains, releaser.Domain{Name: d, Region: region})
	}
	return s
}
