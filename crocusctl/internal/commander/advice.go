package commander

import (
	"fmt"
	"strings"

	"crocustack/core/recorder"
	"crocustack/core/resolver"
)

// Advice describes what a reason means and what an operator can do.
type Advice struct {
	Reason string
	// Outcomes lists the outcomes that the reason can occur with.
	Outcomes string
	// Status is the HTTP status that the caller gets.
	Status  string
	Meaning string
	Action  string
}

const (
	notRun  = "NotRun"
	unknown = "Unknown"
	either  = "NotRun, Unknown"
)

// advice holds the text for each reason. docs/OPERATIONS.md is generated from
// it.
var advice = map[resolver.Reason]Advice{
	resolver.ReasonNone: {"", "Ran", "of the backend server",
		"The decision needs no reason.", "Nothing."},
	resolver.ReasonQueueFull: {"", notRun, "503",
		"The queue at the upstream was full and this request was the least important in it.", "Add instances or reduce load; compare Limit with Slots in `crocusctl top`."},
	resolver.ReasonQueueTimeout: {"", notRun, "503",
		"The request waited in the queue longer than QueueTime of the service.", "As for QueueFull; look for a slow service further down."},
	resolver.ReasonLevelBelow: {"", notRun, "503",
		"The priority of the request is below the admission level of the gate.", "Nothing if the class may be shed; otherwise add instances or correct the class of the kind."},
	resolver.ReasonLevelBelowDownstream: {"", notRun, "503",
		"A service further down the call tree would refuse the request.", "Find the service with a level above 0 in `crocusctl top` and treat that one."},
	resolver.ReasonDeadlineExceeded: {"", either, "503, 504",
		"No time was left for the request.", "Look for a slow service; check Crocus-Timeout-Ms and the Timeout of the kind."},
	resolver.ReasonDraining: {"", notRun, "503, 428",
		"The upstream takes no new work.", "With 428, the caller repeats the request with the Crocus-Ticket of the response. Nothing during a planned stop; otherwise see the runbook for a stuck drain."},
	resolver.ReasonBackendRefused: {"", notRun, "503",
		"The backend server refused the request without running it.", "Look at the log of the backend server; it may be starting or draining."},
	resolver.ReasonBackendUnreachable: {"", notRun, "503",
		"No connection to the backend server could be opened.", "Check that the backend server runs and that Backend.URL is right."},
	resolver.ReasonBackendLost: {"", unknown, "504",
		"The connection to the backend server broke after the request was sent.", "Look for a crash of the backend server, or for a response that is none in HTTP/1.1; check by hand whether the work was done."},
	resolver.ReasonNoUpstream: {"", notRun, "503",
		"No upstream of the service is known or usable.", "Check the instance lists of the platform and which instances are leaving."},
	resolver.ReasonNoLink: {"", notRun, "503, 428",
		"No link to the node of the upstream could be opened.", "Check that the node runs and that its link address is reachable."},
	resolver.ReasonLinkLost: {"", unknown, "504",
		"The link broke after the request was sent and the gate could not be asked.", "Look for a partition or a crash; repeat with the ticket, if there is one."},
	resolver.ReasonWrongIncarnation: {"", either, "503, 504",
		"The target node was replaced by another incarnation.", "Nothing after a restart; if it goes on, look for a node that restarts again and again."},
	resolver.ReasonVoided: {"", notRun, "503",
		"The gate confirmed that the request never will run.", "Nothing; the caller can repeat it."},
	resolver.ReasonSettled: {"", unknown, "504",
		"The gate no longer holds a record of the request.", "If it happens often, raise Limits.MaxRecords."},
	resolver.ReasonTicketRequired: {"", notRun, "428",
		"The kind needs a ticket and the request had none.", "The caller repeats the request with the Crocus-Ticket of the response."},
	resolver.ReasonTicketExpired: {"", either, "503, 428, 504",
		"The ticket is past its lifetime.", "With 428, the caller repeats the request with the Crocus-Ticket of the response; with 504, once it knows that the old one did not run."},
	resolver.ReasonTicketForeign: {"", either, "503, 428, 504",
		"The incarnation that minted the ticket is gone, or the ticket is of another one.", "Check by hand whether the work was done before repeating it with a new ticket."},
	resolver.ReasonUnknownService: {"", notRun, "404",
		"The release in force has no such service.", "Check the URL and `crocusctl status`; add the service in a note."},
	resolver.ReasonUnknownKind: {"", notRun, "404",
		"No kind of the service matches method and path.", "Check the request; add the kind in a note."},
	resolver.ReasonBadRequest: {"", notRun, "400",
		"A header or the ticket can't be parsed.", "Correct the caller."},
	resolver.ReasonBodyTooLarge: {"", notRun, "413",
		"The body is larger than Limits.MaxBodyBytes.", "Send less, or raise the limit."},
	resolver.ReasonBufferFull: {"", notRun, "503",
		"The node holds Limits.BufferBytes of request bodies.", "Shed or spread uploads; raise the limit if memory allows."},
	resolver.ReasonCancelled: {"", either, "none",
		"The caller went away.", "Nothing; if it happens often, compare the callers' time-outs with the latency."},
	resolver.ReasonBroken: {"", unknown, "504",
		"The answer broke off or failed its check.", "Look for a crash or a partition; repeat with the ticket, if there is one."},
	resolver.ReasonNotReady: {"", notRun, "503",
		"The node has no release in force yet.", "See the runbook for a platform outage if it lasts longer than a few seconds."},
	resolver.ReasonInstanceReplaced: {"", notRun, "503",
		"Another backend server has the address of the upstream.", "Nothing; the next list of members corrects it."},
	resolver.ReasonNoRetryLeft: {"", notRun, "503",
		"An earlier try was refused or lost, and the service's retries of the present window are used up.", "Look for the backend servers that refuse or lose requests."},
	resolver.ReasonQuarantined: {"", notRun, "503 without Retry-After",
		"Backend servers end whenever they run this request; it is not run again.", "Look for the `End` lines with the fingerprint of the request and correct the backend server; the request is forgotten when all nodes have been restarted at the same time."},
	resolver.ReasonOnProbation: {"", notRun, "503",
		"Backend servers ended while running this request. It is run on one server at a time until it is clear whether it is the cause.", "Nothing; the caller can repeat it. If it goes on, look for the `End` lines of the request."},
	resolver.ReasonNotChosenForTrial: {"", notRun, "503",
		"The request is on probation, and the sender, which did not know, chose another server than the one for the trial.", "Nothing; the sender tries the right one at once."},
	resolver.ReasonTrialUnderWay: {"", notRun, "503",
		"The backend server runs a request on probation, alone, and the sender tries another one.", "Nothing; see the `Trial` lines of the node."},
	resolver.ReasonUnknownKey: {"", notRun, "401",
		"The request has no key of an organisation, or one that the configuration doesn't have.", "Check the caller's key; see the version of the configuration in `crocusctl status`."},
	resolver.ReasonKeysUnproven: {"", notRun, "503",
		"The node has not seen for too long that its list of keys is the newest one, or a call names no running request.", "Look for `store lost` in the log of the node; it accepts keys again once it reaches the store."},
	resolver.ReasonOrganisationLimited: {"", notRun, "429",
		"The organisation has reached its rate limit over all nodes.", "Raise the limit in the configuration, or let the caller send less; see the counters `Organisation.*`."},
	resolver.ReasonRateLimited: {"", notRun, "503",
		"The backend server accepts no more requests at present by the rate limit that it states, and no other one was free.", "See the `State` lines of its node for the limit; find out why the server needs one."},
}

// AdviceFor returns the text for a reason. For an unknown reason, as sent by a
// newer node, only the name is set.
func AdviceFor(r resolver.Reason) Advice {
	a := advice[r]
	a.Reason = r.String()
	return a
}

// ReasonsMarkdown returns the table of reasons for docs/OPERATIONS.md.
func ReasonsMarkdown() string {
	var b strings.Builder
	b.WriteString("| reason | outcome | status | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, r := range recorder.Reasons() {
		a := AdviceFor(r)
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", a.Reason, a.Outcomes, a.Status, a.Meaning, a.Action)
	}
	return b.String()
}
