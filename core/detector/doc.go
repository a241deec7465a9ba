// Package detector decides from monotonic times whether this process was
// paused and whether a link has gone silent.
//
// Pause owns the times of the last tick and of the end of the last pause.
// Silence owns the times of the last read and of the probe of one link. The
// package starts no timer, sends no probe and closes no link.
package detector
