// Package host runs the engine as a process on the platform. It connects the engine to the
// platform's clients, serves callers, readiness probes and metrics, and shuts the process
// down gracefully.
package host

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/engine"
	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/drain"
	"github.com/daisyfold/daisyfold/internal/engine/guard"
	"github.com/daisyfold/daisyfold/internal/engine/scheduler"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/logging"
	"github.com/daisyfold/daisyfold/internal/metrics"
	"github.com/daisyfold/daisyfold/platform"
)

// metricsPort is the port of the metrics endpoint in deploy/system.toml.
const metricsPort = 9464

// Limits of a caller's connection; maxHeaderBytes limits the header of a request.
const (
	idleTimeout       = 15 * time.Second
	readHeaderTimeout = 3 * time.Second
	maxHeaderBytes    = 16 << 10
)

const (
	// softMemoryLimitFraction is the fraction of the process's memory limit that is set as
	// the memory limit of the Go runtime, near which the garbage collector runs more
	// often.
	softMemoryLimitFraction = 0.5
	bytesPerMiB             = 1 << 20
)

// Host is a process that runs the engine of one host.
type Host struct {
	settings  *platform.Settings
	registry  gometrics.Registry
	log       *zap.Logger
	engine    *engine.Engine
	guard     *guard.Guard
	stopping  atomic.Bool
	lastReady atomic.Bool // result of the last readiness probe
	// gracePeriod is the time from SIGTERM to SIGKILL, in nanoseconds.
	gracePeriod atomic.Int64
}

// New returns a host, which starts nothing before Run. droppedLines returns the number of
// lines that the logger has dropped.
func New(s *platform.Settings, log *zap.Logger, droppedLines func() int64) *Host {
	h := &Host{settings: s, registry: gometrics.NewRegistry(), log: logging.WithPart(log, "host")}
	h.gracePeriod.Store(int64(s.ShutdownGracePeriod))
	metrics.RegisterCounter(h.registry, "log.dropped", droppedLines)
	h.registerMetrics()
	h.guard = guard.New(guard.Options{
		MemoryMB: s.MemoryLimitMB, MaxDescriptors: s.MaxDescriptors, OutgoingConns: platform.OpenConns,
		Metrics: h.registry, Logger: logging.WithPart(log, "guard"),
	})
	h.engine = engine.New(engine.Options{
		Host: s.Host, CPUShare: s.CPUShare, Store: platform.NewStoreClient(s.StoreAddress), Workers: platform.NewWorkerClient(), Advisor: advisor(s), Machines: machines(s),
		StatusTopic: platform.TopicStatus, EncodeWaveStatus: platform.EncodeWaveStatus,
		OperatorTopic: platform.TopicOperator, WorkerTopic: platform.TopicWorkers,
		DecodeOperator: platform.DecodeOperator, DecodeWorker: platform.DecodeWorker,
		Bounds:             bounds(s),
		StoreLimits:        store.Limits{RecordBytes: s.StoreRecordBytes, CallBytes: s.StoreCallBytes},
		MaxRevocationDelay: s.MaxRevocationDelay, MinMembershipTTL: s.MinMembershipTTL,
		PeerTransport: peerTransport(s), Zone: s.Zone,
		Now: boottime.Now, WallClock: time.Now, Metrics: h.registry, Logger: log,
	})
	return h
}

// registerMetrics registers the gauges for the manifest and the ownership.
func (h *Host) registerMetrics() {
	metrics.RegisterGauge(h.registry, "manifest.proof_age_ms", func() int64 { return h.engine.Operator.View().Staleness.Milliseconds() })
	metrics.RegisterGauge(h.registry, "manifest.version", func() int64 {
		if m := h.engine.Operator.View().Manifest; m != nil {
			return m.Version
		}
		return 0
	})
	metrics.RegisterGauge(h.registry, "scheduler.owner", func() int64 { return metrics.BoolValue(h.engine.IsOwner()) })
}

// advisor returns a client of the advice service, or nil if the platform has none.
func advisor(s *platform.Settings) workers.Advisor {
	if !s.AdviceAddress.IsValid() {
		return nil
	}
	return platform.NewAdviceClient(s.AdviceAddress)
}

// machines returns a client of the machine API, or nil if the platform has none.
func machines(s *platform.Settings) workers.Machines {
	if !s.MachinesAddress.IsValid() {
		return nil
	}
	return platform.NewMachineClient(s.MachinesAddress)
}

func bounds(s *platform.Settings) scheduler.Bounds {
	return scheduler.Bounds{
		MaxLease: s.MaxLease, StopTimeout: s.StopTimeout, StatusRetention: s.StatusRetention, WorkerHeartbeatInterval: s.WorkerHeartbeatInterval,
		HolderLease: s.HolderLease, UpkeepDuration: s.UpkeepDuration,
	}
}

// Reload applies the time limits of changed settings. Changes of names, addresses and
// resource limits need a restart. Open connections are not closed.
func (h *Host) Reload(s *platform.Settings) {
	h.engine.SetBounds(bounds(s), s.MaxRevocationDelay)
	h.gracePeriod.Store(int64(s.ShutdownGracePeriod))
	needsRestart := s.Host != h.settings.Host || s.FrontAddress != h.settings.FrontAddress || s.ReadyAddress != h.settings.ReadyAddress || s.StoreAddress != h.settings.StoreAddress
	h.log.Info("settings reloaded", zap.Bool("addresses_need_restart", needsRestart))
}

// SetMemoryLimit sets the memory limit of the Go runtime, unless the environment variable
// GOMEMLIMIT sets it.
func SetMemoryLimit(s *platform.Settings) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(softMemoryLimitFraction * float64(s.MemoryLimitMB) * bytesPerMiB))
	}
}

// Run serves until stop is closed or the context ends, then gives up ownership, drains
// the open requests and returns within the grace period.
func (h *Host) Run(ctx context.Context, stop <-chan struct{}) error {
	metricsAddress := net.JoinHostPort(h.settings.FrontAddress.Addr().String(), strconv.Itoa(metricsPort))
	listeners, err := listenAll(h.settings.FrontAddress.String(), h.settings.ReadyAddress.String(), metricsAddress)
	if err != nil {
		return err
	}
	frontListener, readyListener, metricsListener := listeners[0], listeners[1], listeners[2]
	h.log.Info("start", zap.String("host", h.settings.Host), zap.String("zone", h.settings.Zone),
		zap.Stringer("front", h.settings.FrontAddress), zap.String("metrics", metricsAddress))
	group, ctx := errgroup.WithContext(ctx)
	followerCtx, stopFollowers := context.WithCancel(ctx)
	defer stopFollowers()
	evicted := func() { h.guard.Refuse(guard.Connections) }
	frontServer := drain.NewServer(h.newServer(platform.NewFrontHandler(h.engine.Intake, h.guard, h.log)),
		drain.Limits{Conns: h.guard.MaxConns, Receiving: h.guard.MaxReceiving(), Evicted: evicted}, h.log)
	operationLimits := drain.Limits{Conns: func() int { return guard.MaxOperationConns }, Evicted: evicted}
	readyServer := drain.NewServer(h.newServer(http.HandlerFunc(h.serveReady)), operationLimits, h.log)
	metricsServer := drain.NewServer(h.newServer(metrics.Handler(h.registry)), operationLimits, h.log)
	metrics.RegisterGauge(h.registry, "guard.connections", func() int64 { return int64(frontServer.OpenConns()) })
	group.Go(func() error { return frontServer.Serve(frontListener) })
	group.Go(func() error { return readyServer.Serve(readyListener) })
	group.Go(func() error { return metricsServer.Serve(metricsListener) })
	group.Go(func() error { return h.engine.RunFollowers(followerCtx) })
	closeRelay := h.serveRelay(followerCtx, group)
	defer closeRelay()
	schedulerCtx, stopScheduler := context.WithCancel(followerCtx)
	defer stopScheduler()
	schedulerStopped := make(chan struct{})
	group.Go(func() error { defer close(schedulerStopped); return h.engine.RunScheduler(schedulerCtx) })
	select {
	case <-stop:
	case <-ctx.Done():
	}
	deadlines := h.beginStop()
	stopScheduler() // takes its time while callers are served
	h.drain(frontServer, deadlines)
	waitUntil(schedulerStopped, deadlines.End)
	closeRelay()
	readyServer.Close() // open probes and scrapes may be aborted
	metricsServer.Close()
	stopFollowers()
	err = h.waitForGroup(group, deadlines.End)
	h.log.Info("stop", zap.Error(err))
	return err
}

// listenAll listens on all addresses, or on none of them if one fails.
func listenAll(addresses ...string) ([]*net.TCPListener, error) {
	var listeners []*net.TCPListener
	for _, address := range addresses {
		l, err := listen(address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func listen(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l.(*net.TCPListener), nil
}

// newServer returns a server whose errors go to the host's log, which never blocks.
func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(h.log),
	}
}

// serveReady responds to a readiness probe of the load balancer.
func (h *Host) serveReady(rw http.ResponseWriter, _ *http.Request) {
	ok, reason := h.engine.Ready()
	if h.stopping.Load() {
		ok, reason = false, "the host is stopping"
	}
	if h.lastReady.Swap(ok) != ok {
		h.log.Info("readiness changed", zap.Bool("ready", ok), zap.String("why", reason),
			zap.Duration("proof_age", h.engine.Operator.View().Staleness))
	}
	if !ok {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.WriteHeader(http.StatusOK)
}
