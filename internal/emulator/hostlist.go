package emulator

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// hostList serves the list of entry hosts, workers and targets, which shows changes
// after a lag.
type hostList struct {
	lag time.Duration
	// inventory returns the present workers and targets.
	inventory func() ([]model.Worker, []model.Target)

	mu        sync.Mutex
	hosts     []hostlist.EntryHost
	published hostlist.List
	down      bool
}

// schedulePublish publishes the state of the platform after the lag.
func (h *hostList) schedulePublish() {
	time.AfterFunc(h.lag, h.publish)
}

// publish updates the list to the present state of the platform.
func (h *hostList) publish() {
	workers, targets := h.inventory()
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
func (h *hostList) setHost(host hostlist.EntryHost, removed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sameHost := func(other hostlist.EntryHost) bool { return other.ID == host.ID }
	h.hosts = slices.DeleteFunc(h.hosts, sameHost)
	if !removed {
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
	h.serveTransformed(rw, r, func(list hostlist.List) hostlist.List { return list })
}

// serveTransformed responds with the transformed list, or with 304 if the caller has the
// current version.
func (h *hostList) serveTransformed(rw http.ResponseWriter, r *http.Request, transform func(hostlist.List) hostlist.List) {
	list, down := h.get()
	if down {
		http.Error(rw, "the host list is down", http.StatusServiceUnavailable)
		return
	}
	etag := strconv.Quote(strconv.FormatInt(list.Version, 10))
	rw.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		rw.WriteHeader(http.StatusNotModified)
		return
	}
	writeCompressed(rw, r, transform(list))
}

// replaceBaseURLs returns a copy of the list in which the addresses of workers and
// targets have another base URL.
func replaceBaseURLs(list hostlist.List, from, to string) hostlist.List {
	list.Workers = slices.Clone(list.Workers)
	for i := range list.Workers {
		list.Workers[i].Address = replaceBaseURL(list.Workers[i].Address, from, to)
	}
	list.Targets = slices.Clone(list.Targets)
	for i := range list.Targets {
		list.Targets[i].Address = replaceBaseURL(list.Targets[i].Address, from, to)
	}
	return list
}

// replaceBaseURL replaces the base URL from of an address by to. It returns addresses with
// another base URL unchanged.
func replaceBaseURL(address, from, to string) string {
	rest, found := strings.CutPrefix(address, from)
	if !found {
		return address
	}
	return to + rest
}
