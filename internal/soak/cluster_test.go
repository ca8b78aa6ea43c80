package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	// The test builds the daemon. This import makes the cached result of the test depend
	// on the daemon's source.
	_ "github.com/daisyfold/daisyfold/internal/engine/host"
	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform"
	"github.com/daisyfold/daisyfold/platform/platformtest"
)

const (
	hostCount   = 4
	workerCount = 12
)

const maxLease = 6 * time.Second

const (
	frontPort = 8521
	readyPort = 8523
)

// Clusters of several test processes use different networks, the second bytes of the hosts'
// addresses.
const (
	firstNetwork = 10
	networkCount = 200
)

// cluster is a deployment of daemon processes on loopback addresses, with a simulated
// platform.
type cluster struct {
	t          *testing.T
	dir        string
	daemonPath string
	store      *standin.Store
	fleet      *standin.Fleet
	workers    []*standin.Worker
	hosts      []*process
}

// process is the daemon of one host. It reaches the store through a fault proxy.
type process struct {
	name, ip, settingsPath string
	proxy                  *faultproxy.Proxy
	logBlocked             bool // nobody reads the daemon's output
	mu                     sync.Mutex
	command                *exec.Cmd
	done                   chan struct{}
}

// testManifest returns a manifest with one queue for each priority.
func testManifest() *manifest.Manifest {
	return &manifest.Manifest{
		Version: 1,
		Queues: []manifest.Queue{
			{Name: "urgent", Host: "h", PathPrefix: "/urgent/", Service: "scores", Priority: 0, MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250},
			{Name: "normal", Host: "h", PathPrefix: "/normal/", Service: "scores", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000},
			{Name: "batch", Host: "h", PathPrefix: "/batch/", Service: "scores", Priority: 2, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 3000},
		},
		Organisations: []manifest.Organisation{{Name: "choir", Keys: []string{"key"}, GuaranteedAccelerators: 32}},
	}
}

func newCluster(t *testing.T, daemonPath string, seed uint64) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), daemonPath: daemonPath, store: standin.NewStore(seed)}
	c.store.Put(platform.TopicOperator, store.Record{Key: "config", Value: platformtest.EncodeManifest(testManifest())})
	c.fleet = standin.NewFleet(standin.FleetOptions{
		MaxLease: maxLease, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second, SaveInterval: 2 * time.Second,
		Restore: 250 * time.Millisecond, HeartbeatInterval: 1500 * time.Millisecond, CrossRackSlowdown: 3, Seed: seed, EncodeEntry: platformtest.EncodeWorkerEntry,
	}, c.store)
	storeServer := &http.Server{Handler: platformtest.NewStoreHandler(c.store), ReadHeaderTimeout: time.Second}
	storeListener := listen(t)
	go func() { _ = storeServer.Serve(storeListener) }()
	t.Cleanup(func() { _ = storeServer.Close() })
	for i := range workerCount {
		c.addWorker(i)
	}
	for i := range hostCount {
		c.addHost(i, storeListener.Addr().String(), int(seed%200))
	}
	t.Cleanup(c.close)
	return c
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (c *cluster) addWorker(i int) {
	l := listen(c.t)
	server := platformtest.ServeWorker(c.fleet, l)
	c.t.Cleanup(func() { _ = server.Close() })
	rack := fmt.Sprintf("rack-%d", i/6)
	c.workers = append(c.workers, c.fleet.AddWorker(workers.Entry{
		ID: fmt.Sprintf("w%02d", i), Service: "scores", Address: l.Addr().String(), Zone: fmt.Sprintf("zone-%d", i%4),
		Rack: rack, Labels: []string{"a", rack}, Capacity: work.Resources{CPU: 128_000, MemoryMB: 512 << 10, Accelerators: 8},
	}))
}

func (c *cluster) addHost(i int, storeAddress string, subnet int) {
	proxy, err := faultproxy.Listen(storeAddress)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(proxy.Close)
	p := &process{name: fmt.Sprintf("host-%d", i), ip: fmt.Sprintf("127.%d.%d.%d", firstNetwork+os.Getpid()%networkCount, subnet, i+1), proxy: proxy}
	p.settingsPath = filepath.Join(c.dir, p.name+".conf")
	text := platformtest.SettingsText(p.name, fmt.Sprintf("zone-%d", i), fmt.Sprintf("%s:%d", p.ip, frontPort),
		fmt.Sprintf("%s:%d", p.ip, readyPort), proxy.Address())
	if err := os.WriteFile(p.settingsPath, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.hosts = append(c.hosts, p)
	c.start(p)
}

// restart waits for the end of the process that closes done, and starts the host's daemon
// again, unless another fault has already done so.
func (c *cluster) restart(p *process, done chan struct{}) {
	<-done
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == done {
		c.startLocked(p)
	}
}

// start starts the host's daemon.
func (c *cluster) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.startLocked(p)
}

// startLocked is start for callers that hold the lock of the process. The log goes to a
// file beside the settings.
func (c *cluster) startLocked(p *process) {
	log, err := c.openLog(p)
	if err != nil {
		c.t.Error(err)
		return
	}
	command := exec.Command(c.daemonPath, "--platform")
	command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+p.settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		c.t.Error(err)
		return
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait() // killed processes end with an error
		_ = log.Close()
		close(done)
	}()
	p.command, p.done = command, done
}

// openLog opens the file for the output of the host's daemon, or a pipe that nobody reads.
func (c *cluster) openLog(p *process) (*os.File, error) {
	if !p.logBlocked {
		return os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	reader, writer, err := os.Pipe()
	if err == nil {
		c.t.Cleanup(func() { _ = reader.Close() })
	}
	return writer, err
}

// signal sends a signal to the process, if it is running, and returns a channel that is
// closed when the process has ended.
func (p *process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s) // an error means that the process has ended
	return p.done
}

func (c *cluster) close() {
	for _, p := range c.hosts {
		done := p.signal(syscall.SIGKILL)
		<-done
	}
	c.fleet.Close()
	if c.t.Failed() {
		c.saveLogs()
	}
}

// saveLogs copies the hosts' logs to a temporary directory that outlives the test.
func (c *cluster) saveLogs() {
	dir, err := os.MkdirTemp("", "daisyfold-soak-")
	if err != nil {
		c.t.Log(err)
		return
	}
	for _, p := range c.hosts {
		data, err := os.ReadFile(filepath.Join(c.dir, p.name+".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, p.name+".log"), data, 0o600)
		}
		if err != nil {
			c.t.Log(err)
		}
	}
	c.t.Logf("the hosts' logs are in %s", dir)
}

// call sends a caller's request to the host and returns the status code and the body. The
// status is 0 if there was no response.
func (p *process) call(method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.ip, frontPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = "h"
	r.Header.Set("Api-Key", "key")
	r.Header.Set("Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}
