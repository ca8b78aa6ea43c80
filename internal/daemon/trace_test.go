package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/settings"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

const exampleDir = "../../examples/kerherve/"

// testHosts runs two daemons of different zones and an emulated platform in this process.
type testHosts struct {
	t       *testing.T
	daemons map[model.HostID]*Daemon
	apiURLs map[model.HostID]string // base URLs
	stops   map[model.HostID]chan struct{}
	// platformURL is the base URL of the emulator.
	platformURL string
	logger      *zap.Logger
	logs        *observer.ObservedLogs
}

// startTestHosts starts the emulator and both daemons. They stop at the end of the test.
func startTestHosts(t *testing.T) *testHosts {
	t.Helper()
	deployment := must(emulator.Load(exampleDir + "emulator.jsonc"))
	platform := must(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(startBackground(t, func(ctx context.Context) error { return emulator.Serve(ctx, deployment, platform) }))
	h := &testHosts{t: t, daemons: map[model.HostID]*Daemon{}, apiURLs: map[model.HostID]string{}, stops: map[model.HostID]chan struct{}{}}
	h.platformURL = "http://" + platform.Addr().String()
	var core zapcore.Core
	core, h.logs = observer.New(zap.DebugLevel)
	h.logger = zap.New(core)
	listeners := map[model.Zone][2]net.Listener{}
	var peers []settings.Peer
	for _, zone := range []model.Zone{"quimper", "brest"} {
		listeners[zone] = [2]net.Listener{must(net.Listen("tcp", "127.0.0.1:0")), must(net.Listen("tcp", "127.0.0.1:0"))}
		peers = append(peers, settings.Peer{
			Host: model.HostID(zone + "-1"), Zone: zone, Address: "http://" + listeners[zone][1].Addr().String(),
		})
	}
	for i, self := range peers {
		h.startDaemon(self, peers[1-i], "http://"+platform.Addr().String(), listeners[self.Zone])
	}
	return h
}

func (h *testHosts) startDaemon(self, other settings.Peer, platform string, listeners [2]net.Listener) {
	s := &settings.Settings{
		Host: self.Host, Zone: self.Zone, Peers: []settings.Peer{other}, DrainSeconds: 5, LogAppendsPerSecond: 300,
		Listen:   settings.Listen{API: listeners[0].Addr().String(), Peer: listeners[1].Addr().String()},
		Platform: settings.Platform{Log: platform, HostList: platform},
	}
	r := gometrics.NewRegistry()
	d := New(Options{Settings: s, Registry: r, Logger: h.logger, External: must(NewExternal(s, r, func() int { return 2 }))})
	h.daemons[self.Host] = d
	stop := make(chan struct{})
	h.stops[self.Host] = stop
	h.apiURLs[self.Host] = "http://" + s.Listen.API
	h.t.Cleanup(startBackground(h.t, func(ctx context.Context) error { return d.runWithListeners(ctx, stop, listeners[0], listeners[1]) }))
}

// startBackground runs fn in a goroutine and returns a function that cancels fn and waits
// until it has returned.
func startBackground(t *testing.T, fn func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := fn(ctx); err != nil {
			t.Errorf("background function returned %v", err)
		}
	}()
	return func() { cancel(); <-done }
}

// bearerToken implements api.SecuritySource with a fixed key.
type bearerToken string

func (b bearerToken) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(b)}, nil
}

// client returns an API client of one host that propagates the trace of the context.
func (h *testHosts) client(host model.HostID, key bearerToken) *api.Client {
	httpClient := &http.Client{Transport: tracing.Transport("caller", http.DefaultTransport)}
	return must(api.NewClient(h.apiURLs[host], key, api.WithClient(httpClient)))
}

// waitFor polls until condition returns true, and fails the test when ctx ends.
func (h *testHosts) waitFor(ctx context.Context, what string, condition func() bool) {
	h.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			h.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// publish publishes the example's configuration and waits until both hosts are ready and
// see each other alive.
func (h *testHosts) publish(ctx context.Context) {
	h.t.Helper()
	text := string(must(os.ReadFile(exampleDir + "daisyfold.jsonc")))
	h.waitFor(ctx, "the publication of the configuration", func() bool {
		edit := &api.ConfigEdit{ID: "first", Text: text}
		_, err := h.client("quimper-1", "operator-key").PublishConfig(ctx, edit)
		return err == nil
	})
	h.waitFor(ctx, "readiness", func() bool {
		for _, d := range h.daemons {
			if d.board.Config.Get() == nil || d.checkReady() != nil || !d.members.Alive("quimper-1") || !d.members.Alive("brest-1") {
				return false
			}
		}
		return true
	})
}

// countSpans returns the number of spans of one trace by name.
func countSpans(all tracetest.SpanStubs, id oteltrace.TraceID) map[string]int {
	counts := map[string]int{}
	for _, s := range all {
		if s.SpanContext.TraceID() == id {
			counts[s.Name]++
		}
	}
	return counts
}

// TestTraceCoversEveryHop checks that the trace of a caller has spans for every hop, both
// for a gang that another host plans and for a request to a service.
func TestTraceCoversEveryHop(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	tracing.Enable(sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)))
	t.Cleanup(tracing.Disable)
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	hosts := startTestHosts(t)
	hosts.publish(ctx)
	client := hosts.client("quimper-1", "quimper-choir-key")

	gangCtx, root := tracing.Start(ctx, "gang")
	job := &api.JobRequest{
		ID: api.NewOptString("j"), Service: "proofs", Tasks: 2, Accelerators: api.NewOptInt(8),
		Zone: api.NewOptString("brest"), Payload: api.NewOptString(`{"runMS": 50}`),
	}
	if _, err := client.SubmitJob(gangCtx, job); err != nil {
		t.Fatal(err)
	}
	if got, err := client.WaitJob(ctx, api.WaitJobParams{ID: "j"}); err != nil || got.State != api.JobStateFinished {
		t.Fatalf("job result: got %v, error %v", got, err)
	}
	if got, err := client.ExplainJob(gangCtx, api.ExplainJobParams{ID: "j"}); err != nil || len(got.Reasons) == 0 {
		t.Errorf("reasons from the planning host: got %v, error %v", got, err)
	}
	id := root.SpanContext().TraceID()
	want := map[string]int{"caller": 2, tracing.HopEntry: 2, tracing.HopLog: 3, tracing.HopPlanner: 1, tracing.HopWorker: 6, tracing.HopPeer: 2}
	waitForSpans(ctx, hosts, spans, id, want)

	requestCtx, root := tracing.Start(ctx, "request")
	body := api.CallServiceReq{Data: strings.NewReader("two copies")}
	if _, err := client.CallService(requestCtx, body, api.CallServiceParams{Service: "orders"}); err != nil {
		t.Fatal(err)
	}
	id = root.SpanContext().TraceID()
	waitForSpans(ctx, hosts, spans, id, map[string]int{"caller": 1, tracing.HopEntry: 1, tracing.HopLog: 1, tracing.HopTarget: 1})
}

// waitForSpans waits until a trace has at least the wanted number of spans of each hop.
func waitForSpans(ctx context.Context, hosts *testHosts, spans *tracetest.InMemoryExporter, id oteltrace.TraceID, want map[string]int) {
	hosts.t.Helper()
	missing := func() string {
		got := countSpans(spans.GetSpans(), id)
		for name, n := range want {
			if got[name] < n {
				return name + " of " + string(must(json.Marshal(got)))
			}
		}
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	hosts.waitFor(ctx, "the span "+missing(), func() bool { return missing() == "" })
}

// TestLogPrefixes checks that every log message has the prefix of its part exactly once.
func TestLogPrefixes(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	hosts := startTestHosts(t)
	hosts.publish(ctx)
	prefix := regexp.MustCompile(`^(daemon|journal|membership|configsync|jobs|shard|api|peer): `)
	seen := map[string]bool{}
	for _, e := range hosts.logs.All() {
		part := prefix.FindString(e.Message)
		seen[part] = true
		if part == "" || prefix.MatchString(e.Message[len(part):]) {
			t.Errorf("the prefix of %q is missing or repeated", e.Message)
		}
	}
	if !seen["configsync: "] || !seen["shard: "] {
		t.Errorf("no messages of configsync or shard; got prefixes %v", seen)
	}
}
