package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/cespare/xxhash/v2"
)

const (
	// scopeBytes is the size of the first part of a fingerprint, a fast hash of
	// everything but the content of the body.
	scopeBytes = 8
	// digestBytes is the size of the second part, a cryptographic hash of the whole
	// request. A caller can't choose one that equals that of another's request.
	digestBytes = 16
	// FingerprintBytes is the size of a fingerprint.
	FingerprintBytes = scopeBytes + digestBytes
)

// Fingerprint identifies the requests that are the same to a backend server, whoever
// sends them.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Key identifies the requests that are the same and come from the same caller.
type Key struct {
	Fingerprint Fingerprint
	// Caller is a hash of the caller's service.
	Caller uint64
}

// Identity is what distinguishes one request from another. Headers other than the
// caller are left out, since most differ at each repetition.
type Identity struct {
	// Caller is the service that sends the request, as the system states it to the
	// backend server; empty if it is not known.
	Caller string
	Method string
	// Host is empty where it is irrelevant.
	Host string
	// Target holds the path and the query, as octets.
	Target string
	Body   []byte
	// Stated describes the body where it is not at hand; nil if Body is the body.
	Stated *StatedBody
}

// StatedBody is what the sender of a request states of its body.
type StatedBody struct {
	Length uint64
	// Digest is the SHA-256 of the body.
	Digest [sha256.Size]byte
}

// StateBody returns the description of a body.
func StateBody(body []byte) *StatedBody {
	return &StatedBody{Length: uint64(len(body)), Digest: sha256.Sum256(body)}
}

// stated returns the description of the body.
func (i Identity) stated() StatedBody {
	if i.Stated != nil {
		return *i.Stated
	}
	return *StateBody(i.Body)
}

func (i Identity) bodyLength() uint64 {
	if i.Stated != nil {
		return i.Stated.Length
	}
	return uint64(len(i.Body))
}

// Key returns the key of the request.
func (i Identity) Key() Key {
	return Key{Fingerprint: i.Fingerprint(), Caller: xxhash.Sum64String(i.Caller)}
}

// Fingerprint returns the fingerprint of the request.
func (i Identity) Fingerprint() Fingerprint {
	var f Fingerprint
	scope := i.scope()
	copy(f[:], scope[:])
	digest := sha256.New()
	for _, text := range i.texts() {
		writeField(digest, []byte(text))
	}
	body := i.stated().Digest
	writeField(digest, body[:])
	copy(f[scopeBytes:], digest.Sum(nil))
	return f
}

// scope returns the first part of the fingerprint.
func (i Identity) scope() [scopeBytes]byte {
	digest := xxhash.New()
	for _, text := range i.texts() {
		writeField(digest, []byte(text))
	}
	var scope [scopeBytes]byte
	binary.BigEndian.PutUint64(scope[:], digest.Sum64()^i.bodyLength())
	return scope
}

func (i Identity) texts() [3]string { return [3]string{i.Method, i.Host, i.Target} }

// writeField writes a field after its length, so that no two lists of fields are
// written alike. Writing to a hash never fails.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(field)
}
