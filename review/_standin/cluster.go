package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
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
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// Record is the file with what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	cleanup func()
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, began: time.Now()}, err
}

func (r *Record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// cannot ends the script because the case couldn't run.
func (r *Record) cannot(format string, args ...any) {
	r.write("the case could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	if r.cleanup != nil {
		r.cleanup()
	}
	os.Exit(exitCannot)
}

// host is one process of the system under test.
type host struct {
	name, zone, ip, settings, log string
	command                       *exec.Cmd
	done                          chan struct{}
}

// Cluster is a small installation.
type Cluster struct {
	dir    string
	record *Record
	store  *Store
	fleet  *Fleet
	hosts  []*host
	ports  []int // front, ready
	store1 *http.Server
	next   int
}

const (
	serviceName = "huvo11a"
	hostHeader  = "nony24.example"
	apiKey      = "d4a3hwrr6x73d3zji9n7"
	otherKey    = "3hh2b9wu3fexd9dnn2ct"
)

// Queues of the manifest, by priority.
var queues = []string{"/pufi791/", "/lohu930/", "/pule252/"}

// attempts are the queues' maxAttempts.
var attempts = []int{4, 2, 4}

var zones = []string{"nuwara", "horton", "kotmale", "victoria"}

func manifest() []byte {
	routes := []fields{}
	for i, q := range queues {
		routes = append(routes, fields{
			"name": fmt.Sprintf("r-%d", i), "host": hostHeader, "pathPrefix": q, "type": "unsafe", "timeoutMs": 3000,
			"sloMs": []int{250, 1000, 3000}[i], "priority": i, "service": serviceName, "maxAttempts": attempts[i],
			"stretch": []float64{1.5, 3, 3}[i], "public": false,
		})
	}
	data, _ := json.Marshal(fields{
		"version": 7, "routes": routes,
		"services": []fields{{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0, "rejectsOverload": false, "spare": false}},
		"limits":   fields{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []fields{
			{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": fields{"gpu": 8}},
			{"name": "lemo41", "apiKeys": []string{otherKey}, "priority": 1, "guaranteed": fields{"gpu": 8}},
		},
	})
	return data
}

const settingsText = `nodeName=%s
role=entry
machineClass=front
serves=front
ip=%s
zone=%s
region=central-highlands
zones.nuwara=central-highlands
zones.horton=central-highlands
zones.kotmale=central-highlands
zones.victoria=central-highlands
listen.front=%s:%d
listen.ready=%s:%d
portRange=7000,7015
bootstrap=true
lossCounted=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,places,platform,advice,upkeep,sharing
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.evacMs=5000
bounds.recoverS=12
bounds.holdMaxMs=10000
bounds.stopTimeoutMs=200
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.farFactor=3
bounds.saveS=1
bounds.restoreMs=100
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.requireFence=true
bounds.leaseMs=3000
bounds.thawMs=300
bounds.paceMs=100
bounds.harmMs=4000
bounds.reclaimMs=2700
orders=call
advice=
platform.address=%s
platform.form=log
platform.writesPerS=800
platform.readsPerS=2000
platform.parts=8
platform.appendMs=4.0
platform.partMbS=20.0
platform.readMbS=80.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
cloudApi.address=
`

// newCluster starts the store, the executors and the processes, and waits until all are ready.
// The first executors, as many as kindB says, are of kind "b", the others of kind "a".
func newCluster(r *Record, hosts, workers, kindB int) *Cluster {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.cannot("temporary folder: %v", err)
	}
	c := &Cluster{dir: dir, record: r, store: newStore()}
	r.cleanup = c.close
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("listen: %v", err)
	}
	c.store.put("keyed.op", "config", manifest())
	c.store1 = &http.Server{Handler: c.store.handler()}
	go func() { _ = c.store1.Serve(l) }()
	c.fleet = newFleet(c.store, r, serviceName)
	for i := range workers {
		kind := "a"
		if i < kindB {
			kind = "b"
		}
		c.fleet.add(fmt.Sprintf("i-7f3a91%02x", i), kind, fmt.Sprintf("r1-%d", i/6), zones[i%len(zones)], 128000, 524288, 8)
	}
	c.ports = []int{freePort(r), freePort(r)}
	net2, net3 := randomByte(), randomByte()
	for i := range hosts {
		h := &host{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)], ip: fmt.Sprintf("127.%d.%d.%d", 64+net2%64, net3, i+1)}
		h.settings, h.log = filepath.Join(dir, h.name+".conf"), filepath.Join(dir, h.name+".log")
		text := fmt.Sprintf(settingsText, h.name, h.ip, h.zone, h.ip, c.ports[0], h.ip, c.ports[1], l.Addr())
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			r.cannot("settings: %v", err)
		}
		c.hosts = append(c.hosts, h)
		c.start(h)
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range c.hosts {
			if h.ready(c.ports[1]) {
				ready++
			}
		}
		if ready == len(c.hosts) {
			break
		}
		if time.Now().After(deadline) {
			r.cannot("%d of %d processes are ready after 15 s", ready, len(c.hosts))
		}
	}
	r.write("%d processes are ready; %d executors", hosts, workers)
	time.Sleep(3 * time.Second) // traffic begins some seconds after the machines
	return c
}

func randomByte() int {
	var b [1]byte
	_, _ = rand.Read(b[:])
	return int(b[0])
}

func freePort(r *Record) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("free port: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// start starts a process with the command of the deploy file.
func (c *Cluster) start(h *host) {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.record.cannot("log: %v", err)
	}
	h.command = exec.Command("target/daisyfoldd", "--platform")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYFOLD_SETTINGS=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		c.record.cannot("start %s: %v", h.name, err)
	}
	h.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(h.command, h.done)
	c.record.write("process %s starts on %s", h.name, h.ip)
}

func (h *host) ready(port int) bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", h.ip, port))
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// kill kills a process and waits until it is gone.
func (h *host) kill() {
	_ = h.command.Process.Signal(syscall.SIGKILL)
	<-h.done
}

// close ends all processes. With KEEP set, the logs of the processes stay.
func (c *Cluster) close() {
	for _, h := range c.hosts {
		if h.command != nil && h.command.Process != nil && h.done != nil {
			h.kill()
		}
	}
	c.fleet.close()
	_ = c.store1.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// call sends a request to a process; the status is 0 if there was no answer.
func (c *Cluster) call(h *host, method, path, key string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", h.ip, c.ports[0], path), bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = hostHeader
	r.Header.Set("Api-Key", key)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

func newJob(queue string, steps ...Step) *Job {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return &Job{id: hex.EncodeToString(id[:]), queue: queue, Spec: "(text)", Steps: steps}
}

// submit hands a job in, at another process after a refusal or no answer, up to five times.
func (c *Cluster) submit(j *Job, key string) bool {
	c.fleet.mu.Lock()
	c.fleet.jobs[j.id] = j
	c.fleet.mu.Unlock()
	body, _ := json.Marshal(j)
	for range 5 {
		h := c.hosts[c.next%len(c.hosts)]
		c.next++
		status, answer := c.call(h, http.MethodPost, j.queue+j.id, key, body)
		c.record.write("POST %s%s at %s (%d bytes): %d %s", j.queue, j.id, h.name, len(body), status, answer)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for the state of a job, at up to three processes.
func (c *Cluster) state(j *Job, key string) string {
	for range 3 {
		h := c.hosts[c.next%len(c.hosts)]
		c.next++
		status, answer := c.call(h, http.MethodGet, j.queue+j.id, key, nil)
		c.record.write("GET %s%s at %s: %d %s", j.queue, j.id, h.name, status, answer)
		var v struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &v) == nil {
			return v.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// await asks for the state of a job each second until it is one of those given or the time
// is over, and returns the last state.
func (c *Cluster) await(j *Job, key string, limit time.Duration, states ...string) string {
	for deadline := time.Now().Add(limit); ; time.Sleep(time.Second) {
		s := c.state(j, key)
		for _, want := range states {
			if s == want {
				return s
			}
		}
		if time.Now().After(deadline) {
			return s
		}
	}
}
