package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/apiserver"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/metrics"
	"github.com/daisyfold/daisyfold/internal/peerserver"
	"github.com/daisyfold/daisyfold/internal/platform/platformhttp"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

// servers are the two listeners of the daemon.
type servers struct {
	api, peer *http.Server
}

// serve starts the API for callers and the one for peers.
func (d *Daemon) serve(ctx context.Context, g *errgroup.Group, apiL, peerL net.Listener) servers {
	s := servers{api: d.apiServer(), peer: d.peerServer()}
	s.api.ErrorLog = zap.NewStdLog(d.part("api"))
	s.peer.ErrorLog = zap.NewStdLog(d.part("peer"))
	g.Go(func() error { return serveOne(s.api, apiL) })
	counted := platformhttp.NewCounters(d.Registry, peerBytes).CountListener(peerL)
	g.Go(func() error { return serveOne(s.peer, counted) })
	g.Go(func() error {
		<-ctx.Done()
		return errors.Join(s.api.Close(), s.peer.Close())
	})
	return s
}

func serveOne(s *http.Server, l net.Listener) error {
	var err error
	if s.TLSConfig != nil {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (d *Daemon) apiServer() *http.Server {
	handler := apiserver.NewHandler(apiserver.Deps{
		Jobs: jobsAPI{d.jobs, d.members}, Calls: callsAPI{d.calls}, Configs: d.sync, Status: d,
		Config: d.board.Config.Get, Ready: d.ready, Leaving: d.leaving,
		BootstrapKeyHash: d.Settings.BootstrapKeyHash,
	})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler(d.Registry))
	mux.Handle("/", tracing.Middleware(tracing.HopEntry, handler))
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeader, TLSConfig: d.Outside.CallerTLS}
}

func (d *Daemon) peerServer() *http.Server {
	srv := &peerserver.Server{
		Members: d.members, Configs: d.sync, Copies: copies{d}, Outcomes: outcomes{d.calls},
		Reasons: d.table, Relay: relay{d.jobs},
	}
	s := peerserver.NewHTTPServer(tracing.ChildMiddleware(tracing.HopPeer, peerserver.Handler(srv)))
	s.TLSConfig = d.Outside.PeerTLS
	return s
}

// relay appends records for peers.
type relay struct{ jobs *jobs.Service }

// Relay implements peerserver.RecordRelay.
func (r relay) Relay(ctx context.Context, rec journal.StreamRecord) (recorded, won bool) {
	return r.jobs.AppendForPeer(ctx, rec)
}

// copies stores records for peers and lets this host act on them at once.
type copies struct{ d *Daemon }

// Store implements peerserver.RecordStore.
func (c copies) Store(records []journal.StreamRecord) bool {
	if !c.d.journal.Copies().Store(records) {
		return false
	}
	for _, r := range records {
		if r.Stream == journal.StreamJobs {
			c.d.table.ApplyProvisional(r.Record)
		}
	}
	return true
}

// ready returns why the host should get no new work.
func (d *Daemon) ready() error {
	switch {
	case d.stopped.Load():
		return errors.New("leaving")
	case d.board.Hosts.Get() == nil:
		return errors.New("the host list has not been read")
	case !d.journal.Replayed(journal.StreamJobs) || !d.journal.Replayed(journal.StreamCalls):
		return errors.New("the log has not been read to its head")
	default:
		return nil
	}
}

// drain is the planned stop: say that the host leaves, hand its shards over, finish
// what is in progress, flush the journal.
func (d *Daemon) drain(ctx context.Context, s servers) {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.Drain())
	defer cancel()
	d.event("the planned stop begins")
	d.stopped.Store(true)
	close(d.leaving)
	d.members.SetLeaving(ctx)
	d.shards.Stop(ctx)
	if err := s.api.Shutdown(ctx); err != nil {
		d.log.Warn("requests were in progress at the drain deadline")
	}
	if err := d.calls.Drain(ctx); err != nil {
		d.log.Warn("calls were in progress at the drain deadline")
	}
	fctx, fcancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer fcancel()
	if err := d.journal.Flush(fctx); err != nil {
		d.log.Warn("records were not flushed: " + err.Error())
	}
	_ = s.peer.Shutdown(fctx)
}

func (d *Daemon) event(msg string) {
	d.board.Events.Add(blackboard.Event{Time: d.Now(), Part: "daemon", Message: msg})
	d.log.Info(msg)
}

// Events implements apiserver.StatusSource.
func (d *Daemon) Events(since time.Time) []blackboard.Event { return d.board.Events.Since(since) }
