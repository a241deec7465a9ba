package recorder

import (
	"io"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"crocustack/core/classifier"
	"crocustack/core/resolver"
)

var sample = Decision{
	Time: time.Unix(1700000000, 0), Kind: KindShed, RequestID: "4bf92f3577b34da6",
	Service: "numerator", KindName: "numerator.issue", Class: classifier.ClassCritical,
	Upstream: "10.0.1.7:7100", Outcome: resolver.NotRun{Reason: resolver.ReasonQueueFull},
	Reason: resolver.ReasonQueueFull, Took: 1234 * time.Microsecond, Detail: "limit 20",
}

// BenchmarkLine compares two logging libraries with the same fields, encoded as
// JSON and written to io.Discard.
func BenchmarkLine(b *testing.B) {
	zc := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel)
	zl := zerolog.New(io.Discard).With().Timestamp().Logger()
	for name, log := range map[string]logr.Logger{
		"zapr":     zapr.NewLogger(zap.New(zc)),
		"zerologr": zerologr.New(&zl),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				writeLine(log, &sample)
			}
		})
	}
}
