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
	// convergeLimit is the bound of the design page on the time until an accepted
	// text is in force everywhere (3 s), with a second for polling.
	convergeLimit = 4 * time.Second
	checkLimit    = 20 * time.Second
)

// edit is one operator's attempt to replace the text of version base.
type edit struct{ base int64 }

// editResult is what the operator was told.
type editResult struct {
	accepted, unknown bool
	version           int64
}

// editModel is the configuration as a register with compare and swap on the
// version. A refused edit changes nothing; one with an unknown outcome may have
// been accepted.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} },
	Step: func(state, input, output any) []any {
		version, in, out := state.(int64), input.(edit), output.(editResult)
		switch {
		case out.accepted && in.base == version && out.version == version+1:
			return []any{version + 1}
		case out.accepted:
			return nil
		case out.unknown && in.base == version:
			return []any{version, version + 1}
		default:
			return []any{version}
		}
	},
}

// cmdRace lets operators race: race OPERATORS ROUNDS. In each round they all edit
// the version that was in force before it, each at another host. The history must
// be linearizable, and every host must have the last version in force soon.
func cmdRace(s *scenario, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("race OPERATORS ROUNDS")
	}
	operators, errOperators := strconv.Atoi(args[0])
	rounds, errRounds := strconv.Atoi(args[1])
	if errOperators != nil || errRounds != nil {
		return usage("race OPERATORS ROUNDS")
	}
	text, err := s.readText()
	if err != nil {
		return trace.Wrap(err)
	}
	r := &race{scenario: s, text: text, version: 1, operators: operators}
	for round := range rounds {
		r.round(round)
		if err := r.converge(); err != nil {
			return trace.Wrap(err)
		}
	}
	ts.Logf("%d edits, version %d in force", len(r.history), r.version)
	result := porcupine.CheckOperationsTimeout(editModel.ToModel(), r.history, checkLimit)
	if result != porcupine.Ok {
		return trace.Errorf("the history of %d edits is not linearizable: %s", len(r.history), result)
	}
	return nil
}

// race is a race of operators.
type race struct {
	scenario  *scenario
	text      string
	operators int
	version   int64

	mu      sync.Mutex
	history []porcupine.Operation
}

// round lets every operator edit the version in force at once.
func (r *race) round(round int) {
	var all sync.WaitGroup
	for operator := range r.operators {
		all.Go(func() { r.edit(round, operator) })
	}
	all.Wait()
}

// edit publishes one edit and records its outcome.
func (r *race) edit(round, operator int) {
	s := r.scenario
	hosts := s.callers.hosts
	client := s.callers.client(hosts[(round+operator)%len(hosts)], operatorKey)
	id := fmt.Sprintf("race-%d-%d", round, operator)
	ctx, cancel := context.WithTimeout(s.ctx, attemptTimeout)
	defer cancel()
	call := time.Now()
	answer, err := client.PublishConfig(ctx, &api.ConfigEdit{
		ID:          id,
		BaseVersion: r.version,
		Text:        r.text + "\n// " + id + "\n",
	})
	result := editResult{unknown: true}
	var failure *api.ErrorStatusCode
	switch {
	case err == nil:
		result = editResult{accepted: true, version: answer.Version}
	case errors.As(err, &failure):
		conflict := apierror.Code(failure.Response.Code) == apierror.CodeVersionConflict
		result.unknown = !conflict && failure.Response.Outcome != api.ErrorOutcomeNotRun
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{
		ClientId: operator,
		Input:    edit{base: r.version},
		Output:   result,
		Call:     call.UnixNano(),
		Return:   time.Now().UnixNano(),
	})
}

// converge waits until all hosts have the same later version and the same text.
func (r *race) converge() error {
	s := r.scenario
	ctx, cancel := context.WithTimeout(s.ctx, convergeLimit)
	defer cancel()
	before := r.version
	return trace.Wrap(s.cluster.await(ctx, "the same configuration on all hosts", func() (bool, string) {
		texts := map[string]bool{}
		versions := map[int64]bool{}
		for _, hostPort := range s.callers.hosts {
			current, err := s.callers.client(hostPort, operatorKey).GetConfig(ctx)
			if err != nil {
				return false, errorText(err)
			}
			texts[current.Text], versions[current.Version] = true, true
			r.version = current.Version
		}
		same := len(texts) == 1 && len(versions) == 1 && r.version > before
		return same, fmt.Sprintf("versions %v", versions)
	}))
}
