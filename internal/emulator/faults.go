package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// Faults is the body of POST /control/faults. Fields that are absent keep their
// present state.
type Faults struct {
	Workers  []WorkerFault `json:"workers,omitempty"`
	Targets  []TargetFault `json:"targets,omitempty"`
	Log      *LogFault     `json:"log,omitempty"`
	Hosts    []HostChange  `json:"hosts,omitempty"`
	HostList *HostListDown `json:"hostList,omitempty"`
}

// WorkerFault changes workers: those of IDs, those of a zone, or those of a rack.
type WorkerFault struct {
	IDs  []model.WorkerID `json:"ids,omitempty"`
	Zone model.Zone       `json:"zone,omitempty"`
	Rack string           `json:"rack,omitempty"`

	Bad     *bool    `json:"bad,omitempty"`     // every start fails
	Lost    *bool    `json:"lost,omitempty"`    // tasks end, connections break
	Leaving *bool    `json:"leaving,omitempty"` // no new holds and starts
	Paused  *bool    `json:"paused,omitempty"`  // calls get no answer; tasks and leases go on
	Slow    *float64 `json:"slow,omitempty"`    // run time factor
	DelayMS *int64   `json:"delayMS,omitempty"` // before every call
}

// TargetFault changes targets: those of IDs, or those of a zone or service.
type TargetFault struct {
	IDs     []model.TargetID `json:"ids,omitempty"`
	Zone    model.Zone       `json:"zone,omitempty"`
	Service model.Service    `json:"service,omitempty"`

	Failing *bool    `json:"failing,omitempty"` // answers 500 at once
	Silent  *bool    `json:"silent,omitempty"`  // runs the request, never answers
	Leaving *bool    `json:"leaving,omitempty"`
	Crossed *bool    `json:"crossed,omitempty"` // answers with the previous answer
	Slow    *float64 `json:"slow,omitempty"`    // service time factor
	LateMS  *int64   `json:"lateMS,omitempty"`  // between the work and the answer
}

// LogFault changes the log service.
type LogFault struct {
	Down        *bool  `json:"down,omitempty"`        // answers 503
	Silent      *bool  `json:"silent,omitempty"`      // accepts calls, never answers
	SlowMS      *int64 `json:"slowMS,omitempty"`      // before every append
	LoseAnswers *bool  `json:"loseAnswers,omitempty"` // appends take effect, answers do not arrive
}

// HostChange tells the platform about an entry host.
type HostChange struct {
	Host hostlist.EntryHost `json:"host"`
	Gone bool               `json:"gone,omitempty"`
}

// HostListDown makes the host list answer 503.
type HostListDown struct {
	Down bool `json:"down"`
}

// set copies a value that is present.
func set[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

func setMillis(field *time.Duration, value *int64) {
	if value != nil {
		*field = millis(*value)
	}
}

func (f WorkerFault) matches(w model.Worker) bool {
	if slices.Contains(f.IDs, w.ID) {
		return true
	}
	return (f.Zone != "" && f.Zone == w.Zone) || (f.Rack != "" && f.Rack == w.Rack)
}

func (f WorkerFault) apply(s *workerState) {
	set(&s.bad, f.Bad)
	set(&s.lost, f.Lost)
	set(&s.leaving, f.Leaving)
	set(&s.paused, f.Paused)
	set(&s.slow, f.Slow)
	setMillis(&s.delay, f.DelayMS)
}

func (f TargetFault) matches(t model.Target) bool {
	if slices.Contains(f.IDs, t.ID) {
		return true
	}
	named := f.Zone != "" || f.Service != ""
	return named && (f.Zone == "" || f.Zone == t.Zone) && (f.Service == "" || f.Service == t.Service)
}

func (f TargetFault) apply(s *targetState) {
	set(&s.failing, f.Failing)
	set(&s.silent, f.Silent)
	set(&s.leaving, f.Leaving)
	set(&s.crossed, f.Crossed)
	set(&s.slow, f.Slow)
	setMillis(&s.late, f.LateMS)
}

func (f LogFault) apply(s *logState) {
	set(&s.down, f.Down)
	set(&s.silent, f.Silent)
	set(&s.loseAnswers, f.LoseAnswers)
	setMillis(&s.slow, f.SlowMS)
}

// SetFaults applies changes to the platform.
func (e *Emulator) SetFaults(f Faults) {
	for _, fault := range f.Workers {
		for _, w := range e.workers {
			if fault.matches(w.info) {
				w.setState(fault.apply)
			}
		}
	}
	for _, fault := range f.Targets {
		for _, t := range e.targets {
			if fault.matches(t.info) {
				t.setState(fault.apply)
			}
		}
	}
	if f.Log != nil {
		e.log.setState(f.Log.apply)
	}
	for _, change := range f.Hosts {
		e.list.setHost(change.Host, change.Gone)
	}
	if f.HostList != nil {
		e.list.setDown(f.HostList.Down)
	}
	if len(f.Workers)+len(f.Targets)+len(f.Hosts) > 0 {
		e.list.change()
	}
}

// serveFaults answers POST /control/faults.
func (e *Emulator) serveFaults(rw http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	rw.WriteHeader(http.StatusNoContent)
}
