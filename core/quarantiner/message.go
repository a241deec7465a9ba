package quarantiner

import (
	"github.com/cockroachdb/errors"

	"crocustack/core/encoder"
)

// Message returns the record as a protobuf message.
func (r Record) Message() *encoder.Suspicion {
	return &encoder.Suspicion{Fingerprint: r.Key.Fingerprint[:], Caller: r.Key.Caller, Epoch: r.Epoch, Ends: r.Ends, Trials: r.Trials}
}

// Messages returns records as protobuf messages.
func Messages(rs []Record) []*encoder.Suspicion {
	ms := make([]*encoder.Suspicion, len(rs))
	for i, r := range rs {
		ms[i] = r.Message()
	}
	return ms
}

// RecordFromMessage returns the record in a message.
func RecordFromMessage(m *encoder.Suspicion) (Record, error) {
	if len(m.GetFingerprint()) != FingerprintBytes {
		return Record{}, errors.Newf("fingerprint has %d bytes, want %d", len(m.GetFingerprint()), FingerprintBytes)
	}
	r := Record{
		Key: Key{Fingerprint: Fingerprint(m.GetFingerprint()), Caller: m.GetCaller()}, Epoch: m.GetEpoch(), Ends: m.GetEnds(), Trials: m.GetTrials(),
	}
	return r.normalized(), nil
}

// MergeMessages adds the records in messages to the table. Malformed ones are left
// out; the error is that of the first.
func (t *Table) MergeMessages(ms []*encoder.Suspicion) error {
	var first error
	rs := make([]Record, 0, len(ms))
	for _, m := range ms {
		r, err := RecordFromMessage(m)
		if err != nil {
			first = errors.CombineErrors(first, err)
			continue
		}
		rs = append(rs, r)
	}
	t.Merge(rs)
	return first
}
