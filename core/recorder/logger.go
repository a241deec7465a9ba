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

// Levels and Formats list the names that NewLogger accepts.
var (
	Levels  = []string{"Error", "Info", "Debug"}
	Formats = []string{"JSON", "Console"}
)

// levels maps level names to zerolog levels. In logr, V-level 0 is Info and
// V-level 1 is Debug.
var levels = map[string]zerolog.Level{
	"Error": zerolog.ErrorLevel,
	"Info":  zerolog.InfoLevel,
	"Debug": zerolog.DebugLevel,
}

// setDefaults sets the package variables that hold the defaults of the logging
// libraries. Timestamps include fractional seconds because the decisions of one
// request are less than a second apart. The numeric logr level is omitted
// because each line already contains the level name.
var setDefaults = sync.OnceFunc(func() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerologr.VerbosityFieldName = ""
})

// NewLogger returns the program log, which writes to w, and the decision log to
// pass to New, which writes to decisionsTo. The level applies to the program log
// only. The decision log writes every line, or none if decisions is false.
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

// LineFields lists the field names of a decision line, in order.
var LineFields = []string{
	"Decision", "Request", "Service", "Kind", "Class",
	"Upstream", "Outcome", "Reason", "TookMicros", "Detail",
}

// writeLine logs one decision. Every line has the same fields in the same
// order, so that logs can be processed by column.
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
