package resolver

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason is the cause of an outcome. The reasons are explained to operators in
// docs/OPERATIONS.md.
type Reason int

// The reasons. The values are part of the protocol between nodes, so new reasons
// must be added at the end.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull: the queue at the upstream was full and the request had the
	// lowest priority in it.
	ReasonQueueFull
	// ReasonQueueTimeout: the request exceeded the maximum queue time.
	ReasonQueueTimeout
	// ReasonLevelBelow: the request's priority is below the gate's admission level.
	ReasonLevelBelow
	// ReasonLevelBelowDownstream: the request's priority is below the admission
	// level of a service further down the call tree.
	ReasonLevelBelowDownstream
	// ReasonDeadlineExceeded: the deadline of the request has passed.
	ReasonDeadlineExceeded
	// ReasonDraining: the upstream is draining and accepts no new work.
	ReasonDraining
	// ReasonBackendRefused: the backend server refused the request without
	// running it.
	ReasonBackendRefused
	// ReasonBackendUnreachable: no connection to the backend server could be opened.
	ReasonBackendUnreachable
	// ReasonBackendLost: the connection to the backend server broke after the
	// request was sent.
	ReasonBackendLost
	// ReasonNoUpstream: no upstream of the service is known or usable.
	ReasonNoUpstream
	// ReasonNoLink: no link to the upstream's node could be opened.
	ReasonNoLink
	// ReasonLinkLost: the link broke after the request was sent, and the gate
	// could not be asked for the outcome.
	ReasonLinkLost
	// ReasonWrongIncarnation: the target node was replaced by another incarnation.
	ReasonWrongIncarnation
	// ReasonVoided: the gate confirmed that the request will never run.
	ReasonVoided
	// ReasonSettled: the gate no longer holds a record of the request.
	ReasonSettled
	// ReasonTicketRequired: the kind needs a ticket and the request had none.
	ReasonTicketRequired
	// ReasonTicketExpired: the lifetime of the ticket is over.
	ReasonTicketExpired
	// ReasonTicketForeign: the incarnation that issued the ticket is gone or is
	// not the one that received it.
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
	// ReasonCancelled: the caller cancelled the request or disconnected.
	ReasonCancelled
	// ReasonBroken: the answer was incomplete or failed its integrity check.
	ReasonBroken
	// ReasonNotReady: the node has no release in force yet.
	ReasonNotReady
	// ReasonInstanceReplaced: another instance now has the address of the upstream.
	ReasonInstanceReplaced
	// ReasonNoRetryLeft: the retries of the service for the current window are
	// used up.
	ReasonNoRetryLeft
	// ReasonRateLimited: the backend server accepts no more requests at present by
	// the rate limit that it states.
	ReasonRateLimited
	// ReasonQuarantined: backend servers end whenever they run the request.
	ReasonQuarantined
	// ReasonOnProbation: backend servers have ended while running the request. It is
	// run on one server at a time until it is clear whether it is the cause, and a
	// run was under way.
	ReasonOnProbation
	// ReasonNotChosenForTrial: the request is on probation, and the sender did not
	// know that.
	ReasonNotChosenForTrial
	// ReasonTrialUnderWay: the backend server runs a request on probation, alone.
	ReasonTrialUnderWay
	// ReasonUnknownKey: the request has no key of an organisation, or one that the
	// configuration doesn't have.
	ReasonUnknownKey
	// ReasonKeysUnproven: the node has not seen for too long that its configuration,
	// and with it the list of keys, is the newest one.
	ReasonKeysUnproven
	// ReasonOrganisationLimited: the organisation has reached its rate limit.
	ReasonOrganisationLimited
)

// BeforeBackend reports whether a refusal for the reason proves that the attempt
// ended before the backend server saw it. Another upstream may then be tried
// without counting a retry.
func (r Reason) BeforeBackend() bool {
	switch r {
	case ReasonQueueFull, ReasonRateLimited, ReasonDraining, ReasonBackendUnreachable, ReasonNoLink, ReasonVoided, ReasonWrongIncarnation,
		ReasonNotChosenForTrial, ReasonTrialUnderWay:
		return true
	default:
		return false
	}
}

// Overloaded reports whether the reason indicates that the service is
// overloaded. Such a refusal is never retried, since a retry would add to the
// overload.
func (r Reason) Overloaded() bool {
	switch r {
	case ReasonQueueFull, ReasonQueueTimeout, ReasonLevelBelow, ReasonLevelBelowDownstream, ReasonBufferFull, ReasonRateLimited:
		return true
	default:
		return false
	}
}
