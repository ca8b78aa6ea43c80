package emulator

import (
	"compress/gzip"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// hostList is the lagging list of hosts, workers and targets.
type hostList struct {
	lag time.Duration
	// current returns the true workers and targets.
	current func() ([]model.Worker, []model.Target)

	mu        sync.Mutex
	hosts     []hostlist.EntryHost
	published hostlist.List
	down      bool
}

// change records a change of the platform; it shows after the lag.
func (h *hostList) change() {
	time.AfterFunc(h.lag, h.publish)
}

// publish makes the list show the present state.
func (h *hostList) publish() {
	workers, targets := h.current()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.published = hostlist.List{
		Version: h.published.Version + 1,
		Hosts:   slices.Clone(h.hosts),
		Workers: workers,
		Targets: targets,
	}
}

// setHost adds, changes or removes an entry host.
func (h *hostList) setHost(host hostlist.EntryHost, gone bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := func(other hostlist.EntryHost) bool { return other.ID == host.ID }
	h.hosts = slices.DeleteFunc(h.hosts, same)
	if !gone {
		h.hosts = append(h.hosts, host)
	}
}

func (h *hostList) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

func (h *hostList) get() (hostlist.List, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.published, h.down
}

// serve answers GET /hosts.
func (h *hostList) serve(rw http.ResponseWriter, r *http.Request) {
	h.answer(rw, r, func(list hostlist.List) hostlist.List { return list })
}

// answer answers with the list after a change of its addresses.
func (h *hostList) answer(rw http.ResponseWriter, r *http.Request, change func(hostlist.List) hostlist.List) {
	list, down := h.get()
	if down {
		http.Error(rw, "the host list is down", http.StatusServiceUnavailable)
		return
	}
	tag := strconv.Quote(strconv.FormatInt(list.Version, 10))
	rw.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		rw.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeJSON(rw, http.StatusOK, change(list))
		return
	}
	rw.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(rw)
	writeJSON(gzipAnswer{rw, compressed}, http.StatusOK, change(list))
	_ = compressed.Close() // the caller may have left
}

// gzipAnswer compresses the body of an answer.
type gzipAnswer struct {
	http.ResponseWriter
	body *gzip.Writer
}

// Write implements io.Writer.
func (a gzipAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

// rebase replaces the base URL of the workers and targets.
func rebase(list hostlist.List, from, to string) hostlist.List {
	list.Workers = slices.Clone(list.Workers)
	for i := range list.Workers {
		list.Workers[i].Address = replaceBase(list.Workers[i].Address, from, to)
	}
	list.Targets = slices.Clone(list.Targets)
	for i := range list.Targets {
		list.Targets[i].Address = replaceBase(list.Targets[i].Address, from, to)
	}
	return list
}

func replaceBase(address, from, to string) string {
	rest, found := strings.CutPrefix(address, from)
	if !found {
		return address
	}
	return to + rest
}
