// Package tracing records a span for each hop of a request or job: caller, entry host,
// peer, platform and target. Without an exporter it wraps no handlers or transports, and
// starting a span costs one atomic load.
package tracing

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/daisyfold/daisyfold/internal/settings"
)

// tracerName is the instrumentation scope of all spans.
const tracerName = "github.com/daisyfold/daisyfold"

// Span names of the hops.
const (
	HopEntry   = "entry host"
	HopPeer    = "peer"
	HopLog     = "platform log"
	HopPlanner = "planner"
	HopWorker  = "worker"
	HopTarget  = "target"
)

// traceparentHeader is the HTTP header of the W3C trace context. Journal records store its
// value.
const traceparentHeader = "traceparent"

// enabled is true while spans are exported. Until then no span is started, no handler or
// transport is wrapped, and no span context is propagated.
var enabled atomic.Bool

// Enabled reports whether spans are exported.
func Enabled() bool { return enabled.Load() }

// Enable sends the spans of this process to provider.
func Enable(provider oteltrace.TracerProvider) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	otel.SetTracerProvider(provider)
	enabled.Store(true)
}

// Disable reverses Enable. Handlers and transports that are already wrapped stay wrapped
// but start no spans.
func Disable() { enabled.Store(false) }

// Setup installs the exporter that the settings select, if any. The returned function
// flushes and closes it.
func Setup(ctx context.Context, s *settings.Settings) (func(context.Context) error, error) {
	exporter, closeFile, err := newExporter(ctx, &s.Trace)
	if err != nil || exporter == nil {
		return func(context.Context) error { return nil }, err
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", "daisyfoldd"),
		attribute.String("host.name", string(s.Host)),
		attribute.String("availability_zone", string(s.Zone)),
	)
	sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Trace.SampleRatio))
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter), sdktrace.WithResource(res), sdktrace.WithSampler(sampler))
	Enable(provider)
	return func(ctx context.Context) error {
		return trace.NewAggregate(provider.Shutdown(ctx), closeFile())
	}, nil
}

// newExporter returns the exporter that the settings select, or nil for none, and a
// function that closes its file.
func newExporter(ctx context.Context, t *settings.Trace) (sdktrace.SpanExporter, func() error, error) {
	noClose := func() error { return nil }
	switch t.Exporter {
	case settings.TraceExporterFile:
		f, err := os.OpenFile(t.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, noClose, trace.Wrap(err, "opening the trace file")
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return e, f.Close, trace.Wrap(err)
	case settings.TraceExporterOTLP:
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(t.Endpoint))
		return e, noClose, trace.Wrap(err)
	default:
		return nil, noClose, nil
	}
}

// Start starts a span for a hop.
func Start(ctx context.Context, hop string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	if !Enabled() {
		return ctx, noop.Span{}
	}
	return otel.Tracer(tracerName).Start(ctx, hop, oteltrace.WithAttributes(attrs...))
}

// StartChild starts a span only if ctx has a span context. It is for hops that also carry
// traffic that belongs to no request or job, such as lease renewals and heartbeats.
func StartChild(ctx context.Context, hop string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	if !Enabled() || !oteltrace.SpanContextFromContext(ctx).IsValid() {
		return ctx, noop.Span{}
	}
	return Start(ctx, hop, attrs...)
}

// End ends a span and marks it as failed if err is not nil.
func End(span oteltrace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// Inject writes the span context of ctx into HTTP headers.
func Inject(ctx context.Context, h http.Header) {
	if Enabled() {
		otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
	}
}

// Traceparent returns the span context of ctx as a traceparent value for a journal record,
// or an empty string if the trace is not sampled.
func Traceparent(ctx context.Context) string {
	if !Enabled() || !oteltrace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return carrier[traceparentHeader]
}

// WithTraceparent returns a context with the span context that Traceparent returned, so that
// new spans become its children. It returns ctx if the value is empty or invalid.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" || !Enabled() {
		return ctx
	}
	return otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// Middleware returns a handler that reads the span context from the request headers and
// calls next within a span of the hop. It returns next if tracing is disabled.
func Middleware(hop string, next http.Handler) http.Handler {
	return middleware(hop, next, Start)
}

// ChildMiddleware is like Middleware, but starts no span for requests without a span
// context.
func ChildMiddleware(hop string, next http.Handler) http.Handler {
	return middleware(hop, next, StartChild)
}

type startFunc func(context.Context, string, ...attribute.KeyValue) (context.Context, oteltrace.Span)

func middleware(hop string, next http.Handler, start startFunc) http.Handler {
	if !Enabled() {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := start(ctx, hop, attribute.String("http.method", r.Method), attribute.String("http.path", r.URL.Path))
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Transport returns a round tripper that sends each request that belongs to a trace within
// a span of the hop, with the span context in its headers. It returns next if tracing is
// disabled.
func Transport(hop string, next http.RoundTripper) http.RoundTripper {
	if !Enabled() {
		return next
	}
	return transport{hop: hop, next: next}
}

type transport struct {
	hop  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !oteltrace.SpanContextFromContext(r.Context()).IsValid() {
		return t.next.RoundTrip(r)
	}
	ctx, span := Start(r.Context(), t.hop, attribute.String("http.url", r.URL.String()))
	r = r.Clone(ctx)
	Inject(ctx, r.Header)
	resp, err := t.next.RoundTrip(r)
	End(span, err)
	return resp, err
}
