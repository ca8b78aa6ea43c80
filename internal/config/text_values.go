package config

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// priorityNames lists the names of priorities; the index is the model.Priority.
var priorityNames = []string{
	model.PriorityBatch:  "batch",
	model.PriorityNormal: "normal",
	model.PriorityHigh:   "high",
	model.PriorityUrgent: "urgent",
}

// ParsePriority returns the priority class of a name in the text.
func ParsePriority(name string) (model.Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return model.Priority(i), true
		}
	}
	return model.PriorityNormal, false
}

// PriorityClass returns the priority of the service. A parsed text has no unknown
// names; normal stands for them in a text that was built in code.
func (s *Service) PriorityClass() model.Priority {
	p, _ := ParsePriority(s.Priority)
	return p
}

// DeadlineDuration returns the time for one request or job, or 0 if it is not set.
func (s *Service) DeadlineDuration() time.Duration {
	d, err := time.ParseDuration(s.Deadline)
	if err != nil {
		return 0
	}
	return d
}

// TaskLimit returns the largest gang of the service's jobs.
func (s *Service) TaskLimit() int {
	if s.MaxTasks == 0 {
		return maxTasks
	}
	return s.MaxTasks
}

// Service returns the service of that name, or nil.
func (t *Text) Service(name model.Service) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}

// Organisation returns the organisation of that name, or nil.
func (t *Text) Organisation(name model.Organisation) *Organisation {
	for i := range t.Organisations {
		if t.Organisations[i].Name == name {
			return &t.Organisations[i]
		}
	}
	return nil
}

// Zone returns the availability zone of that name, or nil.
func (t *Text) Zone(name model.Zone) *AvailabilityZone {
	for i := range t.AvailabilityZones {
		if t.AvailabilityZones[i].Name == name {
			return &t.AvailabilityZones[i]
		}
	}
	return nil
}
