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
	// drainSeconds leaves room for the longest request of the workload.
	drainSeconds = 10
	endTimeout   = 2 * time.Second
	controlLimit = 10 * time.Second
)

// host is one entry host and its daemon.
type host struct {
	id       model.HostID
	zone     model.Zone
	api      string // host:port
	peer     string
	settings string
	logPath  string

	mu      sync.Mutex
	process *process
}

func (h *host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// Cluster is an emulator and its daemons.
type Cluster struct {
	bin      string
	dir      string
	emulator *process
	base     string // the emulator's base URL
	hosts    []*host
	links    *links // nil without proxies
	http     *http.Client
	// retention is ClusterOptions.Retention.
	retention time.Duration
}

// ClusterOptions describe a cluster to start.
type ClusterOptions struct {
	Bin        string // directory of the programs
	Dir        string // for settings and logs
	Deployment string // the emulator's deployment file
	Seed       uint64
	Proxies    bool // put a fault-injecting proxy into every link of a daemon
	// WorkersPerZone replaces the number in the deployment file if it is not 0.
	WorkersPerZone int
	// Retention is how long the log keeps records, in whole seconds; 0 means the
	// deployment file's.
	Retention time.Duration
}

// StartCluster starts the emulator and two daemons in each of its zones.
func StartCluster(ctx context.Context, o ClusterOptions) (*Cluster, error) {
	d, err := emulator.Load(o.Deployment)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Cluster{bin: o.Bin, dir: o.Dir, retention: o.Retention, http: &http.Client{Timeout: controlLimit}}
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

func (c *Cluster) startEmulator(ctx context.Context, o ClusterOptions) error {
	addresses, err := freeAddresses(1)
	if err != nil {
		return trace.Wrap(err)
	}
	c.base = "http://" + addresses[0]
	args := []string{"--listen", addresses[0], "--deployment", o.Deployment, "--seed", fmt.Sprint(o.Seed)}
	if o.WorkersPerZone > 0 {
		args = append(args, "--workers-per-zone", fmt.Sprint(o.WorkersPerZone))
	}
	if o.Retention > 0 {
		args = append(args, "--retention", fmt.Sprint(int(o.Retention.Seconds())))
	}
	if o.Proxies {
		args = append(args, "--one-port") // the proxies stand before that port
	}
	c.emulator, err = startProcess("emulator", filepath.Join(c.dir, "emulator.log"),
		filepath.Join(c.bin, "daisyfold-emulator"), args...)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.await(ctx, "the emulator", func() (bool, string) {
		status, body, err := c.get(ctx, c.base+"/control/stats")
		return err == nil && status == http.StatusOK, body
	}))
}

// configureHosts chooses addresses and writes the daemons' settings.
func (c *Cluster) configureHosts(d emulator.Deployment, proxies bool) error {
	addresses, err := freeAddresses(2 * hostsPerZone * len(d.Zones))
	if err != nil {
		return trace.Wrap(err)
	}
	for _, zone := range d.Zones {
		for i := range hostsPerZone {
			id := model.HostID(fmt.Sprintf("%s-%d", zone.Name, i+1))
			c.hosts = append(c.hosts, &host{
				id:       id,
				zone:     zone.Name,
				api:      addresses[0],
				peer:     addresses[1],
				settings: filepath.Join(c.dir, string(id)+".jsonc"),
				logPath:  filepath.Join(c.dir, string(id)+".log"),
			})
			addresses = addresses[2:]
		}
	}
	if proxies {
		c.links = newLinks()
	}
	for _, h := range c.hosts {
		settings, err := c.settingsOf(h)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := settings.write(h.settings); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (c *Cluster) settingsOf(h *host) (daemonSettings, error) {
	s := daemonSettings{
		Host:         h.id,
		Zone:         h.zone,
		Region:       "bretagne",
		Listen:       listenSettings{API: h.api, Peer: h.peer},
		Platform:     platformSettings{Log: c.base, HostList: c.base},
		DrainSeconds: drainSeconds,
		Log:          logSettings{Level: "info"},

		LogRetentionSeconds: int(c.retention.Seconds()),
	}
	for _, other := range c.hosts {
		if other != h {
			peer := peerSettings{Host: other.id, Zone: other.zone, Address: "http://" + other.peer}
			s.Peers = append(s.Peers, peer)
		}
	}
	if c.links == nil {
		return s, nil
	}
	return s, trace.Wrap(c.links.route(&s, strings.TrimPrefix(c.base, "http://"), c.newList))
}

// newList asks the emulator for a host list whose workers and targets are at the
// given address.
func (c *Cluster) newList(workers string) (string, error) {
	var answer emulator.HostListResponse
	ctx, cancel := context.WithTimeout(context.Background(), controlLimit)
	defer cancel()
	err := c.post(ctx, "/control/lists", emulator.HostListRequest{Authority: workers}, &answer)
	return answer.Address, trace.Wrap(err)
}

// host returns the host with the given id.
func (c *Cluster) host(id model.HostID) (*host, error) {
	for _, h := range c.hosts {
		if h.id == id {
			return h, nil
		}
	}
	return nil, trace.NotFound("no host %s", id)
}

// StartHost starts a host's daemon and tells the platform about the host.
func (c *Cluster) StartHost(ctx context.Context, id model.HostID) error {
	h, err := c.host(id)
	if err != nil {
		return trace.Wrap(err)
	}
	p, err := startProcess(string(id), h.logPath, filepath.Join(c.bin, "daisyfoldd"), "--settings", h.settings)
	if err != nil {
		return trace.Wrap(err)
	}
	h.mu.Lock()
	h.process = p
	h.mu.Unlock()
	return trace.Wrap(c.announce(ctx, h, false, false))
}

// announce tells the platform about a host.
func (c *Cluster) announce(ctx context.Context, h *host, leaving, gone bool) error {
	entry := hostlist.EntryHost{ID: h.id, Zone: h.zone, Leaving: leaving}
	change := emulator.HostChange{Host: entry, Removed: gone}
	return trace.Wrap(c.SetFaults(ctx, emulator.Faults{Hosts: []emulator.HostChange{change}}))
}

// Kill ends a host's daemon without notice.
func (c *Cluster) Kill(ctx context.Context, id model.HostID) error {
	h, err := c.host(id)
	if err != nil {
		return trace.Wrap(err)
	}
	p := h.current()
	p.signal(syscall.SIGKILL)
	p.waitEnd(endTimeout)
	return trace.Wrap(c.announce(ctx, h, false, true))
}

// StopHost stops a host's daemon gracefully and returns how it ended.
func (c *Cluster) StopHost(ctx context.Context, id model.HostID) error {
	h, err := c.host(id)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.announce(ctx, h, true, false); err != nil {
		return trace.Wrap(err)
	}
	p := h.current()
	p.signal(syscall.SIGTERM)
	if !p.waitEnd((drainSeconds + 5) * time.Second) {
		return trace.LimitExceeded("%s did not end within its drain deadline", id)
	}
	if err := c.announce(ctx, h, false, true); err != nil {
		return trace.Wrap(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return trace.Wrap(p.exit, "%s", id)
}

// Signal sends a signal to a host's daemon.
func (c *Cluster) Signal(id model.HostID, s syscall.Signal) error {
	h, err := c.host(id)
	if err != nil {
		return trace.Wrap(err)
	}
	h.current().signal(s)
	return nil
}

// Stop ends all processes that the cluster started.
func (c *Cluster) Stop() {
	var wait sync.WaitGroup
	for _, h := range c.hosts {
		if p := h.current(); p != nil {
			wait.Go(func() { p.end(endTimeout) })
		}
	}
	wait.Wait()
	if c.emulator != nil {
		c.emulator.end(endTimeout)
	}
	if c.links != nil {
		c.links.close()
	}
}

// crashed lists the daemons that ended although nobody stopped them.
func (c *Cluster) crashed(expected map[model.HostID]bool) []model.HostID {
	var list []model.HostID
	for _, h := range c.hosts {
		if !expected[h.id] && !h.current().running() {
			list = append(list, h.id)
		}
	}
	return list
}

// AwaitAPI waits until every running daemon answers its readiness endpoint, ready
// or not.
func (c *Cluster) AwaitAPI(ctx context.Context) error {
	return c.awaitHosts(ctx, "the API", func(status int) bool { return status != 0 })
}

// AwaitReady waits until every running daemon is ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	return c.awaitHosts(ctx, "readiness", func(status int) bool { return status == http.StatusOK })
}

func (c *Cluster) awaitHosts(ctx context.Context, what string, good func(status int) bool) error {
	for _, h := range c.hosts {
		if !h.current().running() {
			continue
		}
		ended := false
		err := c.await(ctx, fmt.Sprintf("%s of %s", what, h.id), func() (bool, string) {
			ended = !h.current().running()
			status, body, err := c.get(ctx, "http://"+h.api+"/readyz")
			if err != nil {
				return ended, err.Error()
			}
			return ended || good(status), body
		})
		if ended {
			return trace.Errorf("%s ended by itself, see %s", h.id, h.logPath)
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// await polls a condition until it holds or the context ends. The condition also
// returns what it saw last.
func (c *Cluster) await(ctx context.Context, what string, condition func() (bool, string)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		met, seen := condition()
		if met {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return trace.LimitExceeded("waited in vain for %s; last seen: %s", what, seen)
		}
	}
}

func (c *Cluster) get(ctx context.Context, url string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, "", trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), trace.Wrap(err)
}

// SetFaults changes the platform's faults.
func (c *Cluster) SetFaults(ctx context.Context, f emulator.Faults) error {
	return trace.Wrap(c.post(ctx, "/control/faults", f, nil))
}

// post calls the emulator's control API.
func (c *Cluster) post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.http.Do(request)
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
	if answer == nil {
		return nil
	}
	return trace.Wrap(json.Unmarshal(text, answer))
}

// Ledger reads the platform's ledger.
func (c *Cluster) Ledger(ctx context.Context) (ledger.Ledger, error) {
	var l ledger.Ledger
	_, body, err := c.get(ctx, c.base+"/control/ledger")
	if err != nil {
		return l, trace.Wrap(err)
	}
	return l, trace.Wrap(json.Unmarshal([]byte(body), &l))
}
