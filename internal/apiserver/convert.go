package apiserver

import (
	"strings"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/model"
)

// jobAnswer returns a job as the API shows it.
func jobAnswer(j *model.Job) *api.Job {
	answer := &api.Job{
		Organisation:   string(j.Spec.Key.Organisation),
		ID:             string(j.Spec.Key.ID),
		Service:        string(j.Spec.Service),
		State:          api.JobState(j.State),
		Tasks:          j.Spec.Tasks,
		Accelerators:   j.Spec.Task.Accelerators,
		Zone:           optString(string(j.HomeShard.Zone)),
		Attempt:        j.Attempt,
		AcceptedUnixMS: j.AcceptedUnixMS,
		Reason:         optString(j.Reason),
		Result:         optString(string(j.Result)),
		Workers:        workers(j.Placement),
	}
	if j.EndUnixMS != 0 {
		answer.EndUnixMS = api.NewOptInt64(j.EndUnixMS)
	}
	return answer
}

// workers returns the workers of a gang, each once, in the order of its tasks.
func workers(p *model.Placement) []string {
	if p == nil {
		return nil
	}
	seen := map[model.WorkerID]bool{}
	var names []string
	for _, m := range p.Members {
		if !seen[m.Worker] {
			names = append(names, string(m.Worker))
			seen[m.Worker] = true
		}
	}
	return names
}

// optString returns s, or an absent value when it is empty. JSON holds only valid UTF-8.
func optString(s string) api.OptString {
	if s == "" {
		return api.OptString{}
	}
	return api.NewOptString(strings.ToValidUTF8(s, "\uFFFD"))
}
