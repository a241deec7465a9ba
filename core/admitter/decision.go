package admitter

import "crocustack/core/resolver"

// Decision is what happens to one request: Admit, Queue or Shed. A request that
// was queued gets exactly one Admit or Shed later, possibly in the answer to a
// call about another request.
//
//sumtype:decl
type Decision interface{ decision() }

// Admit passes the request to the backend server. It must be followed by
// Release.
type Admit struct {
	ID uint64
}

// Queue makes the request wait for a later decision.
type Queue struct {
	ID uint64
}

// Shed rejects the request without running it.
type Shed struct {
	ID     uint64
	Reason resolver.Reason
}

func (Admit) decision() {}
func (Queue) decision() {}
func (Shed) decision()  {}
