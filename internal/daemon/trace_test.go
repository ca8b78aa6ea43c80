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

const example = "../../examples/kerherve/"

// pair is two daemons of different zones with the stand-in platform, in the process.
type pair struct {
	t       *testing.T
	daemons map[model.HostID]*Daemon
	apis    map[model.HostID]string // base URLs
	stops   map[model.HostID]chan struct{}
	// platform is the base URL of the stand-in.
	platform string
	logger   *zap.Logger
	logs     *observer.ObservedLogs
}

func startPair(t *testing.T) *pair {
	t.Helper()
	d := must(emulator.Load(example + "emulator.jsonc"))
	platform := must(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(goRun(t, func(ctx context.Context) error { return emulator.Serve(ctx, d, platform) }))
	p := &pair{t: t, daemons: map[model.HostID]*Daemon{}, apis: map[model.HostID]string{}, stops: map[model.HostID]chan struct{}{}}
	p.platform = "http://" + platform.Addr().String()
	var core zapcore.Core
	core, p.logs = observer.New(zap.DebugLevel)
	p.logger = zap.New(core)
	listeners := map[model.Zone][2]net.Listener{}
	var peers []settings.Peer
	for _, zone := range []model.Zone{"quimper", "brest"} {
		listeners[zone] = [2]net.Listener{must(net.Listen("tcp", "127.0.0.1:0")), must(net.Listen("tcp", "127.0.0.1:0"))}
		peers = append(peers, settings.Peer{
			Host: model.HostID(zone + "-1"), Zone: zone, Address: "http://" + listeners[zone][1].Addr().String(),
		})
	}
	for i, self := range peers {
		p.startOne(self, peers[1-i], "http://"+platform.Addr().String(), listeners[self.Zone])
	}
	return p
}

func (p *pair) startOne(self, other settings.Peer, platform string, l [2]net.Listener) {
	s := &settings.Settings{
		Host: self.Host, Zone: self.Zone, Peers: []settings.Peer{other}, DrainSeconds: 5, LogAppendsPerSecond: 300,
		Listen:   settings.Listen{API: l[0].Addr().String(), Peer: l[1].Addr().String()},
		Platform: settings.Platform{Log: platform, HostList: platform},
	}
	r := gometrics.NewRegistry()
	d := New(Options{Settings: s, Registry: r, Logger: p.logger, Outside: must(Network(s, r, func() int { return 2 }))})
	p.daemons[self.Host] = d
	stop := make(chan struct{})
	p.stops[self.Host] = stop
	p.apis[self.Host] = "http://" + s.Listen.API
	p.t.Cleanup(goRun(p.t, func(ctx context.Context) error { return d.runOn(ctx, stop, l[0], l[1]) }))
}

// goRun runs f and returns a function that ends it and waits.
func goRun(t *testing.T, f func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f(ctx); err != nil {
			t.Errorf("ended with %v", err)
		}
	}()
	return func() { cancel(); <-done }
}

// bearer is the key of a client.
type bearer string

func (b bearer) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(b)}, nil
}

// client returns a client of one host whose calls belong to the trace of their context.
func (p *pair) client(host model.HostID, key bearer) *api.Client {
	h := &http.Client{Transport: tracing.Transport("caller", http.DefaultTransport)}
	return must(api.NewClient(p.apis[host], key, api.WithClient(h)))
}

// await polls until f holds.
func (p *pair) await(ctx context.Context, what string, f func() bool) {
	p.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !f() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.t.Fatalf("waited in vain for %s", what)
		}
	}
}

// publish puts the example's text in force on both hosts.
func (p *pair) publish(ctx context.Context) {
	p.t.Helper()
	text := string(must(os.ReadFile(example + "daisyfold.jsonc")))
	p.await(ctx, "the text", func() bool {
		edit := &api.ConfigEdit{ID: "first", Text: text}
		_, err := p.client("quimper-1", "operator-key").PublishConfig(ctx, edit)
		return err == nil
	})
	p.await(ctx, "readiness", func() bool {
		for _, d := range p.daemons {
			if d.board.Config.Get() == nil || d.ready() != nil || !d.members.Alive("quimper-1") || !d.members.Alive("brest-1") {
				return false
			}
		}
		return true
	})
}

// hops counts the spans of one trace by name.
func hops(all tracetest.SpanStubs, id oteltrace.TraceID) map[string]int {
	out := map[string]int{}
	for _, s := range all {
		if s.SpanContext.TraceID() == id {
			out[s.Name]++
		}
	}
	return out
}

// TestTraceOfEveryHop guards against traces that end at a host: a gang that another
// host plans and a request must show every hop under the caller's trace, and work of
// no request must show none.
func TestTraceOfEveryHop(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	tracing.Enable(sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)))
	t.Cleanup(tracing.Disable)
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	p := startPair(t)
	p.publish(ctx)
	client := p.client("quimper-1", "quimper-choir-key")

	gangCtx, root := tracing.Start(ctx, "gang")
	job := &api.JobRequest{
		ID: api.NewOptString("j"), Service: "proofs", Tasks: 2, Accelerators: api.NewOptInt(8),
		Zone: api.NewOptString("brest"), Payload: api.NewOptString(`{"runMS": 50}`),
	}
	if _, err := client.SubmitJob(gangCtx, job); err != nil {
		t.Fatal(err)
	}
	if got, err := client.WaitJob(ctx, api.WaitJobParams{ID: "j"}); err != nil || got.State != api.JobStateFinished {
		t.Fatalf("the job ended as %v, %v", got, err)
	}
	if got, err := client.ExplainJob(gangCtx, api.ExplainJobParams{ID: "j"}); err != nil || len(got.Reasons) == 0 {
		t.Errorf("the planner's host gave no reasons: %v, %v", got, err)
	}
	id := root.SpanContext().TraceID()
	want := map[string]int{"caller": 2, tracing.HopEntry: 2, tracing.HopLog: 3, tracing.HopPlanner: 1, tracing.HopWorker: 6, tracing.HopPeer: 2}
	checkHops(ctx, p, spans, id, want)

	requestCtx, root := tracing.Start(ctx, "request")
	body := api.CallServiceReq{Data: strings.NewReader("two copies")}
	if _, err := client.CallService(requestCtx, body, api.CallServiceParams{Service: "orders"}); err != nil {
		t.Fatal(err)
	}
	id = root.SpanContext().TraceID()
	checkHops(ctx, p, spans, id, map[string]int{"caller": 1, tracing.HopEntry: 1, tracing.HopLog: 1, tracing.HopTarget: 1})
}

// checkHops waits until a trace has at least the wanted spans of each hop.
func checkHops(ctx context.Context, p *pair, spans *tracetest.InMemoryExporter, id oteltrace.TraceID, want map[string]int) {
	p.t.Helper()
	missing := func() string {
		got := hops(spans.GetSpans(), id)
		for name, n := range want {
			if got[name] < n {
				return name + " of " + string(must(json.Marshal(got)))
			}
		}
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	p.await(ctx, "the span "+missing(), func() bool { return missing() == "" })
}

// TestLogPrefixes guards against lines that do not tell their part or tell it twice.
func TestLogPrefixes(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	p := startPair(t)
	p.publish(ctx)
	once := regexp.MustCompile(`^(daemon|journal|membership|configsync|jobs|shard|api|peer): `)
	seen := map[string]bool{}
	for _, e := range p.logs.All() {
		part := once.FindString(e.Message)
		seen[part] = true
		if part == "" || once.MatchString(e.Message[len(part):]) {
			t.Errorf("the prefix of %q is missing or double", e.Message)
		}
	}
	if !seen["configsync: "] || !seen["shard: "] {
		t.Errorf("lines of configsync and shard are missing; seen %v", seen)
	}
}
