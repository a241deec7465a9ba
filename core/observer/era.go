package observer

import (
	"github.com/cockroachdb/errors"

	"crocustack/core/connector"
)

var (
	// ErrRestored means that the response to a watch is from a later era of the
	// store than the position of the watch. Its revisions stand for other changes,
	// so the state must be listed again.
	ErrRestored = errors.New("the store was restored from a copy since it was read")
	// ErrEarlierEra means that a response is from an era of the store that has
	// ended.
	ErrEarlierEra = errors.New("response of the store is from before it was restored")
)

// CheckEra returns an error if a response at a position can't be applied after
// the state that was read up to another position. watched is true for the response
// to a watch, false for a list.
func CheckEra(read, response connector.Position, watched bool) error {
	switch {
	case response.Era < read.Era:
		return ErrEarlierEra
	case response.Era > read.Era && watched:
		return ErrRestored
	}
	return nil
}
