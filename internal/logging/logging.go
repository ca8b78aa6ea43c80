// Package logging creates the daemon's structured loggers. They write JSON lines whose
// messages begin with the name of a part, and sample repeated messages so that a fault
// cannot flood the log.
package logging

import (
	"os"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling of repeated lines: in each samplingTick the first samplingFirst lines with the
// same message are written, and then one in samplingThereafter.
const (
	samplingTick       = time.Second
	samplingFirst      = 20
	samplingThereafter = 100
	// stdoutSamplingFirst is larger than samplingFirst, because the lines of single tasks
	// are needed to find the cause of a failed job.
	stdoutSamplingFirst = 200
)

// New returns a logger that writes to standard error at the given level: debug,
// info, warn or error.
func New(level string) (*zap.Logger, error) {
	sink, _, err := zap.Open("stderr")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newLogger(level, sink, samplingFirst)
}

// NewStdout returns a logger that writes to standard output at the given level. Logging
// never blocks; dropped returns the number of lines that did not fit into the queue.
func NewStdout(level string) (l *zap.Logger, dropped func() int64, err error) {
	w := newAsyncWriter(os.Stdout)
	l, err = newLogger(level, w, stdoutSamplingFirst)
	return l, w.dropped.Load, err
}

func newLogger(level string, sink zapcore.WriteSyncer, first int) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, trace.BadParameter("invalid log level %q: %v", level, err)
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), sink, minLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, samplingTick, first, samplingThereafter)), nil
}

// WithPart returns a logger whose messages begin with the name of the part and ": ".
func WithPart(l *zap.Logger, part string) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return &prefixCore{Core: c, prefix: part + ": "}
	}))
}

// prefixCore is a core that adds a prefix to each message.
type prefixCore struct {
	zapcore.Core
	prefix string
}

// With implements zapcore.Core.
func (p *prefixCore) With(fields []zapcore.Field) zapcore.Core {
	return &prefixCore{Core: p.Core.With(fields), prefix: p.prefix}
}

// Check implements zapcore.Core. It delegates to the wrapped core, so that sampling and
// levels apply to the prefixed message.
func (p *prefixCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	e.Message = p.prefix + e.Message
	return p.Core.Check(e, ce)
}
