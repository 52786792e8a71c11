// Package obs sets up the logging and metrics of a process.
package obs

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling of lines with the same level and message: in each interval the first sampleFirst
// lines are written, then every sampleThereafter-th. Otherwise a failing upstream would fill
// the log with one line per request.
const (
	sampleInterval   = time.Second
	sampleFirst      = 100
	sampleThereafter = 100
)

// DefaultLevel is the log level that is used without WithLevel.
const DefaultLevel = "info"

type logOptions struct {
	level     string
	zone      string
	out       io.Writer
	dropped   prometheus.Counter
	clock     zapcore.Clock
	unsampled bool
}

// LogOption configures a logger.
type LogOption func(*logOptions)

// WithLevel sets the minimum level: debug, info, warn or error.
func WithLevel(level string) LogOption { return func(o *logOptions) { o.level = level } }

// WithZone adds the availability zone to each line.
func WithZone(zone string) LogOption { return func(o *logOptions) { o.zone = zone } }

// WithOutput writes to out instead of standard error.
func WithOutput(out io.Writer) LogOption { return func(o *logOptions) { o.out = out } }

// WithoutSampling writes every line. The caller has to limit their number.
func WithoutSampling() LogOption { return func(o *logOptions) { o.unsampled = true } }

// WithDropCounter counts the lines dropped by sampling.
func WithDropCounter(counter prometheus.Counter) LogOption {
	return func(o *logOptions) { o.dropped = counter }
}

// WithClock sets the clock for the timestamps of lines, on which sampling depends.
func WithClock(clock zapcore.Clock) LogOption { return func(o *logOptions) { o.clock = clock } }

// NewLogger returns a structured logger that samples repeated lines. It returns an error if
// the level is unknown.
func NewLogger(program, vm string, options ...LogOption) (*zap.Logger, error) {
	o := logOptions{level: DefaultLevel, clock: zapcore.DefaultClock}
	for _, option := range options {
		option(&o)
	}
	level, err := zapcore.ParseLevel(o.level)
	if err != nil {
		return nil, errors.Wrap(err, "parse log level")
	}
	out, err := o.openOutput()
	if err != nil {
		return nil, err
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.TimeKey = "time"
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), out, level)
	if !o.unsampled {
		core = zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleThereafter, zapcore.SamplerHook(o.countDropped))
	}
	fields := []zap.Field{zap.String("program", program), zap.String("vm", vm)}
	if o.zone != "" {
		fields = append(fields, zap.String("zone", o.zone))
	}
	return zap.New(core, zap.AddCaller(), zap.WithClock(o.clock), zap.Fields(fields...)), nil
}

func (o *logOptions) openOutput() (zapcore.WriteSyncer, error) {
	if o.out != nil {
		return zapcore.Lock(zapcore.AddSync(o.out)), nil
	}
	out, _, err := zap.Open("stderr")
	return out, err
}

func (o *logOptions) countDropped(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if o.dropped != nil && decision&zapcore.LogDropped != 0 {
		o.dropped.Inc()
	}
}
