// Package tracing sets up spans for each hop: caller, entry host, peer, platform and
// target. With the exporter off, the global provider stays the no-op one and a span
// costs a few nanoseconds.
package tracing

import (
	"context"
	"net/http"
	"os"

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

	"github.com/daisyfold/daisyfold/internal/settings"
)

const scope = "github.com/daisyfold/daisyfold"

// Setup installs the exporter that the settings name and returns a function that
// flushes and closes it.
func Setup(ctx context.Context, s *settings.Settings) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, closeFile, err := newExporter(ctx, &s.Trace)
	if err != nil || exporter == nil {
		return func(context.Context) error { return nil }, err
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", "daisyfoldd"),
		attribute.String("host.name", string(s.Host)),
		attribute.String("availability_zone", string(s.Zone)),
	)
	sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Trace.Sample))
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter), sdktrace.WithResource(res), sdktrace.WithSampler(sampler))
	otel.SetTracerProvider(p)
	return func(ctx context.Context) error {
		return trace.NewAggregate(p.Shutdown(ctx), closeFile())
	}, nil
}

func newExporter(ctx context.Context, t *settings.Trace) (sdktrace.SpanExporter, func() error, error) {
	none := func() error { return nil }
	switch t.Exporter {
	case settings.TraceFile:
		f, err := os.OpenFile(t.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, none, trace.Wrap(err, "trace file")
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return e, f.Close, trace.Wrap(err)
	case settings.TraceOTLP:
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(t.Endpoint))
		return e, none, trace.Wrap(err)
	default:
		return nil, none, nil
	}
}

// Start begins a span for one hop.
func Start(ctx context.Context, hop string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(scope).Start(ctx, hop, oteltrace.WithAttributes(attrs...))
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
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}

// Middleware takes the caller's span context from the headers and opens the span of
// this hop around the request.
func Middleware(hop string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := Start(ctx, hop, attribute.String("http.method", r.Method), attribute.String("http.path", r.URL.Path))
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Transport opens a span around each request and passes its context on.
func Transport(hop string, next http.RoundTripper) http.RoundTripper {
	return transport{hop: hop, next: next}
}

type transport struct {
	hop  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, span := Start(r.Context(), t.hop, attribute.String("http.url", r.URL.String()))
	r = r.Clone(ctx)
	Inject(ctx, r.Header)
	resp, err := t.next.RoundTrip(r)
	End(span, err)
	return resp, err
}
