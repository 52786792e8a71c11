// Package obs sets up logs and metrics of a process.
package obs

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling of lines with the same level and message: the first ones of a second are
// written, then one in each group. A failing upstream would otherwise fill the log with
// one line for each request.
const (
	sampleInterval = time.Second
	sampleFirst    = 100
	sampleGroup    = 100
)

// DefaultLevel is the log level of a logger that sets none.
const DefaultLevel = "info"

type logOptions struct {
	level   string
	zone    string
	out     io.Writer
	dropped prometheus.Counter
	clock   zapcore.Clock
	whole   bool
}

// LogOption changes a logger.
type LogOption func(*logOptions)

// WithLevel sets the lowest level that is written: debug, info, warn or error.
func WithLevel(level string) LogOption { return func(o *logOptions) { o.level = level } }

// WithZone adds the availability zone to each line.
func WithZone(zone string) LogOption { return func(o *logOptions) { o.zone = zone } }

// WithOutput writes to out instead of the standard error output.
func WithOutput(out io.Writer) LogOption { return func(o *logOptions) { o.out = out } }

// WithoutSampling writes every line. The caller bounds their number.
func WithoutSampling() LogOption { return func(o *logOptions) { o.whole = true } }

// WithDropCounter counts the lines that sampling drops.
func WithDropCounter(counter prometheus.Counter) LogOption {
	return func(o *logOptions) { o.dropped = counter }
}

// WithClock takes the times of lines, on which sampling depends, from a clock.
func WithClock(clock zapcore.Clock) LogOption { return func(o *logOptions) { o.clock = clock } }

// NewLogger returns a structured logger that samples repeated lines. It fails on an
// unknown level.
func NewLogger(program, vm string, options ...LogOption) (*zap.Logger, error) {
	o := logOptions{level: DefaultLevel, clock: zapcore.DefaultClock}
	for _, option := range options {
		option(&o)
	}
	level, err := zapcore.ParseLevel(o.level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	out, err := o.sink()
	if err != nil {
		return nil, err
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), out, level)
	if !o.whole {
		core = zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleGroup, zapcore.SamplerHook(o.count))
	}
	fields := []zap.Field{zap.String("program", program), zap.String("vm", vm)}
	if o.zone != "" {
		fields = append(fields, zap.String("zone", o.zone))
	}
	return zap.New(core, zap.AddCaller(), zap.WithClock(o.clock), zap.Fields(fields...)), nil
}

func (o *logOptions) sink() (zapcore.WriteSyncer, error) {
	if o.out != nil {
		return zapcore.Lock(zapcore.AddSync(o.out)), nil
	}
	out, _, err := zap.Open("stderr")
	return out, err
}

func (o *logOptions) count(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if o.dropped != nil && decision&zapcore.LogDropped != 0 {
		o.dropped.Inc()
	}
}
