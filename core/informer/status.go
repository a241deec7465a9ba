package informer

import (
	"fmt"
	"time"

	"crocustack/core/releaser"
)

// Digest is a 64-bit digest, encoded as 16 hexadecimal digits. As a JSON number
// it would lose precision in clients that decode numbers as floating point.
type Digest uint64

// String returns 16 hexadecimal digits.
func (d Digest) String() string { return releaser.FormatDigest(uint64(d)) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(b []byte) error {
	v, ok := releaser.ParseDigest(string(b))
	if !ok {
		return fmt.Errorf("digest %q is not 16 hexadecimal digits", b)
	}
	*d = Digest(v)
	return nil
}

// Stamp identifies a release note.
type Stamp struct {
	Number uint64
	Digest Digest
}

// Status is the reply of GET /status.
type Status struct {
	Service string
	// Address is the address at which the node accepts links.
	Address string
	BootID  Digest
	Domain  string
	Region  string
	// Started and Since are wall clock times of the node, for display.
	Started time.Time
	// Note is the highest stamp in the catalogue, applied at Since.
	Note  Stamp
	Since time.Time
	// Catalogue is the digest of all active release items. Nodes with equal
	// digests hold the same release.
	Catalogue Digest
	// Concurrent holds the other notes that have the same number as Note.
	Concurrent []Stamp `json:",omitempty"`
	// Missing holds the predecessors that a note refers to and that the node
	// does not have.
	Missing  []Stamp `json:",omitempty"`
	Draining bool
	// Reader is true while the node watches the store of the platform for its
	// failure domain.
	Reader    bool
	Upstreams []Upstream `json:",omitempty"`
	Limits    Limits
}

// Upstream is an instance that the node routes requests to.
type Upstream struct {
	Service, Address, Domain string
	Leaving                  bool
	InFlight                 int
}

// Limits is the reply of GET /limits and part of Status.
type Limits struct {
	Slots    int
	Limit    int
	InFlight int
	Queued   int
	// Level is the admission level of the gate, 0 to 512.
	Level uint32
	// RateLimit is the rate limit that the backend server states, in requests a
	// second, or 0 for none. RateLoad is the rate of arrivals as a fraction of it.
	RateLimit float64 `json:",omitempty"`
	RateLoad  float64 `json:",omitempty"`
	// Levels holds the admission levels above 0 that called services reported
	// in their responses.
	Levels []Level `json:",omitempty"`
}

// Level is the effective admission level of one request kind of a called
// service.
type Level struct {
	Service, Kind string
	Level         uint32
}

// Link is one element of the reply of GET /links.
type Link struct {
	Address, Service, Domain string
	BootID                   Digest
	Streams                  int
	Opened                   time.Time
	Draining                 bool
	// BytesRead and BytesWritten count the payload bytes of the TCP connection
	// since Opened, including the handshake.
	BytesRead, BytesWritten int64
}
