package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

const (
	hostsPerZone = 2
	pollInterval = 50 * time.Millisecond
	// drainSeconds is longer than the longest request of the workload.
	drainSeconds   = 10
	exitTimeout    = 2 * time.Second
	controlTimeout = 10 * time.Second
)

// host is an entry host and its daemon.
type host struct {
	id           model.HostID
	zone         model.Zone
	apiAddress   string // host:port
	peerAddress  string
	settingsPath string
	logPath      string

	mu      sync.Mutex
	process *process
}

func (h *host) currentProcess() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// Cluster is an emulator and a set of daemons, all run as processes.
type Cluster struct {
	binDir      string
	workDir     string
	emulator    *process
	emulatorURL string // base URL
	hosts       []*host
	links       *proxiedLinks // nil without proxies
	httpClient  *http.Client
	// retention is ClusterOptions.Retention.
	retention time.Duration
}

// ClusterOptions describes a cluster to start.
type ClusterOptions struct {
	BinDir         string // directory of the binaries
	WorkDir        string // directory of settings and logs
	DeploymentFile string // deployment file of the emulator
	Seed           uint64
	Proxies        bool // put a fault-injecting proxy into each link of each daemon
	// WorkersPerZone replaces the number in the deployment file unless it is 0.
	WorkersPerZone int
	// Retention is how long the log keeps records, in whole seconds; 0 keeps the value of
	// the deployment file.
	Retention time.Duration
}

// StartCluster starts the emulator and two daemons in each of its zones. It stops all of
// them if one fails to start.
func StartCluster(ctx context.Context, o ClusterOptions) (*Cluster, error) {
	d, err := emulator.Load(o.DeploymentFile)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Cluster{binDir: o.BinDir, workDir: o.WorkDir, retention: o.Retention, httpClient: &http.Client{Timeout: controlTimeout}}
	if err := c.startEmulator(ctx, o); err != nil {
		c.Stop()
		return nil, trace.Wrap(err)
	}
	if err := c.configureHosts(d, o.Proxies); err != nil {
		c.Stop()
		return nil, trace.Wrap(err)
	}
	for _, h := range c.hosts {
		if err := c.StartHost(ctx, h.id); err != nil {
			c.Stop()
			return nil, trace.Wrap(err)
		}
	}
	return c, nil
}

// startEmulator starts the emulator and waits until it answers.
func (c *Cluster) startEmulator(ctx context.Context, o ClusterOptions) error {
	addresses, err := freeAddresses(1)
	if err != nil {
		return trace.Wrap(err)
	}
	c.emulatorURL = "http://" + addresses[0]
	args := []string{"--listen", addresses[0], "--deployment", o.DeploymentFile, "--seed", fmt.Sprint(o.Seed)}
	if o.WorkersPerZone > 0 {
		args = append(args, "--workers-per-zone", fmt.Sprint(o.WorkersPerZone))
	}
	if o.Retention > 0 {
		args = append(args, "--retention", fmt.Sprint(int(o.Retention.Seconds())))
	}
	if o.Proxies {
		args = append(args, "--one-port") // the proxies forward to that port
	}
	c.emulator, err = startProcess("emulator", filepath.Join(c.workDir, "emulator.log"),
		filepath.Join(c.binDir, "daisyfold-emulator"), args...)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.await(ctx, "the emulator", func() (bool, string) {
		status, body, err := c.get(ctx, c.emulatorURL+"/control/stats")
		return err == nil && status == http.StatusOK, body
	}))
}

// configureHosts chooses the addresses of the daemons and writes their settings files.
func (c *Cluster) configureHosts(d emulator.Deployment, proxies bool) error {
	addresses, err := freeAddresses(2 * hostsPerZone * len(d.Zones))
	if err != nil {
		return trace.Wrap(err)
	}
	for _, zone := range d.Zones {
		for i := range hostsPerZone {
			id := model.HostID(fmt.Sprintf("%s-%d", zone.Name, i+1))
			c.hosts = append(c.hosts, &host{
				id:           id,
				zone:         zone.Name,
				apiAddress:   addresses[0],
				peerAddress:  addresses[1],
				settingsPath: filepath.Join(c.workDir, string(id)+".jsonc"),
				logPath:      filepath.Join(c.workDir, string(id)+".log"),
			})
			addresses = addresses[2:]
		}
	}
	if proxies {
		c.links = newProxiedLinks()
	}
	for _, h := range c.hosts {
		settings, err := c.daemonSettingsFor(h)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := settings.write(h.settingsPath); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// daemonSettingsFor returns the settings of a host's daemon. With proxies, it starts those
// of the daemon's links.
func (c *Cluster) daemonSettingsFor(h *host) (daemonSettings, error) {
	s := daemonSettings{
		Host:         h.id,
		Zone:         h.zone,
		Region:       "bretagne",
		Listen:       listenSettings{API: h.apiAddress, Peer: h.peerAddress},
		Platform:     platformSettings{Log: c.emulatorURL, HostList: c.emulatorURL},
		DrainSeconds: drainSeconds,
		Log:          logSettings{Level: "info"},

		LogRetentionSeconds: int(c.retention.Seconds()),
	}
	for _, other := range c.hosts {
		if other != h {
			peer := peerSettings{Host: other.id, Zone: other.zone, Address: "http://" + other.peerAddress}
			s.Peers = append(s.Peers, peer)
		}
	}
	if c.links == nil {
		return s, nil
	}
	return s, trace.Wrap(c.links.insertProxies(&s, strings.TrimPrefix(c.emulatorURL, "http://"), c.newHostList))
}

// newHostList makes the emulator serve another host list, in which all workers and targets
// have the given address, and returns the address of that list.
func (c *Cluster) newHostList(workerAddress string) (string, error) {
	var response emulator.HostListResponse
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	err := c.post(ctx, "/control/lists", emulator.HostListRequest{Authority: workerAddress}, &response)
	return response.Address, trace.Wrap(err)
}

// findHost returns the host with the given ID, or a NotFound error.
func (c *Cluster) findHost(id model.HostID) (*host, error) {
	for _, h := range c.hosts {
		if h.id == id {
			return h, nil
		}
	}
	return nil, trace.NotFound("no host %s", id)
}

// StartHost starts the daemon of a host and adds the host to the platform's host list.
func (c *Cluster) StartHost(ctx context.Context, id model.HostID) error {
	h, err := c.findHost(id)
	if err != nil {
		return trace.Wrap(err)
	}
	p, err := startProcess(string(id), h.logPath, filepath.Join(c.binDir, "daisyfoldd"), "--settings", h.settingsPath)
	if err != nil {
		return trace.Wrap(err)
	}
	h.mu.Lock()
	h.process = p
	h.mu.Unlock()
	return trace.Wrap(c.setHostListEntry(ctx, h, false, false))
}

// setHostListEntry changes the entry of a host in the platform's host list.
func (c *Cluster) setHostListEntry(ctx context.Context, h *host, leaving, removed bool) error {
	entry := hostlist.EntryHost{ID: h.id, Zone: h.zone, Leaving: leaving}
	change := emulator.HostChange{Host: entry, Removed: removed}
	return trace.Wrap(c.SetFaults(ctx, emulator.Faults{Hosts: []emulator.HostChange{change}}))
}

// KillHost kills the daemon of a host with SIGKILL and removes the host from the host list.
func (c *Cluster) KillHost(ctx context.Context, id model.HostID) error {
	h, err := c.findHost(id)
	if err != nil {
		return trace.Wrap(err)
	}
	p := h.currentProcess()
	p.signal(syscall.SIGKILL)
	p.waitExitTimeout(exitTimeout)
	return trace.Wrap(c.setHostListEntry(ctx, h, false, true))
}

// StopHost stops the daemon of a host gracefully. It returns an error if the daemon does not
// exit in time or exits with an error.
func (c *Cluster) StopHost(ctx context.Context, id model.HostID) error {
	h, err := c.findHost(id)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.setHostListEntry(ctx, h, true, false); err != nil {
		return trace.Wrap(err)
	}
	p := h.currentProcess()
	p.signal(syscall.SIGTERM)
	if !p.waitExitTimeout((drainSeconds + 5) * time.Second) {
		return trace.LimitExceeded("%s did not exit within its drain deadline", id)
	}
	if err := c.setHostListEntry(ctx, h, false, true); err != nil {
		return trace.Wrap(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return trace.Wrap(p.exitErr, "%s", id)
}

// SignalHost sends a signal to the daemon of a host.
func (c *Cluster) SignalHost(id model.HostID, s syscall.Signal) error {
	h, err := c.findHost(id)
	if err != nil {
		return trace.Wrap(err)
	}
	h.currentProcess().signal(s)
	return nil
}

// Stop ends all processes and proxies of the cluster.
func (c *Cluster) Stop() {
	var wg sync.WaitGroup
	for _, h := range c.hosts {
		if p := h.currentProcess(); p != nil {
			wg.Go(func() { p.stop(exitTimeout) })
		}
	}
	wg.Wait()
	if c.emulator != nil {
		c.emulator.stop(exitTimeout)
	}
	if c.links != nil {
		c.links.close()
	}
}

// unexpectedExits returns the hosts whose daemons exited and are not in expected.
func (c *Cluster) unexpectedExits(expected map[model.HostID]bool) []model.HostID {
	var exited []model.HostID
	for _, h := range c.hosts {
		if !expected[h.id] && !h.currentProcess().isRunning() {
			exited = append(exited, h.id)
		}
	}
	return exited
}

// AwaitAPI waits until every running daemon answers its readiness endpoint, whether it is
// ready or not.
func (c *Cluster) AwaitAPI(ctx context.Context) error {
	return c.awaitHosts(ctx, "the API", func(status int) bool { return status != 0 })
}

// AwaitReady waits until every running daemon is ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	return c.awaitHosts(ctx, "readiness", func(status int) bool { return status == http.StatusOK })
}

// awaitHosts waits until accept returns true for the readiness status of every running
// daemon.
func (c *Cluster) awaitHosts(ctx context.Context, what string, accept func(status int) bool) error {
	for _, h := range c.hosts {
		if !h.currentProcess().isRunning() {
			continue
		}
		exited := false
		err := c.await(ctx, fmt.Sprintf("%s of %s", what, h.id), func() (bool, string) {
			exited = !h.currentProcess().isRunning()
			status, body, err := c.get(ctx, "http://"+h.apiAddress+"/readyz")
			if err != nil {
				return exited, err.Error()
			}
			return exited || accept(status), body
		})
		if exited {
			return trace.Errorf("%s exited unexpectedly; see %s", h.id, h.logPath)
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// await polls a condition until it holds or the context ends. The condition also returns a
// description of the observed state for the error message.
func (c *Cluster) await(ctx context.Context, what string, condition func() (bool, string)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ok, lastSeen := condition()
		if ok {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return trace.LimitExceeded("timed out waiting for %s; last state: %s", what, lastSeen)
		}
	}
}

// get returns the status code and the body of the response.
func (c *Cluster) get(ctx context.Context, url string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", trace.Wrap(err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0, "", trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), trace.Wrap(err)
}

// SetFaults changes the injected faults and the host list of the emulator.
func (c *Cluster) SetFaults(ctx context.Context, f emulator.Faults) error {
	return trace.Wrap(c.post(ctx, "/control/faults", f, nil))
}

// post sends a request to the emulator's control API and decodes the response into result
// unless that is nil.
func (c *Cluster) post(ctx context.Context, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.emulatorURL+path, bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return trace.BadParameter("the emulator answered %d: %s", response.StatusCode, text)
	}
	if result == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(text, result))
}

// Ledger returns the emulator's record of all executions.
func (c *Cluster) Ledger(ctx context.Context) (ledger.Ledger, error) {
	var l ledger.Ledger
	_, body, err := c.get(ctx, c.emulatorURL+"/control/ledger")
	if err != nil {
		return l, trace.Wrap(err)
	}
	return l, trace.Wrap(json.Unmarshal([]byte(body), &l))
}
