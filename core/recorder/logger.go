package recorder

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"
)

// Levels and Formats hold the names that NewLogger accepts.
var (
	Levels  = []string{"Error", "Info", "Debug"}
	Formats = []string{"JSON", "Console"}
)

// Level 0 of logr is Info, level 1 is Debug.
var levels = map[string]zerolog.Level{
	"Error": zerolog.ErrorLevel,
	"Info":  zerolog.InfoLevel,
	"Debug": zerolog.DebugLevel,
}

// The defaults of the libraries are package variables. Times get fractions of
// a second, since decisions of one request are less than a second apart. The
// numeric logr level is left out, since the line has the level's name.
var setDefaults = sync.OnceFunc(func() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerologr.VerbosityFieldName = ""
})

// NewLogger returns the log of a program, written to w, and the log for New,
// written to decisionsTo. The level applies to the first one only. The second
// one writes every decision, or none when decisions is false.
func NewLogger(w, decisionsTo io.Writer, level, format string, decisions bool) (program, decisionLog logr.Logger, err error) {
	lvl, ok := levels[level]
	if !ok {
		return logr.Logger{}, logr.Logger{}, fmt.Errorf("unknown log level %q, want one of %v", level, Levels)
	}
	if !slices.Contains(Formats, format) {
		return logr.Logger{}, logr.Logger{}, fmt.Errorf("unknown log format %q, want one of %v", format, Formats)
	}
	setDefaults()
	program = newLog(w, format, lvl)
	decisionLog = logr.Discard()
	if decisions {
		decisionLog = newLog(decisionsTo, format, zerolog.InfoLevel)
	}
	return program, decisionLog, nil
}

func newLog(w io.Writer, format string, level zerolog.Level) logr.Logger {
	if format == "Console" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339Nano}
	}
	l := zerolog.New(zerolog.SyncWriter(w)).With().Timestamp().Logger().Level(level)
	return zerologr.New(&l)
}

// LineFields holds the names of the fields of a decision line in their order.
var LineFields = []string{
	"Decision", "Request", "Service", "Kind", "Class",
	"Upstream", "Outcome", "Reason", "TookMicros", "Detail",
}

// writeLine logs one decision. Every line has the same fields in the same
// order, so that a log can be read by column.
func writeLine(log logr.Logger, d *Decision) {
	log.Info("decision",
		"Decision", d.Kind.String(),
		"Request", d.RequestID,
		"Service", d.Service,
		"Kind", d.KindName,
		"Class", d.Class.String(),
		"Upstream", d.Upstream,
		"Outcome", OutcomeName(d.Outcome),
		"Reason", d.Reason.String(),
		"TookMicros", d.Took.Microseconds(),
		"Detail", d.Detail,
	)
}
