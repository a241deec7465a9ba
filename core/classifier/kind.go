package classifier

import (
	"sort"
	"strings"
	"time"
)

//go:generate stringer -type=TicketRule -trimprefix=TicketRule

// TicketRule determines whether requests of a kind need a ticket.
type TicketRule int

// The ticket rules.
const (
	TicketRuleNone TicketRule = iota
	TicketRuleOptional
	TicketRuleRequired
)

// Kind is one kind of request that a service answers.
type Kind struct {
	// Name is unique over all services.
	Name string
	// Service is the service that answers the kind.
	Service string
	// Methods holds HTTP methods in upper case; empty matches every method.
	Methods []string
	// PathPrefix matches the path below the service; it begins with "/".
	PathPrefix string
	Class      Class
	// Idempotent is true if running a request more than once has the same effect
	// as running it once. A request of a kind that is not idempotent is retried
	// only if it was not run.
	Idempotent bool
	Ticket     TicketRule
	// Timeout is the time limit of the whole call tree when the caller sets none.
	Timeout time.Duration
	// Allowance is the number of retries that the whole call tree may make.
	Allowance uint32
}

// Matches reports whether a request with the method and path is of the kind.
func (k Kind) Matches(method, path string) bool {
	if !strings.HasPrefix(path, k.PathPrefix) {
		return false
	}
	if len(k.Methods) == 0 {
		return true
	}
	for _, m := range k.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// Table finds the kind of a request. It is immutable and safe for concurrent
// use.
type Table struct {
	// byService holds each service's kinds, the longest prefix first, then by
	// name, so that the first match is the most specific one.
	byService map[string][]Kind
}

// NewTable builds a table from kinds in any order.
func NewTable(kinds []Kind) Table {
	byService := make(map[string][]Kind)
	for _, k := range kinds {
		byService[k.Service] = append(byService[k.Service], k)
	}
	for _, ks := range byService {
		sort.Slice(ks, func(i, j int) bool {
			if len(ks[i].PathPrefix) != len(ks[j].PathPrefix) {
				return len(ks[i].PathPrefix) > len(ks[j].PathPrefix)
			}
			return ks[i].Name < ks[j].Name
		})
	}
	return Table{byService: byService}
}

// Classify returns the kind of a request to a service, and false when no kind
// of the service matches.
func (t Table) Classify(service, method, path string) (Kind, bool) {
	for _, k := range t.byService[service] {
		if k.Matches(method, path) {
			return k, true
		}
	}
	return Kind{}, false
}

// Kind returns the kind with the name, and false when there is none.
func (t Table) Kind(name string) (Kind, bool) {
	for _, ks := range t.byService {
		for _, k := range ks {
			if k.Name == name {
				return k, true
			}
		}
	}
	return Kind{}, false
}
