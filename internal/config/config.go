// Package config parses, checks, compares and edits the configuration that operators
// publish: availability zones, organisations with guarantees, quotas and keys, services with
// their dependencies, and operators.
package config

import "github.com/daisyfold/daisyfold/internal/model"

// Config is a parsed configuration. The JSON names are those of the file.
type Config struct {
	AvailabilityZones []AvailabilityZone `json:"availabilityZones"`
	Organisations     []Organisation     `json:"organisations"`
	Services          []Service          `json:"services"`
	Operators         []Operator         `json:"operators"`
}

// AvailabilityZone is one availability zone. InService is false if operators took the zone
// out of service.
type AvailabilityZone struct {
	Name      model.Zone `json:"name"`
	Region    string     `json:"region"`
	InService bool       `json:"inService"`
	// Hardware is the declared hardware, against which guarantees are checked.
	Hardware Hardware `json:"hardware"`
}

// Hardware is the number of racks, accelerator workers and accelerators of a zone.
type Hardware struct {
	Racks                 int `json:"racks"`
	WorkersPerRack        int `json:"workersPerRack"`
	AcceleratorsPerWorker int `json:"acceleratorsPerWorker"`
}

// Organisation is a customer that submits jobs and requests.
type Organisation struct {
	Name       model.Organisation `json:"name"`
	Guarantees []Guarantee        `json:"guarantees,omitempty"`
	// QuotaAccelerators is the maximum number of accelerators that the organisation uses
	// at the same time in the whole deployment; 0 means no limit.
	QuotaAccelerators int `json:"quotaAccelerators,omitempty"`
	// QuotaWaitingJobs is the maximum number of its waiting jobs; 0 means no limit.
	QuotaWaitingJobs int `json:"quotaWaitingJobs,omitempty"`
	// RequestsPerSecond is the maximum rate of its requests at one entry host; 0 means no
	// limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Weight is its share of spare capacity relative to the other organisations; 0 means
	// the default of 1.
	Weight int `json:"weight,omitempty"`
	// KeyHashes holds the SHA-256 sums of its bearer keys, in hexadecimal.
	KeyHashes []string `json:"keyHashes"`
}

// Guarantee reserves a number of shapes for an organisation. If Zone is empty, the shapes
// are assigned to zones in service by the declared hardware.
type Guarantee struct {
	Zone   model.Zone  `json:"availabilityZone,omitempty"`
	Shape  model.Shape `json:"shape"`
	Shapes int         `json:"shapes"`
}

// ServiceKind says whether a service handles requests or jobs.
type ServiceKind string

// Service kinds.
const (
	KindRequests ServiceKind = "requests" // requests are sent to targets
	KindJobs     ServiceKind = "jobs"     // jobs run on workers
)

// Service is a service that organisations can use.
type Service struct {
	Name      model.Service   `json:"name"`
	Kind      ServiceKind     `json:"kind"`
	DependsOn []model.Service `json:"dependsOn,omitempty"`
	// Priority is batch, normal, high or urgent.
	Priority string `json:"priority"`
	// Deadline is the time limit of a request or a job as a Go duration, for example
	// "2s" or "6h".
	Deadline string `json:"deadline"`
	// Repeatable reports whether a request may be sent again, or a job started again,
	// after it may have run.
	Repeatable bool `json:"repeatable"`
	// MaxInFlight is the maximum number of its requests in flight at one entry host; 0
	// means no limit.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// MaxTasks is the maximum number of tasks of a job; 0 means the default of 512, see
	// TaskLimit.
	MaxTasks int `json:"maxTasks,omitempty"`
}

// Operator may publish configurations and take zones out of service.
type Operator struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"keyHashes"`
}
