// Package tracing sets up spans for each hop: caller, entry host, peer, platform and
// target. With the exporter off nothing is wrapped and a span costs one atomic load.
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

const scope = "github.com/daisyfold/daisyfold"

// Names of the hops.
const (
	HopEntry   = "entry host"
	HopPeer    = "peer"
	HopLog     = "platform log"
	HopPlanner = "planner"
	HopWorker  = "worker"
	HopTarget  = "target"
)

// header carries a span context in HTTP and, as a value, in journal records.
const header = "traceparent"

// enabled is set while spans go to an exporter. Nothing is wrapped, started or carried
// before.
var enabled atomic.Bool

// Enabled reports whether spans go to an exporter.
func Enabled() bool { return enabled.Load() }

// Use sends the spans of this process to p.
func Use(p oteltrace.TracerProvider) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	otel.SetTracerProvider(p)
	enabled.Store(true)
}

// Off ends what Use began. What was wrapped stays wrapped and starts no spans.
func Off() { enabled.Store(false) }

// Setup installs the exporter that the settings name and returns a function that
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
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter), sdktrace.WithResource(res), sdktrace.WithSampler(sampler))
	Use(p)
	return func(ctx context.Context) error {
		return trace.NewAggregate(p.Shutdown(ctx), closeFile())
	}, nil
}

func newExporter(ctx context.Context, t *settings.Trace) (sdktrace.SpanExporter, func() error, error) {
	none := func() error { return nil }
	switch t.Exporter {
	case settings.TraceExporterFile:
		f, err := os.OpenFile(t.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, none, trace.Wrap(err, "trace file")
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return e, f.Close, trace.Wrap(err)
	case settings.TraceExporterOTLP:
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(t.Endpoint))
		return e, none, trace.Wrap(err)
	default:
		return nil, none, nil
	}
}

// Start begins a span for one hop.
func Start(ctx context.Context, hop string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	if !Enabled() {
		return ctx, noop.Span{}
	}
	return otel.Tracer(scope).Start(ctx, hop, oteltrace.WithAttributes(attrs...))
}

// StartChild is Start for hops that also serve work of no request or job, such as
// renewals and heartbeats: without a span in ctx it begins none.
func StartChild(ctx context.Context, hop string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	if !Enabled() || !oteltrace.SpanContextFromContext(ctx).IsValid() {
		return ctx, noop.Span{}
	}
	return Start(ctx, hop, attrs...)
}

// End ends a span and marks it failed when err is not nil.
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

// Carry returns the span context of ctx for a journal record: a traceparent value, or
// empty when the trace is not kept.
func Carry(ctx context.Context) string {
	if !Enabled() || !oteltrace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return carrier[header]
}

// Continue returns a context whose spans follow the one that Carry described. An empty
// or invalid value leaves ctx as it is.
func Continue(ctx context.Context, carried string) context.Context {
	if carried == "" || !Enabled() {
		return ctx
	}
	return otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{header: carried})
}

// Middleware takes the caller's span context from the headers and opens the span of
// this hop around the request. It returns next itself when tracing is off.
func Middleware(hop string, next http.Handler) http.Handler {
	return middleware(hop, next, Start)
}

// ChildMiddleware is Middleware for requests that come with a span context; others
// pass without a span.
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

// Transport opens a span around each request that belongs to a trace and passes its
// context on. It returns next itself when tracing is off.
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
