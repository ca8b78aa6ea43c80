package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// Faults is the body of POST /control/faults. Absent fields leave the current state
// unchanged.
type Faults struct {
	Workers  []WorkerFault  `json:"workers,omitempty"`
	Targets  []TargetFault  `json:"targets,omitempty"`
	Log      *LogFault      `json:"log,omitempty"`
	Hosts    []HostChange   `json:"hosts,omitempty"`
	HostList *HostListFault `json:"hostList,omitempty"`
}

// WorkerFault changes the faults of all workers that are in IDs, in Zone or in Rack.
type WorkerFault struct {
	IDs  []model.WorkerID `json:"ids,omitempty"`
	Zone model.Zone       `json:"zone,omitempty"`
	Rack string           `json:"rack,omitempty"`

	FailStarts    *bool    `json:"bad,omitempty"`     // refuse every start
	Lost          *bool    `json:"lost,omitempty"`    // end all tasks, break connections, leave the host list
	Leaving       *bool    `json:"leaving,omitempty"` // refuse new holds and starts
	Paused        *bool    `json:"paused,omitempty"`  // do not respond to calls; tasks and leases continue
	RunTimeFactor *float64 `json:"slow,omitempty"`    // factor of the run time; 1 is normal
	CallDelayMS   *int64   `json:"delayMS,omitempty"` // delay before and after the work of each call
}

// TargetFault changes the faults of all targets that are in IDs or that match both
// Zone and Service. An empty Zone or Service matches all if the other one is set.
type TargetFault struct {
	IDs     []model.TargetID `json:"ids,omitempty"`
	Zone    model.Zone       `json:"zone,omitempty"`
	Service model.Service    `json:"service,omitempty"`

	Failing           *bool    `json:"failing,omitempty"` // respond with 500 at once
	Silent            *bool    `json:"silent,omitempty"`  // run requests, but never respond
	Leaving           *bool    `json:"leaving,omitempty"`
	SwapResponses     *bool    `json:"crossed,omitempty"` // respond with the previous response
	ServiceTimeFactor *float64 `json:"slow,omitempty"`    // factor of the service time; 1 is normal
	ResponseDelayMS   *int64   `json:"lateMS,omitempty"`  // delay between the work and the response
}

// LogFault changes the faults of the log service.
type LogFault struct {
	Down          *bool  `json:"down,omitempty"`        // respond with 503
	Silent        *bool  `json:"silent,omitempty"`      // accept calls, but never respond
	AppendDelayMS *int64 `json:"slowMS,omitempty"`      // delay before each append
	DropResponses *bool  `json:"loseAnswers,omitempty"` // perform appends, but break the connection instead of responding
}

// HostChange adds, changes or removes an entry host of the host list.
type HostChange struct {
	Host    hostlist.EntryHost `json:"host"`
	Removed bool               `json:"gone,omitempty"`
}

// HostListFault makes the host list respond with 503.
type HostListFault struct {
	Down bool `json:"down"`
}

// setIfPresent copies the value to the field unless it is nil.
func setIfPresent[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// setDurationIfPresent sets the field to a value in milliseconds unless it is nil.
func setDurationIfPresent(field *time.Duration, value *int64) {
	if value != nil {
		*field = milliseconds(*value)
	}
}

func (f WorkerFault) matches(w model.Worker) bool {
	if slices.Contains(f.IDs, w.ID) {
		return true
	}
	return (f.Zone != "" && f.Zone == w.Zone) || (f.Rack != "" && f.Rack == w.Rack)
}

func (f WorkerFault) apply(faults *workerFaults) {
	setIfPresent(&faults.failStarts, f.FailStarts)
	setIfPresent(&faults.lost, f.Lost)
	setIfPresent(&faults.leaving, f.Leaving)
	setIfPresent(&faults.paused, f.Paused)
	setIfPresent(&faults.runTimeFactor, f.RunTimeFactor)
	setDurationIfPresent(&faults.callDelay, f.CallDelayMS)
}

func (f TargetFault) matches(t model.Target) bool {
	if slices.Contains(f.IDs, t.ID) {
		return true
	}
	hasFilter := f.Zone != "" || f.Service != ""
	return hasFilter && (f.Zone == "" || f.Zone == t.Zone) && (f.Service == "" || f.Service == t.Service)
}

func (f TargetFault) apply(faults *targetFaults) {
	setIfPresent(&faults.failing, f.Failing)
	setIfPresent(&faults.silent, f.Silent)
	setIfPresent(&faults.leaving, f.Leaving)
	setIfPresent(&faults.swapResponses, f.SwapResponses)
	setIfPresent(&faults.serviceTimeFactor, f.ServiceTimeFactor)
	setDurationIfPresent(&faults.responseDelay, f.ResponseDelayMS)
}

func (f LogFault) apply(faults *logFaults) {
	setIfPresent(&faults.down, f.Down)
	setIfPresent(&faults.silent, f.Silent)
	setIfPresent(&faults.dropResponses, f.DropResponses)
	setDurationIfPresent(&faults.appendDelay, f.AppendDelayMS)
}

// SetFaults applies the changes to the platform.
func (e *Emulator) SetFaults(f Faults) {
	for _, fault := range f.Workers {
		for _, w := range e.workers {
			if fault.matches(w.info) {
				w.updateFaults(fault.apply)
			}
		}
	}
	for _, fault := range f.Targets {
		for _, t := range e.targets {
			if fault.matches(t.info) {
				t.updateFaults(fault.apply)
			}
		}
	}
	if f.Log != nil {
		e.log.updateFaults(f.Log.apply)
	}
	for _, change := range f.Hosts {
		e.hostList.setHost(change.Host, change.Removed)
	}
	if f.HostList != nil {
		e.hostList.setDown(f.HostList.Down)
	}
	if len(f.Workers)+len(f.Targets)+len(f.Hosts) > 0 {
		e.hostList.schedulePublish()
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
