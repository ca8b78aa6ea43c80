// Package host runs the engine as one process on the platform: it wires the parts
// together and carries them from start to stop.
package host

import (
	"context"
	"errors"
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
	"github.com/daisyfold/daisyfold/internal/engine/scheduler"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/logging"
	"github.com/daisyfold/daisyfold/internal/metrics"
	"github.com/daisyfold/daisyfold/platform"
)

const (
	// metricsPort is the port that deploy/system.toml names for scrapes.
	metricsPort = 9464
	// idleTimeout and headerTimeout bound callers' connections.
	idleTimeout   = 15 * time.Second
	headerTimeout = 3 * time.Second
	maxHeader     = 16 << 10
	// drainPause is how long a stopping host goes on serving, until the balancer has
	// noticed that it is not ready.
	drainPause = 2500 * time.Millisecond
	// exitMargin is kept of the time until the platform kills a stopping process.
	exitMargin = 1500 * time.Millisecond
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.5
	mebibyte    = 1 << 20
)

// Host is one process.
type Host struct {
	settings *platform.Settings
	registry gometrics.Registry
	log      *zap.Logger
	engine   *engine.Engine
	stopping atomic.Bool
	ready    atomic.Bool // the last answer to the balancer
}

// New wires a process together; nothing runs before Run. dropped counts the lines that
// the log left out.
func New(s *platform.Settings, log *zap.Logger, dropped func() int64) *Host {
	h := &Host{settings: s, registry: gometrics.NewRegistry(), log: logging.WithPart(log, "host")}
	metrics.RegisterCounter(h.registry, "log.dropped", dropped)
	h.registerProofs()
	h.engine = engine.New(engine.Options{
		Host: s.Host, CPUShare: s.CPUShare, Store: platform.NewStoreClient(s.StoreAddress), Workers: platform.NewWorkerClient(), Advisor: advisor(s), Machines: machines(s),
		StatusTopic: platform.TopicStatus, WaveStatus: platform.EncodeWaveStatus,
		OperatorTopic: platform.TopicOperator, WorkerTopic: platform.TopicWorkers,
		DecodeOperator: platform.DecodeOperator, DecodeWorker: platform.DecodeWorker,
		Bounds:      bounds(s),
		RevokeBound: s.MaxRevocationDelay, MemberTTLMin: s.MinMembershipTTL,
		Now: boottime.Now, Wall: time.Now, Metrics: h.registry, Logger: log,
	})
	return h
}

// registerProofs shows how old the host's knowledge of the operator's will is.
func (h *Host) registerProofs() {
	metrics.RegisterGauge(h.registry, "manifest.proof_age_ms", func() int64 { return h.engine.Operator.View().Age.Milliseconds() })
	metrics.RegisterGauge(h.registry, "manifest.version", func() int64 {
		if m := h.engine.Operator.View().Manifest; m != nil {
			return m.Version
		}
		return 0
	})
	metrics.RegisterGauge(h.registry, "scheduler.owner", func() int64 { return metrics.BoolValue(h.engine.Owns()) })
}

// advisor is the client of the advice service, or nil if the platform has none.
func advisor(s *platform.Settings) workers.Advisor {
	if !s.AdviceAddress.IsValid() {
		return nil
	}
	return platform.NewAdviceClient(s.AdviceAddress)
}

// machines is the client of the machines' interface, or nil if the platform has none.
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

// Reload takes the bounds of changed settings. Names, addresses and limits stay as they
// were at the start. Nothing open is cut.
func (h *Host) Reload(s *platform.Settings) {
	h.engine.SetBounds(bounds(s), s.MaxRevocationDelay)
	restart := s.Host != h.settings.Host || s.FrontAddress != h.settings.FrontAddress || s.ReadyAddress != h.settings.ReadyAddress || s.StoreAddress != h.settings.StoreAddress
	h.log.Info("settings reloaded", zap.Bool("addresses_need_restart", restart))
}

// LimitMemory makes the collector keep the process within its limit.
func LimitMemory(s *platform.Settings) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimitMB) * mebibyte))
	}
}

// Run serves until stop is closed and the process has drained, or the context ends.
func (h *Host) Run(ctx context.Context, stop <-chan struct{}) error {
	front, err := listen(h.settings.FrontAddress.String())
	if err != nil {
		return err
	}
	ready, err := listen(h.settings.ReadyAddress.String())
	if err != nil {
		return err
	}
	scrape, err := listen(net.JoinHostPort(h.settings.FrontAddress.Addr().String(), strconv.Itoa(metricsPort)))
	if err != nil {
		return err
	}
	h.log.Info("start", zap.String("host", h.settings.Host), zap.String("zone", h.settings.Zone),
		zap.Stringer("front", h.settings.FrontAddress), zap.String("metrics", scrape.Addr().String()))
	group, ctx := errgroup.WithContext(ctx)
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := newServer(platform.NewFrontHandler(h.engine.Intake))
	probes := newServer(http.HandlerFunc(h.serveReady))
	scrapes := newServer(metrics.Handler(h.registry))
	serve(group, callers, front)
	serve(group, probes, ready)
	serve(group, scrapes, scrape)
	group.Go(func() error { return h.engine.Follow(background) })
	owning, release := context.WithCancel(background)
	defer release()
	left := make(chan struct{})
	group.Go(func() error { defer close(left); return h.engine.Own(owning) })
	group.Go(func() error {
		select {
		case <-stop:
		case <-ctx.Done():
		}
		release()
		<-left
		h.drain(callers, probes, scrapes)
		cancel()
		return nil
	})
	err = group.Wait()
	h.log.Info("stop", zap.Error(err))
	return err
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

func serve(group *errgroup.Group, s *http.Server, l net.Listener) {
	group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// serveReady answers the balancer's probe.
func (h *Host) serveReady(rw http.ResponseWriter, _ *http.Request) {
	ok, why := h.engine.Ready()
	if h.stopping.Load() {
		ok, why = false, "the host is stopping"
	}
	if h.ready.Swap(ok) != ok {
		h.log.Info("readiness changed", zap.Bool("ready", ok), zap.String("why", why),
			zap.Duration("proof_age", h.engine.Operator.View().Age))
	}
	if !ok {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rw.WriteHeader(http.StatusOK)
}

// drain takes the host out of the balancer and lets open requests end.
func (h *Host) drain(callers *http.Server, others ...*http.Server) {
	h.stopping.Store(true)
	h.log.Info("drain", zap.Duration("grace", h.settings.ShutdownGracePeriod))
	pause := min(drainPause, h.settings.ShutdownGracePeriod/2)
	callers.SetKeepAlivesEnabled(false)
	time.Sleep(pause)
	ctx, cancel := context.WithTimeout(context.Background(), max(h.settings.ShutdownGracePeriod-pause-exitMargin, exitMargin))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		h.log.Warn("requests were still open at the end of the drain", zap.Error(err))
	}
	for _, s := range others {
		_ = s.Close() // probes and scrapes may be cut
	}
}
