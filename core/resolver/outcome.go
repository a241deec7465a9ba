package resolver

// Outcome is what is known about a try or a request: NotRun, Ran or Unknown.
//
//sumtype:decl
type Outcome interface{ outcome() }

// NotRun is a proof that the request was not run and never will be.
type NotRun struct {
	Reason Reason
}

// Ran says that the backend server ran the request and answered.
type Ran struct {
	// Status is the HTTP status of the backend server.
	Status int
}

// Unknown says that the request may or may not have run.
type Unknown struct {
	Reason Reason
}

func (NotRun) outcome()  {}
func (Ran) outcome()     {}
func (Unknown) outcome() {}
