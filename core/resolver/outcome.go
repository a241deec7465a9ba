package resolver

// Outcome is what is known about the execution of an attempt or a request:
// NotRun, Ran or Unknown.
//
//sumtype:decl
type Outcome interface{ outcome() }

// NotRun means that the request provably was not run and never will be.
type NotRun struct {
	Reason Reason
}

// Ran means that the backend server ran the request and answered.
type Ran struct {
	// Status is the HTTP status that the backend server returned.
	Status int
}

// Unknown means that the outcome is indeterminate: the request may or may not
// have run.
type Unknown struct {
	Reason Reason
}

func (NotRun) outcome()  {}
func (Ran) outcome()     {}
func (Unknown) outcome() {}
