package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/judge"
	"github.com/daisyfold/daisyfold/internal/model"
)

// plannedJob is a job to submit at a set time.
type plannedJob struct {
	startAfter   time.Duration
	organisation model.Organisation
	request      api.JobRequest
	expected     judge.Expectation
	cancelAfter  time.Duration // for judge.ExpectCancel
}

// plannedRequest is a request to send at a set time.
type plannedRequest struct {
	startAfter     time.Duration
	organisation   model.Organisation
	id             string
	service        model.Service
	nonRepeatable  bool
	markedByCaller bool // the caller marks a request to a repeatable service as non-repeatable
	body           []byte
}

// WorkloadSize is the size of a workload.
type WorkloadSize struct {
	Jobs                  int
	ImpossibleJobs        int // of Jobs; they can never run
	CancelledJobs         int // of Jobs; their callers cancel them
	Requests              int
	NonRepeatableRequests int // of Requests
	Duration              time.Duration
	// MinRunMS and MaxRunMS bound the true run time of a job, in milliseconds.
	MinRunMS, MaxRunMS int64
}

// Workload is the jobs and requests of a run, sorted by time.
type Workload struct {
	jobs     []plannedJob
	requests []plannedRequest
}

// gangShapes are the number of tasks, the accelerators of each task and the level that holds
// the gang.
var gangShapes = []struct {
	tasks, accelerators int
	within              api.Level
}{
	{1, 1, api.LevelWorker},
	{1, 2, api.LevelWorker},
	{1, 4, api.LevelWorker},
	{1, 8, api.LevelWorker},
	{2, 1, api.LevelRack},
	{4, 2, api.LevelRack},
	{2, 8, api.LevelRack},
	{8, 1, api.LevelZone},
	{8, 2, api.LevelZone},
	{4, 8, api.LevelRack},
	{16, 2, api.LevelZone},
	{32, 1, api.LevelZone},
}

const (
	maxSmallGangTasks = 8
	// cancelledRunMS is longer than the judge allows a cancelled job to go on, so that a
	// job that is not stopped is found.
	cancelledRunMS = 30_000
	// The prefixes of the IDs of jobs and of requests.
	jobPrefix     = "job"
	requestPrefix = "req"
)

// workloadGenerator generates a workload from a seed.
type workloadGenerator struct {
	profile Profile
	size    WorkloadSize
	idTag   string
	random  *rand.Rand
}

// NewWorkload returns the workload of a seed. The IDs of its jobs and requests contain idTag,
// which keeps the IDs of two workloads on one deployment apart.
func NewWorkload(p Profile, s WorkloadSize, idTag string, seed uint64) *Workload {
	g := &workloadGenerator{profile: p, size: s, idTag: idTag, random: rand.New(rand.NewPCG(seed, 1))}
	w := &Workload{}
	for i := range s.Jobs {
		w.jobs = append(w.jobs, g.planJob(i))
	}
	for i := range s.Requests {
		w.requests = append(w.requests, g.planRequest(i))
	}
	slices.SortFunc(w.jobs, func(a, b plannedJob) int { return cmp.Compare(a.startAfter, b.startAfter) })
	slices.SortFunc(w.requests, func(a, b plannedRequest) int { return cmp.Compare(a.startAfter, b.startAfter) })
	return w
}

// randomStart returns a random time within the duration of the workload.
func (g *workloadGenerator) randomStart() time.Duration {
	return time.Duration(g.random.Int64N(int64(g.size.Duration) + 1))
}

func (g *workloadGenerator) randomOrganisation() model.Organisation {
	return g.profile.Organisations[g.random.IntN(len(g.profile.Organisations))]
}

// planJob plans job i. The first jobs are the impossible ones, then come the cancelled ones.
func (g *workloadGenerator) planJob(i int) plannedJob {
	shape := gangShapes[g.random.IntN(len(gangShapes))]
	service := g.profile.LargeJobService
	if shape.tasks <= maxSmallGangTasks && g.random.IntN(2) == 0 {
		service = g.profile.SmallJobService
	}
	runMS := g.size.MinRunMS + g.random.Int64N(g.size.MaxRunMS-g.size.MinRunMS+1)
	job := plannedJob{startAfter: g.randomStart(), organisation: g.randomOrganisation(), expected: judge.ExpectComplete}
	job.request = api.JobRequest{
		ID:           api.NewOptString(fmt.Sprintf("%s-%s-%04d", jobPrefix, g.idTag, i)),
		Service:      string(service),
		Tasks:        shape.tasks,
		Accelerators: api.NewOptInt(shape.accelerators),
		Cpus:         api.NewOptInt(1 + g.random.IntN(2*shape.accelerators)),
		MemoryMB:     api.NewOptInt(1024 * shape.accelerators),
		Within:       api.NewOptLevel(shape.within),
		// The declared run time is between a quarter and four times the true one.
		DeclaredSeconds: api.NewOptFloat64(float64(runMS) / 1000 * (0.25 + 3.75*g.random.Float64())),
	}
	switch {
	case i < g.size.ImpossibleJobs:
		g.makeImpossible(&job, i)
	case i < g.size.ImpossibleJobs+g.size.CancelledJobs:
		job.expected = judge.ExpectCancel
		job.cancelAfter = time.Duration(200+g.random.IntN(1500)) * time.Millisecond
		runMS = cancelledRunMS
	}
	job.request.Payload = api.NewOptString(jobPayload(runMS))
	return job
}

// makeImpossible makes a job too large for any worker or zone, or names an unknown zone.
func (g *workloadGenerator) makeImpossible(job *plannedJob, i int) {
	job.expected = judge.ExpectReject
	switch i % 4 {
	case 0:
		job.request.Accelerators = api.NewOptInt(model.AcceleratorsPerWorker + 1)
	case 1:
		job.request.Cpus = api.NewOptInt(100_000)
	case 2:
		job.request.Service = string(g.profile.LargeJobService)
		job.request.Tasks = 500
		job.request.Accelerators = api.NewOptInt(model.AcceleratorsPerWorker)
	case 3:
		job.request.Zone = api.NewOptString("no-such-zone")
	}
}

// jobPayload returns the payload of a job with the given true run time in milliseconds.
func jobPayload(runMS int64) string {
	data, err := json.Marshal(emulator.Payload{RunMS: runMS, CheckpointMS: 50, CPUs: 1, Result: "done"})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// planRequest plans request i. The first requests are the non-repeatable ones, one in five
// of which goes to a repeatable service and is marked by its caller.
func (g *workloadGenerator) planRequest(i int) plannedRequest {
	r := plannedRequest{
		startAfter:   g.randomStart(),
		organisation: g.randomOrganisation(),
		id:           fmt.Sprintf("%s-%s-%05d", requestPrefix, g.idTag, i),
		service:      g.profile.RepeatableService,
	}
	if i < g.size.NonRepeatableRequests {
		r.nonRepeatable = true
		r.markedByCaller = i%5 == 0
	}
	if r.nonRepeatable && !r.markedByCaller {
		r.service = g.profile.NonRepeatableService
	}
	r.body = fmt.Appendf(nil, `{"request": %q, "value": %d}`, r.id, g.random.Uint64())
	return r
}
