package relay

import (
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// hostKeyPrefix precedes the name of a host in the key of its record.
const hostKeyPrefix = "h/"

// Age of a host's record. A host writes its record anew once a day, so that the records of hosts
// that are gone for good can be told from the others after two missed days.
const (
	refreshAge = 24 * time.Hour
	maxAge     = 3 * refreshAge
)

// Limits of what is accepted from records, which other writers may have damaged.
const (
	maxPeers       = 4096 // far above the hosts of the largest deployment
	maxNameBytes   = 250  // a store's key with the prefix has at most 255
	maxRecordBytes = 1024
)

// Peer is a host that accepts relayed calls.
type Peer struct {
	Host    string `json:"-"`
	Address string `json:"address"` // IP address and port
	Zone    string `json:"zone"`
	// WrittenMS is when the host wrote its record, in Unix milliseconds.
	WrittenMS int64 `json:"writtenMs"`
}

// record returns the host's record.
func (p Peer) record() store.Record {
	value, err := json.Marshal(p)
	if err != nil {
		panic(err) // cannot fail: strings and a number
	}
	return store.Record{Key: hostKeyPrefix + p.Host, Value: value}
}

// decodePeer decodes the record of a host.
func decodePeer(host string, value []byte) (Peer, error) {
	p := Peer{}
	if len(value) > maxRecordBytes {
		return p, trace.BadParameter("the record has %d bytes", len(value))
	}
	if err := json.Unmarshal(value, &p); err != nil {
		return p, trace.Wrap(err)
	}
	p.Host = host
	address, err := netip.ParseAddrPort(p.Address)
	if err != nil || address.Port() == 0 {
		return p, trace.BadParameter("%q is not an IP address with a port", p.Address)
	}
	if host == "" || len(host) > maxNameBytes || p.WrittenMS <= 0 {
		return p, trace.BadParameter("the record has no host or no time")
	}
	return p, nil
}

// Directory is the copy of the hosts' records. It takes them from the topic of the statuses and
// implements replica.Sink.
type Directory struct {
	mu     sync.Mutex
	self   string
	loaded bool
	peers  map[string]Peer // by host, this host included
}

// NewDirectory returns an empty directory of the host self.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, peers: map[string]Peer{}}
}

// Reset implements replica.Sink.
func (d *Directory) Reset(records []store.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.peers)
	d.loaded = true
	d.apply(records)
}

// Apply implements replica.Sink.
func (d *Directory) Apply(records []store.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(records)
}

// apply applies records; one that cannot be decoded removes the host. The caller holds the lock.
func (d *Directory) apply(records []store.Record) {
	for _, r := range records {
		host, ok := strings.CutPrefix(r.Key, hostKeyPrefix)
		if !ok {
			continue
		}
		p, err := decodePeer(host, r.Value)
		_, known := d.peers[host]
		switch {
		case err != nil:
			delete(d.peers, host)
		case known || len(d.peers) < maxPeers || host == d.self:
			d.peers[host] = p
		}
	}
}

// Own returns this host's record, and whether the directory has been loaded.
func (d *Directory) Own() (p Peer, loaded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers[d.self], d.loaded
}

// Others returns the other hosts whose records have not expired.
func (d *Directory) Others(nowMS int64) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := make([]Peer, 0, len(d.peers))
	for host, p := range d.peers {
		if host != d.self && !p.expired(nowMS) {
			others = append(others, p)
		}
	}
	return others
}

// Expired returns up to limit hosts whose records have expired.
func (d *Directory) Expired(nowMS int64, limit int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var hosts []string
	for host, p := range d.peers {
		if len(hosts) < limit && host != d.self && p.expired(nowMS) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (p Peer) expired(nowMS int64) bool { return nowMS-p.WrittenMS > maxAge.Milliseconds() }
