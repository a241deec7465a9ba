package admitter

import "crocustack/core/resolver"

// Decision is the decision about one request: Admit, Queue or Shed. A queued
// request later gets exactly one Admit or Shed, possibly returned by a call
// about another request.
//
//sumtype:decl
type Decision interface{ decision() }

// Admit passes the request to the backend server. It must be followed by
// Release.
type Admit struct {
	ID uint64
}

// Queue keeps the request waiting for a later decision.
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
