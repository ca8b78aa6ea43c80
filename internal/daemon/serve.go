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

// servers holds the HTTP servers for callers and for peers.
type servers struct {
	api, peer *http.Server
}

// serve starts the servers for callers and for peers in group. Both are closed when ctx
// ends.
func (d *Daemon) serve(ctx context.Context, group *errgroup.Group, apiListener, peerListener net.Listener) servers {
	s := servers{api: d.newAPIServer(), peer: d.newPeerServer()}
	s.api.ErrorLog = zap.NewStdLog(d.partLogger("api"))
	s.peer.ErrorLog = zap.NewStdLog(d.partLogger("peer"))
	group.Go(func() error { return serveListener(s.api, apiListener) })
	countingListener := platformhttp.NewCounters(d.Registry, peerCounterPrefix).CountListener(peerListener)
	group.Go(func() error { return serveListener(s.peer, countingListener) })
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(s.api.Close(), s.peer.Close())
	})
	return s
}

// serveListener serves until the server is closed, over TLS if the server has a TLS
// configuration.
func serveListener(s *http.Server, l net.Listener) error {
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

func (d *Daemon) newAPIServer() *http.Server {
	handler := apiserver.NewHandler(apiserver.Deps{
		Jobs: jobsAPI{d.jobs, d.members}, Calls: callsAPI{d.calls}, Configs: d.configSync, Status: d,
		Config: d.board.Config.Get, Ready: d.checkReady, Leaving: d.leaving,
		BootstrapKeyHash: d.Settings.BootstrapKeyHash,
	})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler(d.Registry))
	mux.Handle("/", tracing.Middleware(tracing.HopEntry, handler))
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, TLSConfig: d.External.CallerTLS}
}

func (d *Daemon) newPeerServer() *http.Server {
	rpc := &peerserver.Server{
		Members: d.members, Configs: d.configSync, Copies: copyStore{d}, Outcomes: callOutcomes{d.calls},
		Reasons: d.jobTable, Relay: recordRelay{d.jobs},
	}
	s := peerserver.NewHTTPServer(tracing.ChildMiddleware(tracing.HopPeer, peerserver.Handler(rpc)))
	s.TLSConfig = d.External.PeerTLS
	return s
}

// recordRelay appends records to the log for peers.
type recordRelay struct{ jobs *jobs.Service }

// Relay implements peerserver.RecordRelay.
func (r recordRelay) Relay(ctx context.Context, rec journal.StreamRecord) (recorded, effective bool) {
	return r.jobs.AppendForPeer(ctx, rec)
}

// copyStore stores copies of records for peers.
type copyStore struct{ d *Daemon }

// Store implements peerserver.RecordStore. It also applies job records to the job table,
// so that this host acts on them before they are read from the log.
func (c copyStore) Store(records []journal.StreamRecord) bool {
	if !c.d.journal.Copies().Store(records) {
		return false
	}
	for _, r := range records {
		if r.Stream == journal.StreamJobs {
			c.d.jobTable.ApplyProvisional(r.Record)
		}
	}
	return true
}

// checkReady returns nil, or an error that states why the host should get no new work.
func (d *Daemon) checkReady() error {
	switch {
	case d.stopping.Load():
		return errors.New("leaving")
	case d.board.Hosts.Get() == nil:
		return errors.New("the host list has not been read")
	case !d.journal.Replayed(journal.StreamJobs) || !d.journal.Replayed(journal.StreamCalls):
		return errors.New("the log has not been read to its end")
	default:
		return nil
	}
}

// drain performs a planned stop: it announces that the host is leaving, hands over its
// shards, waits for requests in progress and flushes the journal.
func (d *Daemon) drain(ctx context.Context, s servers) {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.DrainTimeout())
	defer cancel()
	d.recordEvent("planned stop begins")
	d.stopping.Store(true)
	close(d.leaving)
	d.members.SetLeaving(ctx)
	d.shards.Stop(ctx)
	if err := s.api.Shutdown(ctx); err != nil {
		d.log.Warn("requests were still in progress at the drain deadline")
	}
	if err := d.calls.Drain(ctx); err != nil {
		d.log.Warn("calls were still in progress at the drain deadline")
	}
	flushCtx, cancelFlush := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancelFlush()
	if err := d.journal.Flush(flushCtx); err != nil {
		d.log.Warn("cannot flush the journal: " + err.Error())
	}
	_ = s.peer.Shutdown(flushCtx)
}

// recordEvent logs a message and adds it to the events of the API.
func (d *Daemon) recordEvent(msg string) {
	d.board.Events.Add(blackboard.Event{Time: d.Now(), Part: "daemon", Message: msg})
	d.log.Info(msg)
}

// Events implements apiserver.StatusSource.
func (d *Daemon) Events(since time.Time) []blackboard.Event { return d.board.Events.Since(since) }
