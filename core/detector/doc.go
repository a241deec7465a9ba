// Package detector detects pauses of this process, links that have gone silent
// and messages that were delayed in transit. All decisions are computed from
// times that the caller passes in.
//
// PauseDetector tracks the last tick and the end of the last pause. LinkMonitor
// tracks the last read and the probe of one link. LatenessEstimator estimates
// the delay of the messages of one peer. The package starts no timer, sends no
// probe and closes no link.
package detector
