package tracing

import (
	"context"
	"net/http"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// TestOffWrapsNothing guards against costs on every call and bytes in every record
// while no exporter is set.
func TestOffWrapsNothing(t *testing.T) {
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
	if span.SpanContext().IsValid() || Carry(ctx) != "" || len(header) > 0 {
		t.Error("a span began or was carried")
	}
	if n := testing.AllocsPerRun(100, func() { StartChild(ctx, HopWorker) }); n > 0 {
		t.Errorf("a span costs %v allocations", n)
	}
}

// TestCarry guards against records that lose their trace, and against traces that begin
// at work of no request.
func TestCarry(t *testing.T) {
	Use(sdktrace.NewTracerProvider())
	defer Off()
	if _, span := StartChild(context.Background(), HopWorker); span.SpanContext().IsValid() {
		t.Error("a span without a parent began")
	}
	ctx, root := Start(context.Background(), HopEntry)
	_, child := StartChild(Continue(context.Background(), Carry(ctx)), HopPlanner)
	if child.SpanContext().TraceID() != root.SpanContext().TraceID() {
		t.Error("the span of the reader belongs to another trace")
	}
	if next := Continue(context.Background(), "no traceparent"); Carry(next) != "" {
		t.Error("an invalid value began a trace")
	}
}
