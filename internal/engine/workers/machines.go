package workers

import "context"

// Machine is a machine of the platform. A worker is one incarnation of a machine.
type Machine struct {
	Name     string
	WorkerID string
	Up       bool // false while the machine moves, is in upkeep or is down
}

// UpkeepOrder takes a machine down for upkeep. All runs on the machine end.
type UpkeepOrder struct {
	Machine string
	Wave    int64
	// Holder is the member name of the scheduler that sends the order, and Fence is its
	// fencing token. A machine rejects a lower token than it has seen.
	Holder string
	Fence  int64
}

// UpkeepOutcome is the platform's response to an upkeep order.
type UpkeepOutcome int

// Outcomes of an upkeep order.
const (
	// UpkeepBegun means that the upkeep is in progress or completed.
	UpkeepBegun UpkeepOutcome = iota
	// UpkeepFenced means that the machine has seen a higher fencing token.
	UpkeepFenced
	// UpkeepBusy means that the machine is not up or is leaving.
	UpkeepBusy
	// UpkeepNotInWave means that the machine does not belong to the wave.
	UpkeepNotInWave
	// UpkeepNoMachine means that the machine does not exist.
	UpkeepNoMachine
	// UpkeepThrottled means that the platform did nothing, because of too many calls.
	UpkeepThrottled
)

var upkeepOutcomeNames = [...]string{"begun", "fenced", "busy", "not_in_wave", "no_machine", "later"}

// String returns the outcome's name for logs.
func (o UpkeepOutcome) String() string { return upkeepOutcomeNames[o] }

// Machines is a client of the platform's machine API.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]Machine, error)
	// Upkeep sends an upkeep order. An error leaves open whether the order was executed;
	// the same order may be sent again.
	Upkeep(ctx context.Context, o UpkeepOrder) (UpkeepOutcome, error)
}
