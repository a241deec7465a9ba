package authenticator

import (
	"crypto/sha256"
	"slices"

	"github.com/cockroachdb/errors"

	"crocustack/core/connector"
)

// Directory maps keys to organisations. It is immutable.
type Directory struct {
	// byKey holds the organisations by the hash of each of their keys.
	byKey  map[connector.KeyHash]*connector.Organisation
	byName map[string]*connector.Organisation
	// usualRank is the rank of most organisations.
	usualRank int
}

// NewDirectory returns the directory of the organisations of a configuration. It
// returns an error for two organisations with one name or one key, for a rate or burst
// below 0 and for a name that can't stand in a header.
func NewDirectory(organisations []connector.Organisation) (*Directory, error) {
	d := &Directory{
		byKey:  make(map[connector.KeyHash]*connector.Organisation, 2*len(organisations)),
		byName: make(map[string]*connector.Organisation, len(organisations)),
	}
	ranks := make(map[int]int)
	for i := range organisations {
		o := &organisations[i]
		switch {
		case o.Name == "" || !printable(o.Name):
			return nil, errors.Newf("organisation %q: the name must be of printable ASCII characters", o.Name)
		case o.RatePerSecond < 0 || o.Burst < 0:
			return nil, errors.Newf("organisation %s: rate %g and burst %g must be at least 0", o.Name, o.RatePerSecond, o.Burst)
		case d.byName[o.Name] != nil:
			return nil, errors.Newf("organisation %s is listed twice", o.Name)
		}
		d.byName[o.Name] = o
		for _, k := range o.Keys {
			if other := d.byKey[k]; other != nil && other != o {
				return nil, errors.Newf("organisations %s and %s have a key in common", other.Name, o.Name)
			}
			d.byKey[k] = o
		}
		if o.Ranked {
			ranks[o.Rank]++
		}
	}
	d.usualRank = mostFrequent(ranks)
	return d, nil
}

func printable(name string) bool {
	return !slices.ContainsFunc([]byte(name), func(b byte) bool { return b <= ' ' || b >= 0x7f })
}

// mostFrequent returns the rank with the highest count, the lowest of several.
func mostFrequent(ranks map[int]int) int {
	usual, most := 0, 0
	for rank, n := range ranks {
		if n > most || n == most && rank < usual {
			usual, most = rank, n
		}
	}
	return usual
}

// HashKey returns the hash under which a key is looked up.
func HashKey(key string) connector.KeyHash { return sha256.Sum256([]byte(key)) }

// Find returns the organisation that holds a key, or nil.
func (d *Directory) Find(key string) *connector.Organisation {
	if key == "" {
		return nil
	}
	return d.byKey[HashKey(key)]
}

// Named returns the organisation with a name, or nil.
func (d *Directory) Named(name string) *connector.Organisation { return d.byName[name] }

// Len returns the number of organisations.
func (d *Directory) Len() int { return len(d.byName) }

// Standing is the rank of an organisation beside that of the others.
type Standing int

//go:generate stringer -type=Standing -trimprefix=Standing

// The standings.
const (
	StandingUsual Standing = iota // The rank of most organisations, or none.
	StandingAbove                 // A more important rank than most have.
	StandingBelow                 // A less important one.
)

// Standing returns the standing of an organisation.
func (d *Directory) Standing(o *connector.Organisation) Standing {
	switch {
	case o == nil || !o.Ranked || o.Rank == d.usualRank:
		return StandingUsual
	case o.Rank < d.usualRank:
		return StandingAbove
	default:
		return StandingBelow
	}
}
