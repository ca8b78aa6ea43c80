package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	// The test builds the daemon. This import makes the cached result of the test depend
	// on the daemon's source.
	_ "github.com/daisyfold/daisyfold/internal/engine/host"
	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform"
	"github.com/daisyfold/daisyfold/platform/platformtest"
)

const maxLease = 6 * time.Second

const (
	zoneCount      = 4
	workersPerRack = 6
	maxDescriptors = 4100
)

// Rates of calls that the store serves.
const (
	writesPerSecond = 1200
	readsPerSecond  = 6000
)

const (
	frontPort = 8521
	readyPort = 8523
	// lockPort is a port that a cluster listens on for as long as it uses a subnet.
	lockPort = 8520
)

// cluster is a deployment of daemon processes on loopback addresses, with a simulated
// platform.
type cluster struct {
	t          *testing.T
	dir        string
	daemonPath string
	store      *standin.Store
	limits     *platformtest.RateLimits
	fleet      *standin.Fleet
	workers    []*standin.Worker
	// workerConnections are those that the workers have accepted, by worker.
	workerConnections []*resettableListener
	hosts             []*process
	subnet            int
}

// process is the daemon of one host. It reaches the store through a fault proxy.
type process struct {
	name, zone, ip, settingsPath string
	// front is the address that callers use; empty means the daemon's own.
	front      string
	proxy      *faultproxy.Proxy
	logBlocked bool // nobody reads the daemon's output
	mu         sync.Mutex
	command    *exec.Cmd
	done       chan struct{}
	faults     []hostFault
}

// testManifest returns a manifest with one queue for each priority.
func testManifest(version int64, keys ...string) *manifest.Manifest {
	return &manifest.Manifest{
		Version: version,
		Queues: []manifest.Queue{
			{Name: "urgent", Host: "h", PathPrefix: "/urgent/", Service: "scores", Priority: 0, MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250},
			{Name: "normal", Host: "h", PathPrefix: "/normal/", Service: "scores", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000},
			{Name: "batch", Host: "h", PathPrefix: "/batch/", Service: "scores", Priority: 2, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 3000},
		},
		Organisations: []manifest.Organisation{{Name: "choir", Keys: append([]string{"key"}, keys...), GuaranteedAccelerators: 32}},
	}
}

func newCluster(t *testing.T, daemonPath string, seed uint64) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), daemonPath: daemonPath, store: standin.NewStore(seed), limits: platformtest.NewRateLimits(writesPerSecond, readsPerSecond)}
	c.subnet = lockSubnet(t, int(seed%200))
	c.putManifest(testManifest(1))
	c.fleet = standin.NewFleet(standin.FleetOptions{
		MaxLease: maxLease, StopTimeout: 900 * time.Millisecond, GangTimeout: 4 * time.Second, SaveInterval: 2 * time.Second,
		Restore: 250 * time.Millisecond, HeartbeatInterval: 1500 * time.Millisecond, CrossRackSlowdown: 3, Seed: seed, EncodeEntry: platformtest.EncodeWorkerEntry,
	}, c.store)
	for range *workerCount {
		c.addWorker()
	}
	for i := range *hostCount {
		c.addHost(i)
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) putManifest(m *manifest.Manifest) {
	c.store.Put(platform.TopicOperator, store.Record{Key: "config", Value: platformtest.EncodeManifest(m)})
}

// lockSubnet returns a loopback subnet that no other cluster on this machine uses, the first
// one if it is free.
func lockSubnet(t *testing.T, first int) int {
	for i := range 250 {
		subnet := (first + i) % 250
		l, err := net.Listen("tcp", fmt.Sprintf("127.8.%d.254:%d", subnet, lockPort))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return subnet
		}
	}
	t.Fatal("no loopback subnet is free")
	return 0
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// resettableListener can reset the connections that it has accepted.
type resettableListener struct {
	net.Listener
	mu       sync.Mutex
	accepted []net.Conn
}

// Accept implements net.Listener.
func (l *resettableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, conn)
	return conn, nil
}

// reset resets all connections. New ones work.
func (l *resettableListener) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.accepted {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // an error means that the connection is closed
		}
		_ = conn.Close()
	}
	l.accepted = nil
}

func (c *cluster) addWorker() {
	i := len(c.workers)
	l := &resettableListener{Listener: listen(c.t)}
	c.workerConnections = append(c.workerConnections, l)
	server := platformtest.ServeWorker(c.fleet, l)
	c.t.Cleanup(func() { _ = server.Close() })
	rack := fmt.Sprintf("rack-%d", i/workersPerRack)
	c.workers = append(c.workers, c.fleet.AddWorker(workers.Entry{
		ID: workerID(i), Service: "scores", Address: l.Addr().String(), Zone: fmt.Sprintf("zone-%d", i/workersPerRack%zoneCount),
		Rack: rack, Labels: []string{"a", rack}, Capacity: work.Resources{CPU: 128_000, MemoryMB: 512 << 10, Accelerators: 8},
	}))
}

func workerID(i int) string { return fmt.Sprintf("w%03d", i) }

func (c *cluster) addHost(i int) {
	name := fmt.Sprintf("host-%d", i)
	server := &http.Server{Handler: platformtest.NewStoreHandler(c.store, name, c.limits), ReadHeaderTimeout: time.Second}
	l := listen(c.t)
	go func() { _ = server.Serve(l) }()
	c.t.Cleanup(func() { _ = server.Close() })
	proxy, err := faultproxy.Listen(l.Addr().String())
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(proxy.Close)
	p := &process{name: name, zone: fmt.Sprintf("zone-%d", i%zoneCount), ip: fmt.Sprintf("127.8.%d.%d", c.subnet, i+1), proxy: proxy, logBlocked: *unreadLogs}
	p.settingsPath = filepath.Join(c.dir, p.name+".conf")
	settings := platformtest.HostSettings{
		Host: p.name, Zone: p.zone, FrontAddress: fmt.Sprintf("%s:%d", p.ip, frontPort),
		ReadyAddress: fmt.Sprintf("%s:%d", p.ip, readyPort), Store: proxy.Address(), CPUShare: 0.8, MemoryMB: 536,
	}
	if i >= 2*zoneCount || *hostCount <= zoneCount && i >= zoneCount/2 {
		settings.CPUShare, settings.MemoryMB = 0.192, 184
	}
	if err := os.WriteFile(p.settingsPath, []byte(settings.Text()), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.hosts = append(c.hosts, p)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.startLocked(p)
}

// restart waits for the end of the process that closes done, and then for downTime, and
// starts the host's daemon again, unless another fault has already done so.
func (c *cluster) restart(p *process, done chan struct{}, downTime time.Duration) {
	<-done
	time.Sleep(downTime)
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

// startLocked starts the host's daemon. The caller holds the lock of the process. The log
// goes to a file beside the settings, or to a pipe that nobody reads.
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
	limit := &unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	_ = unix.Prlimit(command.Process.Pid, unix.RLIMIT_NOFILE, limit, nil) // an error means that the process has ended
	done := make(chan struct{})
	go func() {
		err := command.Wait()
		if state := command.ProcessState; state != nil && state.Exited() && state.ExitCode() != 0 {
			c.t.Errorf("%s has ended by itself: %v", p.name, err)
		}
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

// frontAddress returns the address that callers use.
func (p *process) frontAddress() string {
	return cmp.Or(p.front, fmt.Sprintf("%s:%d", p.ip, frontPort))
}

// ended returns a channel that is closed once the host's current process has ended.
func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// signal sends a signal to the process, if it is running, and returns a channel that is
// closed when the process has ended.
func (p *process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s) // an error means that the process has ended
	return p.done
}

// owner returns the host that last wrote as the owner.
func (c *cluster) owner() *process {
	r, _ := c.store.Newest(replica.TopicStatuses, "o/owner")
	name, _, _ := strings.Cut(string(r.Value), "/")
	for _, p := range c.hosts {
		if p.name == name {
			return p
		}
	}
	return c.hosts[0]
}

func (c *cluster) close() {
	for _, p := range c.hosts {
		done := p.signal(syscall.SIGKILL)
		<-done
	}
	c.fleet.Close()
	if c.t.Failed() || *keepLogs != "" {
		c.saveLogs()
	}
}

// saveLogs copies the hosts' logs to a directory that outlives the test.
func (c *cluster) saveLogs() {
	dir, err := os.MkdirTemp(*keepLogs, "daisyfold-soak-")
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
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", p.frontAddress(), path), bytes.NewReader(body))
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
