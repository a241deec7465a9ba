package quarantiner

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecords bounds the records of a table.
	maxRecords = 8192
	// maxRecordsPerCaller bounds the records of one caller, so that a caller whose
	// requests end servers displaces only records of its own.
	maxRecordsPerCaller = 1024
)

// entry is a record as the table holds it.
type entry struct {
	record Record
	// version is the version of the table at the last change of the record.
	version uint64
}

// judged reports whether the request may not run freely. Such records are never
// displaced.
func (e *entry) judged() bool {
	_, allowed := e.record.Verdict().(Allowed)
	return !allowed
}

// Table holds the records of a node. It is safe for concurrent use. While it is
// empty, looking a request up takes no lock and hashes nothing.
type Table struct {
	mu      sync.Mutex
	records map[Key]*entry
	// scopes counts the records that speak against a request by the first part of
	// its fingerprint.
	scopes map[[scopeBytes]byte]int
	// quarantined counts the quarantined records by fingerprint.
	quarantined map[Fingerprint]int
	// byCaller counts the records by caller.
	byCaller map[uint64]int
	version  uint64
	// changes holds a value after a change that nobody has taken note of.
	changes chan struct{}

	// size and judged are the numbers of all records and of those whose request may
	// not run freely. dropped counts the records for which there was no room.
	size, judged, dropped atomic.Int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records: make(map[Key]*entry), scopes: make(map[[scopeBytes]byte]int), quarantined: make(map[Fingerprint]int),
		byCaller: make(map[uint64]int), changes: make(chan struct{}, 1),
	}
}

// Size returns the number of records.
func (t *Table) Size() int64 { return t.size.Load() }

// Judged returns the number of requests on probation or in quarantine.
func (t *Table) Judged() int64 { return t.judged.Load() }

// Dropped returns the number of records for which there was no room.
func (t *Table) Dropped() int64 { return t.dropped.Load() }

// Find returns what the node knows of a request: an empty record if nothing.
func (t *Table) Find(i Identity) Record {
	r, _ := t.find(i)
	return r
}

// find returns the record of a request, and whether the same request of another
// caller is quarantined.
func (t *Table) find(i Identity) (r Record, elsewhere bool) {
	if t.size.Load() == 0 || !t.suspectsScope(i.scope()) {
		return Record{}, false
	}
	key := i.Key()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.records[key]; ok {
		return e.record, t.quarantined[key.Fingerprint] > 0
	}
	return Record{Key: key}, t.quarantined[key.Fingerprint] > 0
}

// suspectsScope reports whether anything speaks against a request with the first part
// of the fingerprint. If not, the body need not be hashed.
func (t *Table) suspectsScope(scope [scopeBytes]byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scopes[scope] > 0
}

// Judge returns the verdict on a request. A request that is quarantined for another
// caller gets one trial for this one, unless it has been cleared for it.
func (t *Table) Judge(i Identity) Verdict {
	r, elsewhere := t.find(i)
	if !elsewhere || r.Epoch > 0 {
		return r.Verdict()
	}
	if len(r.Trials) > 0 {
		return Quarantined{}
	}
	return OnProbation{}
}

// RecordEnd records that a server has ended while it was running a request, and
// returns the new record. end identifies the end among all nodes.
func (t *Table) RecordEnd(key Key, end uint64) Record {
	return t.change(key, func(r Record) Record { return r.WithEnd(end) })
}

// RecordTrial records that the server has ended under a trial run of a request, and
// returns the new record. trial identifies the run among all nodes.
func (t *Table) RecordTrial(key Key, trial uint64) Record {
	return t.change(key, func(r Record) Record { return r.WithTrial(trial) })
}

func (t *Table) change(key Key, with func(Record) Record) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Record{Key: key}
	if e, ok := t.records[key]; ok {
		r = e.record
	}
	r = with(r)
	t.store(r)
	return r
}

// RecordCompletion records that a run of a request has completed, which clears the
// request. It reports whether something had spoken against it.
func (t *Table) RecordCompletion(i Identity) bool {
	r, elsewhere := t.find(i)
	if r.Clear() && (!elsewhere || r.Epoch > 0) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.records[r.Key]; ok {
		r = e.record
	}
	t.store(r.WithClearance())
	return true
}

// Merge adds what another node knows and reports whether anything was new.
func (t *Table) Merge(rs []Record) bool {
	if len(rs) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.version
	for _, r := range rs {
		if e, ok := t.records[r.Key]; ok {
			r = e.record.WithKnowledge(r)
		}
		t.store(r.normalized())
	}
	return t.version != before
}

// store replaces the record of a request. The caller holds mu.
func (t *Table) store(r Record) {
	e, ok := t.records[r.Key]
	if ok && e.record.equal(r) {
		return
	}
	if !ok {
		if !t.makeRoom(r.Key.Caller) {
			t.dropped.Add(1)
			return
		}
		e = &entry{record: Record{Key: r.Key}}
		t.records[r.Key] = e
		addTo(t.byCaller, r.Key.Caller, 1)
	}
	t.count(e.record, -1)
	t.version++
	e.record, e.version = r, t.version
	t.count(r, 1)
	t.size.Store(int64(len(t.records)))
	select {
	case t.changes <- struct{}{}:
	default:
	}
}

// count adds n to the counts to which a record belongs by what it states.
func (t *Table) count(r Record, n int) {
	if !r.Clear() {
		addTo(t.scopes, scopeOf(r.Key), n)
	}
	switch r.Verdict().(type) {
	case Allowed:
	case OnProbation:
		t.judged.Add(int64(n))
	case Quarantined:
		t.judged.Add(int64(n))
		addTo(t.quarantined, r.Key.Fingerprint, n)
	}
}

// addTo adds n to a count, and removes a count of 0.
func addTo[K comparable](counts map[K]int, key K, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// Changes returns a channel that has a value after a change. One receiver may use
// it.
func (t *Table) Changes() <-chan struct{} { return t.changes }

// makeRoom makes room for one record of a caller. Where a bound is reached, it
// removes the one that has changed least recently of those that may be displaced.
// It returns false if there is none.
func (t *Table) makeRoom(caller uint64) bool {
	ownBound, bound := t.byCaller[caller] >= maxRecordsPerCaller, len(t.records) >= maxRecords
	if !ownBound && !bound {
		return true
	}
	var oldest *entry
	for _, e := range t.records {
		displaceable := !e.judged() && (!ownBound || e.record.Key.Caller == caller)
		if displaceable && (oldest == nil || e.version < oldest.version) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	t.remove(oldest)
	return true
}

func (t *Table) remove(e *entry) {
	key := e.record.Key
	t.count(e.record, -1)
	delete(t.records, key)
	addTo(t.byCaller, key.Caller, -1)
}

func scopeOf(k Key) [scopeBytes]byte { return [scopeBytes]byte(k.Fingerprint[:scopeBytes]) }

// Version returns a number that grows with each change of the table.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// ChangedSince returns up to limit records that have changed after a version, the
// ones that changed first in front, and the version that they lead to.
func (t *Table) ChangedSince(version uint64, limit int) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version == t.version {
		return nil, version
	}
	var changed []*entry
	for _, e := range t.records {
		if e.version > version {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	reached := t.version
	if len(changed) > limit {
		changed = changed[:limit]
		reached = changed[limit-1].version
	}
	rs := make([]Record, len(changed))
	for i, e := range changed {
		rs[i] = e.record
	}
	return rs, reached
}

// Buckets is the number of parts into which a table is divided for comparison.
const Buckets = 16

// Digests holds a hash of the judged records in each part of a table. Tables with
// the same digests hold the same verdicts.
type Digests [Buckets]uint64

func bucketOf(k Key) int { return int(k.Fingerprint[FingerprintBytes-1]) % Buckets }

// Digests returns the digests of the table.
func (t *Table) Digests() Digests {
	var ds Digests
	if t.judged.Load() == 0 {
		return ds
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.records {
		if e.judged() {
			// The order of the records does not matter to the exclusive or.
			ds[bucketOf(key)] ^= e.record.hash()
		}
	}
	return ds
}

// hash returns a hash of all that the record states.
func (r Record) hash() uint64 {
	b := binary.BigEndian.AppendUint64(r.Key.Fingerprint[:], r.Key.Caller)
	b = binary.BigEndian.AppendUint64(b, r.Epoch)
	for _, id := range slices.Concat(r.Ends, []uint64{0}, r.Trials) {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return xxhash.Sum64(b)
}

// Differing returns the parts in which two tables differ.
func (d Digests) Differing(o Digests) (buckets []int) {
	for i := range d {
		if d[i] != o[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// InBuckets returns up to limit records of the given parts, the judged ones first.
func (t *Table) InBuckets(buckets []int, limit int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var judged, others []Record
	for key, e := range t.records {
		switch {
		case !slices.Contains(buckets, bucketOf(key)):
		case e.judged():
			judged = append(judged, e.record)
		default:
			others = append(others, e.record)
		}
	}
	all := append(judged, others...)
	return all[:min(len(all), limit)]
}
