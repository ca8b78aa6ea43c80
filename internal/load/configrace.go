package load

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
)

const (
	// convergeTimeout is the bound in docs/design.md on the time until an accepted text is in
	// force everywhere (3 s), plus 1 s for polling.
	convergeTimeout             = 4 * time.Second
	linearizabilityCheckTimeout = 20 * time.Second
)

// configEdit is an operator's attempt to replace the text of version baseVersion.
type configEdit struct{ baseVersion int64 }

// editResult is the outcome that the operator was told.
type editResult struct {
	accepted, unknown bool
	version           int64
}

// editModel models the configuration as a compare-and-swap register of the version. A
// rejected edit changes nothing; an edit with an unknown outcome may have been accepted.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(int64), input.(configEdit), output.(editResult)
		switch {
		case out.accepted && in.baseVersion == version && out.version == version+1:
			return []any{version + 1}
		case out.accepted:
			return nil
		case out.unknown && in.baseVersion == version:
			return []any{version, version + 1}
		default:
			return []any{version}
		}
	},
}

// cmdRace runs concurrent configuration edits: race OPERATORS ROUNDS. In each round all
// operators edit the same version, each on another host. The history must be linearizable,
// and all hosts must have the last version in force within convergeTimeout of each round.
func cmdRace(s *scenario, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("race OPERATORS ROUNDS")
	}
	operators, errOperators := strconv.Atoi(args[0])
	rounds, errRounds := strconv.Atoi(args[1])
	if errOperators != nil || errRounds != nil {
		return usage("race OPERATORS ROUNDS")
	}
	text, err := s.readConfigText()
	if err != nil {
		return trace.Wrap(err)
	}
	r := &editRace{scenario: s, configText: text, configVersion: 1, operators: operators}
	for round := range rounds {
		r.runRound(round)
		if err := r.awaitConvergence(); err != nil {
			return trace.Wrap(err)
		}
	}
	ts.Logf("%d edits, version %d in force", len(r.history), r.configVersion)
	result := porcupine.CheckOperationsTimeout(editModel.ToModel(), r.history, linearizabilityCheckTimeout)
	if result != porcupine.Ok {
		return trace.Errorf("the history of %d edits is not linearizable: %s", len(r.history), result)
	}
	return nil
}

// editRace is the state of the race command.
type editRace struct {
	scenario      *scenario
	configText    string
	operators     int
	configVersion int64

	mu      sync.Mutex
	history []porcupine.Operation
}

// runRound lets all operators edit the version in force concurrently.
func (r *editRace) runRound(round int) {
	var wg sync.WaitGroup
	for operator := range r.operators {
		wg.Go(func() { r.publishEdit(round, operator) })
	}
	wg.Wait()
}

// publishEdit publishes an edit and records its outcome.
func (r *editRace) publishEdit(round, operator int) {
	s := r.scenario
	hosts := s.caller.addresses
	client := s.caller.client(hosts[(round+operator)%len(hosts)], operatorKey)
	id := fmt.Sprintf("race-%d-%d", round, operator)
	ctx, cancel := context.WithTimeout(s.ctx, attemptTimeout)
	defer cancel()
	callTime := time.Now()
	response, err := client.PublishConfig(ctx, &api.ConfigEdit{
		ID:          id,
		BaseVersion: r.configVersion,
		Text:        r.configText + "\n// " + id + "\n",
	})
	result := editResult{unknown: true}
	var failure *api.ErrorStatusCode
	switch {
	case err == nil:
		result = editResult{accepted: true, version: response.Version}
	case errors.As(err, &failure):
		conflict := apierror.Code(failure.Response.Code) == apierror.CodeVersionConflict
		result.unknown = !conflict && failure.Response.Outcome != api.ErrorOutcomeNotRun
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: operator,
		Input:    configEdit{baseVersion: r.configVersion},
		Output:   result,
		Call:     callTime.UnixNano(),
		Return:   time.Now().UnixNano(),
	})
}

// awaitConvergence waits until all hosts have the same newer version and the same text.
func (r *editRace) awaitConvergence() error {
	s := r.scenario
	ctx, cancel := context.WithTimeout(s.ctx, convergeTimeout)
	defer cancel()
	before := r.configVersion
	return trace.Wrap(s.cluster.await(ctx, "the same configuration on all hosts", func() (bool, string) {
		texts := map[string]bool{}
		versions := map[int64]bool{}
		for _, hostPort := range s.caller.addresses {
			current, err := s.caller.client(hostPort, operatorKey).GetConfig(ctx)
			if err != nil {
				return false, errorText(err)
			}
			texts[current.Text], versions[current.Version] = true, true
			r.configVersion = current.Version
		}
		same := len(texts) == 1 && len(versions) == 1 && r.configVersion > before
		return same, fmt.Sprintf("versions %v", versions)
	}))
}
