package watcher

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// GoneRetention is the time for which the record of a removed instance is kept
// as a tombstone, so that late updates about it are recognized as stale.
const GoneRetention = 60 * time.Second

type key struct{ service, address string }

func (i Instance) key() key { return key{i.Service, i.Address} }

// sameContent reports whether two records are equal except for the version. A
// record that a newer list repeats unchanged is not a change.
func (i Instance) sameContent(j Instance) bool {
	i.Version = j.Version
	return i == j
}

// hash ignores the version for the same reason. It is 0 for records that are
// gone, because nodes expire these at different times.
func (i Instance) hash() uint64 {
	if i.State == StateGone {
		return 0
	}
	return xxhash.Sum64String(strings.Join([]string{i.Service, i.Address, i.Domain, i.Region, i.State.String()}, "\x00"))
}

// Cell identifies the records of one service in one domain.
type Cell struct{ Domain, Service string }

type record struct {
	Instance
	goneSince time.Duration
}

// Scope determines which instance records a node holds.
type Scope struct {
	// Domain is the node's own failure domain; its records are always held.
	Domain string
	// Interest is the set of services served or called.
	Interest map[string]bool
	// All is true for readers, which distribute the lists of all domains.
	All bool
}

// Holds reports whether records of the cell belong to the scope.
func (s Scope) Holds(c Cell) bool {
	return s.All || c.Domain == s.Domain || s.Interest[c.Service]
}

// Table is the set of known instances. It is immutable and safe for concurrent
// use. Its With method is a join by (version, state), so a stale record changes
// nothing.
type Table struct {
	scope   Scope
	records map[key]record
	// cells holds the XOR of the hashes of each cell's records.
	cells map[Cell]uint64
	// services and domains list the records that are not gone, by address.
	services, domains map[string][]Instance
	// versions holds the highest version seen for each domain.
	versions map[string]uint64
	// fullLists holds the version of the last full list applied for a domain. A
	// received record of that version or below that the table doesn't hold was
	// absent from the list, so it is gone.
	fullLists map[string]uint64
	// gone counts the records in StateGone, which Expire removes later.
	gone int
}

// NewTable returns an empty table.
func NewTable(s Scope) Table { return Table{scope: s} }

// Scope returns the scope of the table. Its map must not be modified.
func (t Table) Scope() Scope { return t.scope }

// WithScope returns the table with another scope, without the records outside
// it.
func (t Table) WithScope(s Scope) Table {
	out := t.clone()
	out.scope = s
	maps.DeleteFunc(out.records, func(_ key, r record) bool { return !s.Holds(Cell{r.Domain, r.Service}) })
	for d := range out.fullLists {
		// Only part of another domain's list remains, so it is no longer complete.
		if !s.All && d != s.Domain {
			delete(out.fullLists, d)
		}
	}
	out.reindex(nil)
	return out
}

// With joins records into the table and returns those that changed it, without
// those that differ only in their version.
func (t Table) With(now time.Duration, instances ...Instance) (Table, []Instance) {
	out, cloned := t, false
	var changed, touched []Instance
	for _, i := range instances {
		cell := Cell{i.Domain, i.Service}
		if !t.scope.Holds(cell) {
			continue
		}
		old, ok := out.records[i.key()]
		if !ok && i.Version <= out.fullLists[i.Domain] && i.State != StateGone {
			i.State, i.Version = StateGone, out.fullLists[i.Domain]
		}
		if ok && cmp.Or(cmp.Compare(i.Version, old.Version), cmp.Compare(i.State, old.State)) <= 0 {
			continue
		}
		if !cloned {
			out, cloned = t.clone(), true
		}
		out.versions[i.Domain] = max(out.versions[i.Domain], i.Version)
		r := record{Instance: i, goneSince: now}
		if ok && i.sameContent(old.Instance) {
			r.goneSince = old.goneSince
		} else {
			changed = append(changed, i)
			if ok {
				touched = append(touched, old.Instance)
			}
		}
		touched = append(touched, i)
		out.records[i.key()] = r
	}
	if len(touched) > 0 {
		out.reindex(touched)
	}
	return out, changed
}

// WithList joins the full list of a domain at a version. Records that the list
// lacks become gone. A list that is older than any record of its domain changes
// nothing.
func (t Table) WithList(now time.Duration, domain string, version uint64, list []Instance) (Table, []Instance) {
	if version < t.versions[domain] || version <= t.fullLists[domain] {
		return t, nil
	}
	present := make(map[key]bool, len(list))
	var joined []Instance
	for _, i := range list {
		if i.Domain == domain {
			i.Version = version
			present[i.key()] = true
			joined = append(joined, i)
		}
	}
	for k, r := range t.records {
		if r.Domain == domain && r.State != StateGone && !present[k] {
			i := r.Instance
			i.State, i.Version = StateGone, version
			joined = append(joined, i)
		}
	}
	sortByAddress(joined)
	out, changed := t.With(now, joined...)
	out = out.clone()
	out.versions[domain] = version
	if t.scope.All || domain == t.scope.Domain {
		out.fullLists[domain] = version
	}
	return out, changed
}

// Expire removes records that have been gone for GoneRetention.
func (t Table) Expire(now time.Duration) Table {
	if t.gone == 0 {
		return t
	}
	expired := func(_ key, r record) bool { return r.State == StateGone && now-r.goneSince >= GoneRetention }
	for k, r := range t.records {
		if expired(k, r) {
			out := t.clone()
			maps.DeleteFunc(out.records, expired)
			out.reindex([]Instance{})
			return out
		}
	}
	return t
}

// Service returns the instances of a service that are not gone, ordered by
// address. The slice must not be modified.
func (t Table) Service(name string) []Instance { return t.services[name] }

// Domain returns the instances of a domain that are held and not gone, ordered
// by address. The slice must not be modified.
func (t Table) Domain(name string) []Instance { return t.domains[name] }

// Domains returns the names of the domains with held instances, sorted.
func (t Table) Domains() []string { return slices.Sorted(maps.Keys(t.domains)) }

// FullListVersion returns the version of the last full list applied for a
// domain, or 0.
func (t Table) FullListVersion(domain string) uint64 { return t.fullLists[domain] }

// Len returns the number of records, including those that are gone.
func (t Table) Len() int { return len(t.records) }

// Records returns the records of a cell, including those that are gone.
func (t Table) Records(c Cell) []Instance {
	var out []Instance
	for _, r := range t.records {
		if r.Domain == c.Domain && r.Service == c.Service {
			out = append(out, r.Instance)
		}
	}
	sortByAddress(out)
	return out
}

// Newer returns the held record that supersedes i and differs from it in more
// than the version, if there is one.
func (t Table) Newer(i Instance) (Instance, bool) {
	r, ok := t.records[i.key()]
	if !ok || r.sameContent(i) || cmp.Or(cmp.Compare(r.Version, i.Version), cmp.Compare(r.State, i.State)) <= 0 {
		return Instance{}, false
	}
	return r.Instance, true
}

// Cells returns the digest of each cell that the other scope holds too. Cells
// with equal digests hold equal live and leaving records.
func (t Table) Cells(other Scope) map[Cell]uint64 {
	out := make(map[Cell]uint64)
	for c, d := range t.cells {
		if other.Holds(c) {
			out[c] = d
		}
	}
	return out
}

// Digest returns the digest of all records that the other scope holds too.
func (t Table) Digest(other Scope) uint64 {
	var d uint64
	for c, h := range t.cells {
		if other.Holds(c) {
			d ^= h
		}
	}
	return d
}

func (t Table) clone() Table {
	t.records, t.versions, t.fullLists = cloneMap(t.records), cloneMap(t.versions), cloneMap(t.fullLists)
	return t
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// reindex rebuilds the lists and digests of the services, domains and cells of
// the changed records, or all of them when changed is nil.
func (t *Table) reindex(changed []Instance) {
	services, domains, cells := make(map[string]bool), make(map[string]bool), make(map[Cell]bool)
	if changed == nil {
		t.services, t.domains, t.cells = nil, nil, nil
		for _, r := range t.records {
			changed = append(changed, r.Instance)
		}
	}
	t.services, t.domains, t.cells = cloneMap(t.services), cloneMap(t.domains), cloneMap(t.cells)
	for _, i := range changed {
		services[i.Service], domains[i.Domain], cells[Cell{i.Domain, i.Service}] = true, true, true
		delete(t.services, i.Service)
		delete(t.domains, i.Domain)
		delete(t.cells, Cell{i.Domain, i.Service})
	}
	t.gone = 0
	for _, r := range t.records {
		if r.State == StateGone {
			t.gone++
			continue
		}
		if services[r.Service] {
			t.services[r.Service] = append(t.services[r.Service], r.Instance)
		}
		if domains[r.Domain] {
			t.domains[r.Domain] = append(t.domains[r.Domain], r.Instance)
		}
		if c := (Cell{r.Domain, r.Service}); cells[c] {
			t.cells[c] ^= r.hash()
		}
	}
	for s := range services {
		sortByAddress(t.services[s])
	}
	for d := range domains {
		sortByAddress(t.domains[d])
	}
}

func sortByAddress(is []Instance) {
	slices.SortFunc(is, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Service, b.Service))
	})
}
