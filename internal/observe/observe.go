// Package observe sets up the structured log, metrics and traces of a process.
package observe

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/cactusbay/cactusbay/internal/settings"
)

const (
	metricsInterval   = time.Second
	traceFlushTimeout = 2 * time.Second
	traceFileMode     = 0o600
)

// Propagator reads and writes the W3C trace context headers.
var Propagator = propagation.TraceContext{}

// Telemetry holds the log, metrics and tracer of a process.
type Telemetry struct {
	Log    *log.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
	// Metrics serves the metrics in the Prometheus text format.
	Metrics http.Handler

	closers []func()
}

// New opens the log, metrics and traces of a process; the log is written to output.
// The caller ends them with Close.
func New(s *settings.Settings, output io.Writer) (*Telemetry, error) {
	t := &Telemetry{}
	closeMetrics := t.openMetrics(s)
	writer := newBoundedWriter(output, s.Log.LinesPerSecond)
	writer.scope = t.Scope
	t.Log = newLog(s, writer)
	t.closers = append(t.closers, writer.close)
	err := t.openTrace(s)
	if err != nil {
		return nil, errors.Newf("open traces: %w", err)
	}
	t.closers = append(t.closers, closeMetrics)
	return t, nil
}

// Discard returns a Telemetry that discards everything. It need not be closed.
func Discard() *Telemetry {
	return &Telemetry{
		Log:     log.New(io.Discard),
		Scope:   tally.NoopScope,
		Tracer:  sdktrace.NewTracerProvider().Tracer("cactusbay"),
		Metrics: http.NotFoundHandler(),
	}
}

// Close flushes and closes the traces, the log and the metrics.
func (t *Telemetry) Close() {
	for _, closer := range t.closers {
		closer()
	}
}

func newLog(s *settings.Settings, output io.Writer) *log.Logger {
	level, err := log.ParseLevel(s.Log.Level)
	if err != nil {
		level = log.InfoLevel
	}
	options := log.Options{Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano}
	if s.Log.Format == "json" {
		options.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(output, options).With("instance", s.InstanceID, "failure_domain", s.FailureDomain)
}

// latencyBuckets are the upper bounds of the buckets of latencies, in seconds.
var latencyBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 60}

// openMetrics sets Scope and Metrics and returns the function that closes them.
func (t *Telemetry) openMetrics(s *settings.Settings) func() {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:              registry,
		Gatherer:                registry,
		DefaultTimerType:        prometheus.HistogramTimerType,
		DefaultHistogramBuckets: latencyBuckets,
	})
	options := tally.ScopeOptions{
		Prefix:                 "cactusbay",
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
		CachedReporter:         reporter,
		Tags:                   map[string]string{"instance": s.InstanceID, "failure_domain": s.FailureDomain},
	}
	scope, closer := tally.NewRootScope(options, metricsInterval)
	t.Scope = scope
	t.Metrics = reporter.HTTPHandler()
	return func() { _ = closer.Close() }
}

func (t *Telemetry) openTrace(s *settings.Settings) error {
	attributes := resource.NewSchemaless(attribute.String("service.name", "cactusbay"), attribute.String("service.instance.id", s.InstanceID))
	options := []sdktrace.TracerProviderOption{sdktrace.WithResource(attributes)}
	exporters, err := t.openExporters(s)
	if err != nil {
		return err
	}
	for _, exporter := range exporters {
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if len(exporters) == 0 {
		options = append(options, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	provider := sdktrace.NewTracerProvider(options...)
	t.Tracer = provider.Tracer("cactusbay")
	t.closers = append([]func(){func() { shutdownProvider(provider) }}, t.closers...)
	return nil
}

func (t *Telemetry) openExporters(s *settings.Settings) ([]sdktrace.SpanExporter, error) {
	var exporters []sdktrace.SpanExporter
	if s.Trace.File != "" {
		file, err := os.OpenFile(s.Trace.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
		if err != nil {
			return nil, errors.Newf("open trace file: %w", err)
		}
		t.closers = append(t.closers, func() { _ = file.Close() })
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, errors.Newf("open trace file exporter: %w", err)
		}
		exporters = append(exporters, exporter)
	}
	if s.Trace.OTLPAddress != "" {
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(s.Trace.OTLPAddress), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, errors.Newf("open OTLP exporter: %w", err)
		}
		exporters = append(exporters, exporter)
	}
	return exporters, nil
}

func shutdownProvider(provider *sdktrace.TracerProvider) {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	_ = provider.Shutdown(ctx)
}
