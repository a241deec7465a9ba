package resolver

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason says why an outcome is what it is. Operators look it up in
// docs/OPERATIONS.md.
type Reason int

// The reasons. Values are part of the protocol between nodes: add at the end.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull: the queue at the upstream was full and the request was
	// the least important one in it.
	ReasonQueueFull
	// ReasonQueueTimeout: the request waited in the queue longer than allowed.
	ReasonQueueTimeout
	// ReasonLevelBelow: the request's priority is below the gate's admission level.
	ReasonLevelBelow
	// ReasonLevelBelowDownstream: a service further down the call tree would refuse it.
	ReasonLevelBelowDownstream
	// ReasonDeadlineExceeded: no time was left.
	ReasonDeadlineExceeded
	// ReasonDraining: the upstream takes no new work.
	ReasonDraining
	// ReasonBackendRefused: the backend server refused without running it.
	ReasonBackendRefused
	// ReasonBackendUnreachable: no connection to the backend server could be opened.
	ReasonBackendUnreachable
	// ReasonBackendLost: the connection to the backend server broke after sending.
	ReasonBackendLost
	// ReasonNoUpstream: no upstream of the service is known or usable.
	ReasonNoUpstream
	// ReasonNoLink: no link to the upstream's node could be opened.
	ReasonNoLink
	// ReasonLinkLost: the link broke after sending and the gate could not be asked.
	ReasonLinkLost
	// ReasonWrongIncarnation: the target node was replaced.
	ReasonWrongIncarnation
	// ReasonVoided: the gate confirmed that the request never will run.
	ReasonVoided
	// ReasonSettled: the gate no longer holds a record of the request.
	ReasonSettled
	// ReasonTicketRequired: the kind needs a ticket and the request had none.
	ReasonTicketRequired
	// ReasonTicketExpired: the ticket is past its lifetime.
	ReasonTicketExpired
	// ReasonTicketForeign: the ticket's home is gone or another incarnation.
	ReasonTicketForeign
	// ReasonUnknownService: the release in force has no such service.
	ReasonUnknownService
	// ReasonUnknownKind: no kind of the service matches the request.
	ReasonUnknownKind
	// ReasonBadRequest: a header or the ticket can't be parsed.
	ReasonBadRequest
	// ReasonBodyTooLarge: the body is over the limit.
	ReasonBodyTooLarge
	// ReasonBufferFull: the node's buffer for request bodies is full.
	ReasonBufferFull
	// ReasonCancelled: the caller went away.
	ReasonCancelled
	// ReasonBroken: the answer broke off or failed its check.
	ReasonBroken
	// ReasonNotReady: the node has no release in force yet.
	ReasonNotReady
	// ReasonInstanceReplaced: another instance has the address of the upstream.
	ReasonInstanceReplaced
	// ReasonNoRetryLeft: the service's retries of the present window are used up.
	ReasonNoRetryLeft
)

// BeforeBackend tells whether a refusal for the reason shows that the attempt
// ended before the backend server saw it, so that another upstream may take the
// request without a retry being counted.
func (r Reason) BeforeBackend() bool {
	switch r {
	case ReasonQueueFull, ReasonDraining, ReasonBackendUnreachable, ReasonNoLink, ReasonVoided, ReasonWrongIncarnation:
		return true
	default:
		return false
	}
}

// Overloaded tells whether the reason says that the service has too much work.
// Such a refusal is never retried, since a retry adds load where there is too
// much already.
func (r Reason) Overloaded() bool {
	switch r {
	case ReasonQueueFull, ReasonQueueTimeout, ReasonLevelBelow, ReasonLevelBelowDownstream, ReasonBufferFull:
		return true
	default:
		return false
	}
}
