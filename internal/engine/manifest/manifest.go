// Package manifest holds the configuration that the operators publish. It finds the queue
// of a call and the organisation of a key.
package manifest

import (
	"math"
	"sort"
	"strings"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Queue is a namespace of jobs that are run by one service. It is selected by the host
// and path of a call.
type Queue struct {
	Name        string
	Host        string // value of the Host header
	PathPrefix  string
	Service     string
	Priority    int // 0 is the highest
	MaxAttempts int
	// The objective for the completion time of a job is Stretch times its critical path
	// plus ObjectiveMS milliseconds.
	Stretch     float64
	ObjectiveMS int
	Public      bool // calls need no key
	// NeedsAdvice restricts each step to the workers that the advice service names. Advice is what
	// its calls cost then.
	NeedsAdvice bool
	Advice      Advice
}

// Advice describes the calls to the advice service for the steps of a queue.
type Advice struct {
	Base      time.Duration // duration of a call that names no worker
	PerWorker time.Duration // further duration for each worker that a call names
	Validity  time.Duration // how long a ticket is valid
}

// CallDuration returns how long the service takes for a call that names the given number of workers.
func (a Advice) CallDuration(workers int) time.Duration {
	return a.Base + time.Duration(workers)*a.PerWorker
}

// WorkersWithin returns how many workers a call may name to take no longer than d, but at least as
// many as make up half of its duration.
func (a Advice) WorkersWithin(d time.Duration) int {
	if a.PerWorker <= 0 {
		return math.MaxInt
	}
	return max(int((d-a.Base)/a.PerWorker), int(a.Base/a.PerWorker), 1)
}

// UsualAdviceWorkers is the number of workers of the call that the objective of a step accounts for,
// by the platform's pages.
const UsualAdviceWorkers = 30

// ID returns an identifier of the queue that is stable across versions of the manifest.
func (q *Queue) ID() string { return q.Host + q.PathPrefix }

// Organisation is a customer with its keys, its guarantee, its cap and its weight.
type Organisation struct {
	Name string
	Keys []string
	// GuaranteedAccelerators is the number of accelerators that are available to its jobs
	// of priority 0 at all times.
	GuaranteedAccelerators int
	// Cap is the most that its tasks may use of all workers together, by resource; 0 means no
	// limit.
	Cap work.Resources
	// Weight is its share, relative to those of others, when there is too little room for all,
	// and the number of jobs per second up to which its jobs go before what others send beyond
	// theirs; 0 if the manifest sets none.
	Weight float64
}

// Manifest is a version of the operators' configuration.
type Manifest struct {
	Version       int64
	Queues        []Queue
	Organisations []Organisation
	MaxBodyBytes  int64 // limit for the body of a submission; 0 if the manifest sets none

	byHost map[string][]*Queue
	byKey  map[string]*Organisation
}

// Index builds the indexes for Route and OrganisationByKey. It must be called once, before
// the manifest is shared between goroutines.
func (m *Manifest) Index() {
	m.byHost = map[string][]*Queue{}
	for i := range m.Queues {
		q := &m.Queues[i]
		m.byHost[q.Host] = append(m.byHost[q.Host], q)
	}
	for _, queues := range m.byHost {
		sort.SliceStable(queues, func(i, j int) bool {
			return len(queues[i].PathPrefix) > len(queues[j].PathPrefix)
		})
	}
	m.byKey = map[string]*Organisation{}
	for i := range m.Organisations {
		for _, key := range m.Organisations[i].Keys {
			m.byKey[key] = &m.Organisations[i]
		}
	}
}

// Route returns the queue of the host with the longest prefix of the path, or nil.
func (m *Manifest) Route(host, path string) *Queue {
	for _, q := range m.byHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) {
			return q
		}
	}
	return nil
}

// OrganisationByKey returns the organisation that holds the key, or nil.
func (m *Manifest) OrganisationByKey(key string) *Organisation { return m.byKey[key] }

// Guarantees returns the number of guaranteed accelerators by organisation.
func (m *Manifest) Guarantees() map[string]int {
	guarantees := make(map[string]int, len(m.Organisations))
	for _, o := range m.Organisations {
		guarantees[o.Name] = o.GuaranteedAccelerators
	}
	return guarantees
}

// Organisation returns the organisation with the given name, or nil.
func (m *Manifest) Organisation(name string) *Organisation {
	for i := range m.Organisations {
		if m.Organisations[i].Name == name {
			return &m.Organisations[i]
		}
	}
	return nil
}
