// Package blackboard holds the shared tables that controllers read and write.
//
// Lock order: Config, Members, Hosts, Jobs, Calls. Jobs and Calls are the locks of
// packages jobs and calls. A goroutine that holds the lock of one table may acquire only
// locks later in this list. A method holds the lock of its table only while it runs and
// returns a copy or a value that is immutable once stored, so callers rarely hold a lock.
package blackboard

import (
	"sync"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// Board is the set of shared tables of one daemon.
type Board struct {
	Config  ConfigTable
	Members MemberTable
	Hosts   HostTable
	Events  EventTable
}

// New returns an empty board.
func New() *Board { return &Board{} }

// Notifier signals changes of a table to waiting controllers. The zero value is ready
// to use.
type Notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Changed returns a channel that is closed on the next call of Notify.
func (n *Notifier) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// Notify closes the channels that Changed has returned.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

// Configuration is one version of the configuration. It is immutable once stored.
type Configuration struct {
	Version int64
	// Text is the configuration text, and Parsed is the result of parsing it.
	Text   []byte
	Parsed *config.Config
	// ThroughOffset is the offset of the last config record that was applied.
	ThroughOffset int64
}

// Zone returns the availability zone with the given name, or nil if there is none.
func (c *Configuration) Zone(name model.Zone) *config.AvailabilityZone {
	for i := range c.Parsed.AvailabilityZones {
		if c.Parsed.AvailabilityZones[i].Name == name {
			return &c.Parsed.AvailabilityZones[i]
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (c *Configuration) Service(name model.Service) *config.Service {
	for i := range c.Parsed.Services {
		if c.Parsed.Services[i].Name == name {
			return &c.Parsed.Services[i]
		}
	}
	return nil
}

// ConfigTable holds the configuration in force. Only configsync writes it.
type ConfigTable struct {
	Notifier
	mu      sync.RWMutex
	current *Configuration
}

// Get returns the configuration in force, or nil if there is none yet.
func (t *ConfigTable) Get() *Configuration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current
}

// Put stores c if its version is higher than the one in force. It reports whether c
// was stored.
func (t *ConfigTable) Put(c *Configuration) bool {
	t.mu.Lock()
	if t.current != nil && c.Version <= t.current.Version {
		t.mu.Unlock()
		return false
	}
	t.current = c
	t.mu.Unlock()
	t.Notify()
	return true
}

// Member is the state of one entry host in the membership.
type Member struct {
	Host    model.HostID
	Zone    model.Zone
	Alive   bool
	Leaving bool
}

// MemberTable holds the entry hosts. Only membership writes it.
type MemberTable struct {
	Notifier
	mu      sync.RWMutex
	members []Member
}

// List returns all members, sorted by host. The caller must not modify the slice.
func (t *MemberTable) List() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members
}

// Put replaces all members.
func (t *MemberTable) Put(members []Member) {
	t.mu.Lock()
	t.members = members
	t.mu.Unlock()
	t.Notify()
}

// HostTable holds the platform's list of hosts, workers and targets.
type HostTable struct {
	Notifier
	mu   sync.RWMutex
	list *hostlist.List
}

// Get returns the list, or nil before the first fetch. The caller must not modify it.
func (t *HostTable) Get() *hostlist.List {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.list
}

// Put replaces the list.
func (t *HostTable) Put(list *hostlist.List) {
	t.mu.Lock()
	t.list = list
	t.mu.Unlock()
	t.Notify()
}
