package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform"
	"github.com/daisyfold/daisyfold/platform/platformtest"
)

// daemon is the program of the deploy file, relative to the root of the repository.
const daemon = "target/daisyfoldd"

const (
	frontPort   = 8521
	readyPort   = 8523
	metricsPort = 9464
)

// deployment is a set of daemons with the platform's store and workers.
type deployment struct {
	rec     *recorder
	dir     string
	store   *standin.Store
	limits  *platformtest.RateLimits
	hosts   []*host
	workers []*worker
	subnet  string
	mu      sync.Mutex
	closed  bool
}

// host is one daemon.
type host struct {
	d              *deployment
	name, zone, ip string
	settings       string
	proxy          *faultproxy.Proxy // between the host and the store
	command        *exec.Cmd
	done           chan struct{}
}

var zones = []string{"nuwara", "horton", "kotmale", "victoria"}

func newDeployment(rec *recorder) (*deployment, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "daisyfold-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: standin.NewStore(1), limits: platformtest.NewRateLimits(800, 2000)}
	for range 100 {
		d.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if isFree(d.subnet+".1", frontPort) && isFree(d.subnet+".1", metricsPort) {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no loopback subnet is free")
}

func isFree(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// putOperator writes a record of the operator.
func (d *deployment) putOperator(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot fail: plain maps
	}
	d.store.Put(platform.TopicOperator, store.Record{Key: key, Value: value})
	d.rec.note("operator writes op/%s", key)
}

type fields = map[string]any

// route returns a route of the manifest.
func route(name, prefix, service string) fields {
	return fields{
		"name": name, "host": "nony24.example", "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000, "sloMs": 1000,
		"priority": 1, "service": service, "maxAttempts": 4, "stretch": 3.0, "public": false,
	}
}

func service(name string) fields {
	return fields{"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0, "rejectsOverload": false, "spare": false}
}

func tenant(name, key string) fields {
	return fields{"name": name, "apiKeys": []string{key}, "priority": 1, "guaranteed": fields{"gpu": 8}}
}

// putManifest writes the first manifest.
func (d *deployment) putManifest(routes, services, tenants []fields) {
	d.putVersion(7, routes, services, tenants)
}

// putVersion writes a version of the manifest.
func (d *deployment) putVersion(version int, routes, services, tenants []fields) {
	d.putOperator("config", fields{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": fields{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// addWorkers starts workers of a service, two a zone and rack.
func (d *deployment) addWorkers(n int, prefix, service, kind string) error {
	for i := range n {
		zone := zones[i/2%len(zones)]
		w := newWorker(d.rec, d.store, fmt.Sprintf("%s%02d", prefix, i), service, zone, fmt.Sprintf("r%s-%d", prefix, i/2), kind)
		if err := w.start(); err != nil {
			return err
		}
		d.workers = append(d.workers, w)
	}
	return nil
}

// startHosts starts daemons and waits until all are ready.
func (d *deployment) startHosts(n int) error {
	for i := range n {
		if err := d.addHost(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range d.hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) addHost(i int) error {
	h := &host{d: d, name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", d.subnet, i+1)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platformtest.NewStoreHandler(d.store, h.name, d.limits)}
	go func() { _ = server.Serve(l) }()
	if h.proxy, err = faultproxy.Listen(l.Addr().String()); err != nil {
		return err
	}
	h.settings = filepath.Join(d.dir, h.name+".conf")
	if err := os.WriteFile(h.settings, []byte(h.settingsText(h.proxy.Address())), 0o600); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return fmt.Errorf("the deployment is closed")
	}
	d.hosts = append(d.hosts, h)
	return h.start()
}

// settingsText returns the settings of a host of the installation lfisa-daisyfold.
func (h *host) settingsText(storeAddress string) string {
	return fmt.Sprintf(`nodeName=%[1]s
role=entry
machineClass=front
serves=front
ip=%[2]s
zone=%[3]s
region=central-highlands
listen.front=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
portRange=7000,7015
bootstrap=true
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
discovery=platform
entry=vip
heartbeatMs=1500
bounds.contactMs=3000
bounds.ackMs=4000
bounds.graceS=6
bounds.configMs=2000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.holdMaxMs=10000
bounds.stopTimeoutMs=200
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.upkeepS=2
bounds.requireFence=true
bounds.leaseMs=3000
orders=call
platform.address=%[6]s
platform.form=log
platform.writesPerS=800
platform.readsPerS=2000
platform.parts=8
platform.appendMs=4.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.ttlMinMs=1000
`, h.name, h.ip, h.zone, frontPort, readyPort, storeAddress)
}

// start starts the host's daemon with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.command = exec.Command(daemon, "--platform")
	h.command.Env = append(os.Environ(), platform.SettingsEnvVar+"="+h.settings)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(h.command, h.done)
	h.d.rec.note("%s begins", h.name)
	return nil
}

func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call sends a caller's request; the status is 0 if there was no response.
func (h *host) call(method, path, key string, body any) (status int, answer map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", h.ip, frontPort, path), bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	r.Host = "nony24.example"
	r.Header.Set("Api-Key", key)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		h.d.rec.note("%s %s %s, key %s -> no response: %v", h.name, method, path, key, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(text, &answer)
	h.d.rec.note("%s %s %s, key %s -> %d %s", h.name, method, path, key, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, answer
}

// state returns the state of a job, or "" without a response that names one.
func (h *host) state(path, key string) string {
	_, answer := h.call(http.MethodGet, path, key, nil)
	s, _ := answer["state"].(string)
	return s
}

// awaitState asks for a job's state until it is one of the wanted ones or the time is over, and
// returns the last one.
func (h *host) awaitState(path, key string, timeout time.Duration, wanted ...string) string {
	deadline := time.Now().Add(timeout)
	for {
		s := h.state(path, key)
		for _, x := range wanted {
			if s == x {
				return s
			}
		}
		if time.Now().After(deadline) {
			return s
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// runnerOf returns the worker on which a run of the job has been at work for at least the given
// time, or nil if there is none in time.
func (d *deployment) runnerOf(job string, atLeast, timeout time.Duration) *worker {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, w := range d.workers {
			if age, ok := w.runningTask(job); ok && age >= atLeast {
				return w
			}
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, h := range d.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Kill()
			<-h.done
		}
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(d.dir))
	}
	_ = os.RemoveAll(d.dir)
}
