//go:build crowd

package crowd

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform"
	"github.com/daisyfold/daisyfold/platform/platformtest"
)

// Limits of the tests. A body crowd is to meet the memory limit, and a connection crowd the
// limit of descriptors; the flags are for measurements by hand.
var (
	bodyCrowd       = flag.Int("crowd.bodies", 600, "connections that send bodies")
	connectionCrowd = flag.Int("crowd.connections", 700, "connections that send no body")
	memoryMB        = flag.Int("crowd.memory", 96, "limits.memoryMb")
	bodyMaxFDs      = flag.Int("crowd.bodyfds", 4100, "limits.maxFds under connections that send bodies")
	maxFDs          = flag.Int("crowd.fds", 600, "limits.maxFds under connections that send no body")
)

const (
	// reservedFDs is the number of descriptors that the platform keeps for files; sockets and
	// pipes share the others.
	reservedFDs = 200
	// sampleInterval is the time between two counts of the daemon's sockets.
	sampleInterval = 20 * time.Millisecond
	// observationTime is how long the daemon is observed after the call was answered.
	observationTime = 3 * time.Second
	// answerTimeout bounds the wait for an answer to an ordinary call, so that a daemon that
	// hangs ends the test. Nothing is said about the time within it.
	answerTimeout = 2 * time.Minute
)

const (
	hostName  = "h"
	queuePath = "/normal/"
	apiKey    = "key"
)

// daemon is a process of the daemon, with a store and one worker on loopback addresses.
type daemon struct {
	t                    *testing.T
	frontAddress         string
	command              *exec.Cmd
	ended                chan struct{}
	stopSampling, peaked chan struct{}
	maxFDs, peakSockets  int
	calls                int // ordinary calls so far
	logPath              string
}

func startDaemon(t *testing.T, descriptors int) *daemon {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "daisyfoldd")
	if out, err := exec.Command("go", "build", "-o", path, "../../cmd/daisyfoldd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	metrics := lockAddress(t) // the metrics port is fixed, so the address must be free
	d := &daemon{
		t: t, frontAddress: metrics + ":8521", ended: make(chan struct{}), stopSampling: make(chan struct{}),
		peaked: make(chan struct{}), maxFDs: descriptors, logPath: filepath.Join(dir, "log"),
	}
	settings := platformtest.HostSettings{
		Host: "host", Zone: "zone", FrontAddress: d.frontAddress, ReadyAddress: metrics + ":8523", Store: startPlatform(t),
		CPUShare: 0.8, MemoryMB: *memoryMB, MaxDescriptors: descriptors,
	}
	settingsPath := filepath.Join(dir, "settings")
	if err := os.WriteFile(settingsPath, []byte(settings.Text()), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(d.logPath)
	if err != nil {
		t.Fatal(err)
	}
	d.command = exec.Command(path, "--platform")
	d.command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+settingsPath, "GOMEMLIMIT=", "GOGC=", "GOMAXPROCS=")
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = d.command.Wait(); _ = log.Close(); close(d.ended) }()
	go d.sampleSockets()
	t.Cleanup(d.stop)
	d.expectAnswer() // the daemon serves
	return d
}

// lockAddress returns a loopback address that no other test on this machine uses.
func lockAddress(t *testing.T) string {
	for i := 1; i < 250; i++ {
		address := fmt.Sprintf("127.9.%d.1", i)
		l, err := net.Listen("tcp", address+":8520")
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return address
		}
	}
	t.Fatal("no loopback address is free")
	return ""
}

// startPlatform serves a store with a manifest and one worker, and returns the store's address.
func startPlatform(t *testing.T) string {
	s := standin.NewStore(1)
	m := &manifest.Manifest{
		Version:       1,
		Queues:        []manifest.Queue{{Name: "normal", Host: hostName, PathPrefix: queuePath, Service: "scores", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000}},
		Organisations: []manifest.Organisation{{Name: "choir", Keys: []string{apiKey}}},
	}
	s.Put(platform.TopicOperator, store.Record{Key: "config", Value: platformtest.EncodeManifest(m)})
	fleet := standin.NewFleet(standin.FleetOptions{
		MaxLease: 6 * time.Second, StopTimeout: 900 * time.Millisecond, GangTimeout: 4 * time.Second, SaveInterval: 2 * time.Second,
		HeartbeatInterval: 1500 * time.Millisecond, Seed: 1, EncodeEntry: platformtest.EncodeWorkerEntry,
	}, s)
	t.Cleanup(fleet.Close)
	worker := listen(t)
	workerServer := platformtest.ServeWorker(fleet, worker)
	t.Cleanup(func() { _ = workerServer.Close() })
	fleet.AddWorker(workers.Entry{
		ID: "w", Service: "scores", Address: worker.Addr().String(), Zone: "zone", Rack: "rack", Labels: []string{"rack"},
		Capacity: work.Resources{CPU: 128_000, MemoryMB: 512 << 10, Accelerators: 8},
	})
	l := listen(t)
	server := &http.Server{Handler: platformtest.NewStoreHandler(s, "host", platformtest.NewRateLimits(1200, 6000)), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// sampleSockets keeps the largest number of sockets that the daemon was seen to hold.
func (d *daemon) sampleSockets() {
	defer close(d.peaked)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stopSampling:
			return
		case <-ticker.C:
			d.peakSockets = max(d.peakSockets, d.countSockets())
		}
	}
}

func (d *daemon) countSockets() int {
	dir := fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0 // the process has ended, which another check reports
	}
	n := 0
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// peakMemoryMB returns the largest resident memory of the process so far.
func (d *daemon) peakMemoryMB() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10
		}
	}
	d.t.Error("the process has no peak of its memory: it has ended")
	return 0
}

// check checks, while the crowd is still connected, that an ordinary call is answered, and
// that the process lives and has kept within its limits.
func (d *daemon) check() {
	d.t.Helper()
	d.expectAnswer()
	select {
	case <-d.ended:
		d.t.Fatalf("the daemon has ended: %v", d.command.ProcessState)
	default:
	}
	time.Sleep(observationTime)
	close(d.stopSampling)
	<-d.peaked
	memory := d.peakMemoryMB()
	d.t.Logf("peak memory %d MB, limit %d; peak sockets %d, limit %d", memory, *memoryMB, d.peakSockets, d.maxFDs-reservedFDs)
	if memory > *memoryMB {
		d.t.Errorf("peak memory %d MB, limit %d", memory, *memoryMB)
	}
	if d.peakSockets > d.maxFDs-reservedFDs {
		d.t.Errorf("peak of %d sockets, limit %d", d.peakSockets, d.maxFDs-reservedFDs)
	}
}

// expectAnswer submits a job, as callers do: again after a refusal or a broken connection.
func (d *daemon) expectAnswer() {
	d.t.Helper()
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(answerTimeout)
	last := "none"
	for time.Now().Before(deadline) {
		d.calls++
		r, err := http.NewRequest(http.MethodPost, "http://"+d.frontAddress+queuePath+fmt.Sprintf("%016x", d.calls), strings.NewReader(`{"spec":"s","steps":[{"count":1,"cpu":100,"estMs":100}]}`))
		if err != nil {
			d.t.Fatal(err)
		}
		r.Host = hostName
		r.Header.Set("Api-Key", apiKey)
		r.Header.Set("Deadline-Ms", "3000")
		response, err := client.Do(r)
		if err != nil {
			last = err.Error()
			time.Sleep(50 * time.Millisecond) // the caller's delay before a retry
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = response.Status
		time.Sleep(200 * time.Millisecond) // the caller's delay before a retry
	}
	d.t.Errorf("an ordinary call got no answer, last: %s", last)
}

func (d *daemon) stop() {
	_ = d.command.Process.Signal(syscall.SIGKILL) // an error means that it has ended
	<-d.ended
	if d.t.Failed() {
		data, _ := os.ReadFile(d.logPath)
		d.t.Logf("end of the log:\n%s", data[max(0, len(data)-2000):])
	}
}
