package informer

import (
	"fmt"
	"time"

	"crocustack/core/releaser"
)

// Digest is a 64-bit digest, written as 16 hexadecimal digits. A JSON number
// would lose bits in readers that hold numbers as floating point.
type Digest uint64

// String returns 16 hexadecimal digits.
func (d Digest) String() string { return releaser.FormatDigest(uint64(d)) }

// MarshalText writes 16 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads what MarshalText writes.
func (d *Digest) UnmarshalText(b []byte) error {
	v, ok := releaser.ParseDigest(string(b))
	if !ok {
		return fmt.Errorf("digest %q is not 16 hexadecimal digits", b)
	}
	*d = Digest(v)
	return nil
}

// Stamp names one release note.
type Stamp struct {
	Number uint64
	Digest Digest
}

// Status is the reply of GET /status.
type Status struct {
	Service string
	// Address is the link address.
	Address string
	BootID  Digest
	Domain  string
	Region  string
	// Started and Since are wall clock times of the node, for display.
	Started time.Time
	// Note is the highest stamp in the catalogue, in force since Since.
	Note  Stamp
	Since time.Time
	// Catalogue is the digest of all items in force. Nodes with equal digests
	// hold the same release.
	Catalogue Digest
	// Concurrent holds other notes with the number of Note.
	Concurrent []Stamp `json:",omitempty"`
	// Missing holds predecessors that were named by a note and are not known.
	Missing  []Stamp `json:",omitempty"`
	Draining bool
	// Reader is true while the node keeps watches on the platform.
	Reader    bool
	Upstreams []Upstream `json:",omitempty"`
	Limits    Limits
}

// Upstream is one upstream that the node routes to.
type Upstream struct {
	Service, Address, Domain string
	Leaving                  bool
	InFlight                 int
}

// Limits is the reply of GET /limits and a part of Status.
type Limits struct {
	Slots    int
	Limit    int
	InFlight int
	Queued   int
	// Level is the admission level of the gate, 0 to 512.
	Level uint32
	// Levels holds the levels learned from responses that are above 0.
	Levels []Level `json:",omitempty"`
}

// Level is the effective admission level of one kind of a called service.
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
	// BytesRead and BytesWritten count the payload of the TCP connection since
	// Opened, handshake included.
	BytesRead, BytesWritten int64
}
