package model

// Target is one back end that answers requests of a service.
type Target struct {
	ID      TargetID `json:"id"`
	Service Service  `json:"service"`
	Zone    Zone     `json:"zone"`
	Address string   `json:"address"` // base URL
	// Slots is how many requests the target serves at once.
	Slots int `json:"slots"`
	// Connections is how many open connections the target accepts from all
	// entry hosts together.
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving,omitempty"`
}

// Outcome says whether a request ran.
type Outcome string

// Outcomes. NotRun is only said when no target can still run the request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// ConnectionsPerHost is one entry host's share of the target's connections when
// hosts entry hosts share them; at least 1, so that every host can reach it.
func (t Target) ConnectionsPerHost(hosts int) int {
	return max(1, t.Connections/max(1, hosts))
}
