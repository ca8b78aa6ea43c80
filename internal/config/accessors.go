package config

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// priorityNames holds the name of each priority, indexed by model.Priority.
var priorityNames = []string{
	model.PriorityBatch:  "batch",
	model.PriorityNormal: "normal",
	model.PriorityHigh:   "high",
	model.PriorityUrgent: "urgent",
}

// ParsePriority returns the priority class with the given name. For an unknown name it
// returns model.PriorityNormal and false.
func ParsePriority(name string) (model.Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return model.Priority(i), true
		}
	}
	return model.PriorityNormal, false
}

// PriorityClass returns the priority class of the service. An unknown name, which can occur
// only in a configuration that was built in code, yields model.PriorityNormal.
func (s *Service) PriorityClass() model.Priority {
	p, _ := ParsePriority(s.Priority)
	return p
}

// DeadlineDuration returns the time limit of one request or job, or 0 if Deadline is empty
// or not a valid duration.
func (s *Service) DeadlineDuration() time.Duration {
	d, err := time.ParseDuration(s.Deadline)
	if err != nil {
		return 0
	}
	return d
}

// TaskLimit returns the maximum number of tasks of a job of the service.
func (s *Service) TaskLimit() int {
	if s.MaxTasks == 0 {
		return maxTasksPerJob
	}
	return s.MaxTasks
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name model.Service) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Organisation returns the organisation with the given name, or nil.
func (c *Config) Organisation(name model.Organisation) *Organisation {
	for i := range c.Organisations {
		if c.Organisations[i].Name == name {
			return &c.Organisations[i]
		}
	}
	return nil
}

// Zone returns the availability zone with the given name, or nil.
func (c *Config) Zone(name model.Zone) *AvailabilityZone {
	for i := range c.AvailabilityZones {
		if c.AvailabilityZones[i].Name == name {
			return &c.AvailabilityZones[i]
		}
	}
	return nil
}
