// Package blackboard holds the tables that controllers read and write.
//
// Lock order: Config, Members, Hosts, Jobs, Calls. A goroutine that holds the lock
// of one table may take only locks later in this list. Methods of a table hold its
// lock for their own duration only and return copies or values that are never
// changed after they were stored, so callers rarely hold a lock at all.
package blackboard

import (
	"sync"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// Board is the set of tables of one daemon.
type Board struct {
	Config  ConfigTable
	Members MemberTable
	Hosts   HostTable
	Events  EventTable
}

// New returns an empty board.
func New() *Board { return &Board{} }

// Notifier tells waiting controllers that a table changed. The zero value is ready.
type Notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Changed returns a channel that is closed at the next change.
func (n *Notifier) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// Notify closes the channels that Changed returned so far.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

// Configuration is the configuration in force. It is never changed once stored.
type Configuration struct {
	Version int64
	Raw     []byte
	Text    *config.Config
	// ThroughOffset is the offset of the last config record that was applied.
	ThroughOffset int64
}

// Zone returns the availability zone of that name, or nil.
func (c *Configuration) Zone(name model.Zone) *config.AvailabilityZone {
	for i := range c.Text.AvailabilityZones {
		if c.Text.AvailabilityZones[i].Name == name {
			return &c.Text.AvailabilityZones[i]
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (c *Configuration) Service(name model.Service) *config.Service {
	for i := range c.Text.Services {
		if c.Text.Services[i].Name == name {
			return &c.Text.Services[i]
		}
	}
	return nil
}

// ConfigTable holds the configuration in force. Only configsync writes it.
type ConfigTable struct {
	Notifier
	mu  sync.RWMutex
	cur *Configuration
}

// Get returns the configuration in force, or nil when there is none yet.
func (t *ConfigTable) Get() *Configuration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.cur
}

// Put stores c if it is newer than what is in force and reports whether it did.
// An older version never replaces a newer one.
func (t *ConfigTable) Put(c *Configuration) bool {
	t.mu.Lock()
	if t.cur != nil && c.Version <= t.cur.Version {
		t.mu.Unlock()
		return false
	}
	t.cur = c
	t.mu.Unlock()
	t.Notify()
	return true
}

// Member is one entry host as membership sees it.
type Member struct {
	Host    model.HostID
	Zone    model.Zone
	Alive   bool
	Leaving bool
}

// MemberTable holds the entry hosts. Only membership writes it.
type MemberTable struct {
	Notifier
	mu  sync.RWMutex
	all []Member
}

// List returns all members, sorted by host. The slice must not be changed.
func (t *MemberTable) List() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.all
}

// Put replaces the members.
func (t *MemberTable) Put(all []Member) {
	t.mu.Lock()
	t.all = all
	t.mu.Unlock()
	t.Notify()
}

// HostTable holds the platform's list of hosts, workers and targets.
type HostTable struct {
	Notifier
	mu   sync.RWMutex
	list *hostlist.List
}

// Get returns the list, or nil before the first fetch. It must not be changed.
func (t *HostTable) Get() *hostlist.List {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.list
}

// Put replaces the list.
func (t *HostTable) Put(l *hostlist.List) {
	t.mu.Lock()
	t.list = l
	t.mu.Unlock()
	t.Notify()
}
