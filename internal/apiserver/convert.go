package apiserver

import (
	"strings"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/model"
)

// apiJob converts a job to its API representation.
func apiJob(j *model.Job) *api.Job {
	out := &api.Job{
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
		Workers:        placementWorkers(j.Placement),
	}
	if j.EndUnixMS != 0 {
		out.EndUnixMS = api.NewOptInt64(j.EndUnixMS)
	}
	return out
}

// placementWorkers returns the distinct workers of a placement, in task order.
func placementWorkers(p *model.Placement) []string {
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

// optString returns s, or an absent value if s is empty. Invalid UTF-8, which JSON cannot
// encode, is replaced by U+FFFD.
func optString(s string) api.OptString {
	if s == "" {
		return api.OptString{}
	}
	return api.NewOptString(strings.ToValidUTF8(s, "\uFFFD"))
}
