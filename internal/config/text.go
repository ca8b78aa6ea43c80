// Package config reads the operators' text: availability zones, organisations with
// guarantees, quotas and keys, and services with their dependencies.
package config

import "github.com/daisyfold/daisyfold/internal/model"

// Text is the operators' text after parsing. Field names are those of the file.
type Text struct {
	AvailabilityZones []AvailabilityZone `json:"availabilityZones"`
	Organisations     []Organisation     `json:"organisations"`
	Services          []Service          `json:"services"`
	Operators         []Operator         `json:"operators"`
}

// AvailabilityZone is one zone. InService false means that operators took it out.
type AvailabilityZone struct {
	Name      model.Zone `json:"name"`
	Region    string     `json:"region"`
	InService bool       `json:"inService"`
	// Hardware is the declared hardware, used to check guarantees.
	Hardware Hardware `json:"hardware"`
}

// Hardware counts the accelerator workers of a zone.
type Hardware struct {
	Racks                 int `json:"racks"`
	WorkersPerRack        int `json:"workersPerRack"`
	AcceleratorsPerWorker int `json:"acceleratorsPerWorker"`
}

// Organisation is one customer.
type Organisation struct {
	Name       model.Organisation `json:"name"`
	Guarantees []Guarantee        `json:"guarantees,omitempty"`
	// QuotaAccelerators bounds what the organisation uses at once in the whole
	// deployment; 0 means no bound.
	QuotaAccelerators int `json:"quotaAccelerators,omitempty"`
	// QuotaWaitingJobs bounds its waiting jobs; 0 means no bound.
	QuotaWaitingJobs int `json:"quotaWaitingJobs,omitempty"`
	// RequestsPerSecond bounds its requests at one entry host; 0 means no bound.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Weight is its share of spare capacity relative to the others; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// KeyHashes are the SHA-256 sums of its keys, in hexadecimal.
	KeyHashes []string `json:"keyHashes"`
}

// Guarantee is Shapes guaranteed shapes. Without a zone the shapes are assigned to
// zones in service by the declared hardware.
type Guarantee struct {
	Zone   model.Zone  `json:"availabilityZone,omitempty"`
	Shape  model.Shape `json:"shape"`
	Shapes int         `json:"shapes"`
}

// ServiceKind says what a service does.
type ServiceKind string

// Service kinds.
const (
	KindRequests ServiceKind = "requests" // requests to targets
	KindJobs     ServiceKind = "jobs"     // jobs on workers
)

// Service is one service.
type Service struct {
	Name      model.Service   `json:"name"`
	Kind      ServiceKind     `json:"kind"`
	DependsOn []model.Service `json:"dependsOn,omitempty"`
	// Priority is batch, normal, high or urgent.
	Priority string `json:"priority"`
	// Deadline of a request or a job as a Go duration, for example "2s" or "6h".
	Deadline string `json:"deadline"`
	// Repeatable tells whether a call may be sent again after it may have run.
	Repeatable bool `json:"repeatable"`
	// MaxInFlight bounds its requests in flight at one entry host; 0 means no bound.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// MaxTasks bounds the gang size of its jobs; 0 means no bound.
	MaxTasks int `json:"maxTasks,omitempty"`
}

// Operator may publish texts and take zones out of service.
type Operator struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"keyHashes"`
}
