package tracing

import (
	"context"
	"net/http"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// TestDisabledTracingAddsNothing checks that tracing without an exporter wraps nothing,
// allocates nothing and adds no bytes to headers and records.
func TestDisabledTracingAddsNothing(t *testing.T) {
	rt := http.DefaultTransport
	if Transport(HopWorker, rt) != rt {
		t.Error("a transport is wrapped")
	}
	if handler := http.NewServeMux(); Middleware(HopEntry, handler) != http.Handler(handler) {
		t.Error("a handler is wrapped")
	}
	ctx, span := Start(context.Background(), HopEntry)
	header := http.Header{}
	Inject(ctx, header)
	if span.SpanContext().IsValid() || Traceparent(ctx) != "" || len(header) > 0 {
		t.Error("a span was started or propagated")
	}
	if n := testing.AllocsPerRun(100, func() { StartChild(ctx, HopWorker) }); n > 0 {
		t.Errorf("starting a span costs %v allocations", n)
	}
}

// TestTraceparent checks that a traceparent value keeps the trace of a record, and that
// StartChild starts no trace of its own.
func TestTraceparent(t *testing.T) {
	Enable(sdktrace.NewTracerProvider())
	defer Disable()
	if _, span := StartChild(context.Background(), HopWorker); span.SpanContext().IsValid() {
		t.Error("StartChild started a span without a parent")
	}
	ctx, root := Start(context.Background(), HopEntry)
	_, child := StartChild(WithTraceparent(context.Background(), Traceparent(ctx)), HopPlanner)
	if child.SpanContext().TraceID() != root.SpanContext().TraceID() {
		t.Error("the span after WithTraceparent belongs to another trace")
	}
	if next := WithTraceparent(context.Background(), "no traceparent"); Traceparent(next) != "" {
		t.Error("an invalid traceparent started a trace")
	}
}
