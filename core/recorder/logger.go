package recorder

import (
	"fmt"
	"io"
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

// NewLogger returns the log of a program and the log for New. Both write to w.
// The level applies to the first one only. The second one writes every
// decision, or none when decisions is false.
func NewLogger(w io.Writer, level, format string, decisions bool) (program, decisionLog logr.Logger, err error) {
	lvl, ok := levels[level]
	if !ok {
		return logr.Logger{}, logr.Logger{}, fmt.Errorf("unknown log level %q, want one of %v", level, Levels)
	}
	setDefaults()
	switch format {
	case "JSON":
	case "Console":
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339Nano}
	default:
		return logr.Logger{}, logr.Logger{}, fmt.Errorf("unknown log format %q, want one of %v", format, Formats)
	}
	base := zerolog.New(zerolog.SyncWriter(w)).With().Timestamp().Logger()
	leveled := base.Level(lvl)
	program = zerologr.New(&leveled)
	decisionLog = logr.Discard()
	if decisions {
		info := base.Level(zerolog.InfoLevel)
		decisionLog = zerologr.New(&info)
	}
	return program, decisionLog, nil
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
