package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// shutdownTimeout limits the wait for open calls when the emulator stops.
const shutdownTimeout = time.Second

// Serve serves the platform on the listener until the context ends, and each target on
// its own port if the deployment asks for that.
func Serve(ctx context.Context, d Deployment, listener net.Listener) error {
	e := New(d, "http://"+listener.Addr().String())
	servers := map[*http.Server]net.Listener{e.Server(): listener}
	if d.TargetPorts {
		if err := e.listenTargets(servers); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(serveAll(ctx, servers))
}

// serveAll runs the servers until the context ends or one of them fails.
func serveAll(ctx context.Context, servers map[*http.Server]net.Listener) error {
	failed := make(chan error, len(servers))
	for server, listener := range servers {
		go func() { failed <- server.Serve(listener) }()
	}
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	shutdown(servers)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// shutdown stops the servers and closes those that are not done after shutdownTimeout.
func shutdown(servers map[*http.Server]net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for server := range servers {
		wg.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		})
	}
	wg.Wait()
}

// listenTargets opens a port for each target, adds a server for it and publishes the new
// addresses.
func (e *Emulator) listenTargets(servers map[*http.Server]net.Listener) error {
	for _, t := range e.targets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		t.info.Address = "http://" + listener.Addr().String()
		limited := &limitedListener{Listener: listener, limit: int64(t.info.MaxConnections)}
		mux := http.NewServeMux()
		mux.HandleFunc("POST /call", t.serve)
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
		servers[server] = limited
	}
	e.hostList.publish()
	return nil
}

// HostListRequest is the body of POST /control/lists, which creates another host list
// on its own port. In that list the workers and targets of this server have addresses
// at Authority, where a scenario can run a proxy between one daemon and the workers.
type HostListRequest struct {
	Authority string `json:"authority"` // host:port
}

// HostListResponse contains the host:port of the new list, which is served until the
// process ends.
type HostListResponse struct {
	Address string `json:"address"`
}

// serveCreateHostList answers POST /control/lists.
func (e *Emulator) serveCreateHostList(rw http.ResponseWriter, r *http.Request) {
	var request HostListRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(rw http.ResponseWriter, r *http.Request) {
		e.hostList.serveTransformed(rw, r, func(list hostlist.List) hostlist.List {
			return replaceBaseURLs(list, e.baseURL, "http://"+request.Authority)
		})
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	writeJSON(rw, http.StatusOK, HostListResponse{Address: listener.Addr().String()})
}

// limitedListener closes new connections at once while limit connections are open.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

// limitedConn counts as open in its listener until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
