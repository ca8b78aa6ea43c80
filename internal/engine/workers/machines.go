package workers

import "context"

// Machine is a machine of the platform; a worker is one life of it.
type Machine struct {
	Name     string
	WorkerID string
	Up       bool // false while it moves, is in upkeep or is down
}

// UpkeepOrder takes a machine down for its upkeep. Everything that runs there ends.
type UpkeepOrder struct {
	Machine string
	Wave    int64
	// Holder and Fence name who orders; a machine rejects a lower fence than it has seen.
	Holder string
	Fence  int64
}

// UpkeepOutcome is the platform's answer to an upkeep order.
type UpkeepOutcome int

// Outcomes of an upkeep order.
const (
	// UpkeepBegun means that the upkeep has begun or is over.
	UpkeepBegun UpkeepOutcome = iota
	// UpkeepFenced means that a higher fence was seen.
	UpkeepFenced
	// UpkeepBusy machines are not up or are leaving.
	UpkeepBusy
	// UpkeepNotInWave machines do not belong to the wave.
	UpkeepNotInWave
	// UpkeepNoMachine means that there is no such machine.
	UpkeepNoMachine
	// UpkeepLater means that nothing was done because of too many calls.
	UpkeepLater
)

var upkeepNames = [...]string{"begun", "fenced", "busy", "not_in_wave", "no_machine", "later"}

// String is for logs.
func (o UpkeepOutcome) String() string { return upkeepNames[o] }

// Machines is the platform's interface to its machines. An error of Upkeep means that the
// order may have been carried out; it may be repeated.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Upkeep(ctx context.Context, o UpkeepOrder) (UpkeepOutcome, error)
}
