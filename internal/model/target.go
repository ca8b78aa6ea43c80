package model

// Target is one back end that serves requests of a service.
type Target struct {
	ID      TargetID `json:"id"`
	Service Service  `json:"service"`
	Zone    Zone     `json:"zone"`
	Address string   `json:"address"` // base URL
	// Slots is the number of requests that the target serves concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the number of open connections that the target accepts from all
	// entry hosts together.
	MaxConnections int  `json:"connections"`
	Leaving        bool `json:"leaving,omitempty"`
}

// Outcome says whether a target ran a request.
type Outcome string

// Outcomes of a request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not_run" // no target has run the request or can still run it
	OutcomeUnknown Outcome = "unknown"
)

// ConnectionsPerHost returns one entry host's share of the target's connections when the
// given number of entry hosts share them. It is at least 1, so that every host can reach
// the target.
func (t Target) ConnectionsPerHost(hosts int) int {
	return max(1, t.MaxConnections/max(1, hosts))
}
