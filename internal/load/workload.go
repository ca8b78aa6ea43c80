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

// plannedJob is a job that a caller submits at a time of the run.
type plannedJob struct {
	at           time.Duration
	organisation model.Organisation
	request      api.JobRequest
	fate         judge.Fate
	cancelAfter  time.Duration // with FateCancel
}

// plannedRequest is a request that a caller sends at a time of the run.
type plannedRequest struct {
	at            time.Duration
	organisation  model.Organisation
	id            string
	service       model.Service
	nonRepeatable bool
	marked        bool // non-repeatable by the caller's mark on a repeatable service
	body          []byte
}

// Size is the size of a workload.
type Size struct {
	Jobs       int
	Impossible int // of Jobs, can never run
	Cancelled  int // of Jobs, cancelled by their callers
	Requests   int
	Once       int // of Requests, non-repeatable
	Over       time.Duration
	// RunMS bounds the true run time of a job.
	MinRunMS, MaxRunMS int64
}

// Workload is what callers do.
type Workload struct {
	jobs     []plannedJob
	requests []plannedRequest
}

// gangs are the shapes of gangs: tasks, accelerators of each, and the level that
// holds the gang.
var gangs = []struct {
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
	smallGang = 8
	// cancelledRunMS is longer than the judge lets a cancelled job run on, so that
	// one which is not stopped shows.
	cancelledRunMS = 30_000
	// prefix keeps the ids of two workloads on one deployment apart.
	jobPrefix     = "job"
	requestPrefix = "req"
)

// generator makes a workload from a seed.
type generator struct {
	profile Profile
	size    Size
	tag     string
	random  *rand.Rand
}

// NewWorkload returns the workload of a seed. The tag is part of every id.
func NewWorkload(p Profile, s Size, tag string, seed uint64) *Workload {
	g := &generator{profile: p, size: s, tag: tag, random: rand.New(rand.NewPCG(seed, 1))}
	w := &Workload{}
	for i := range s.Jobs {
		w.jobs = append(w.jobs, g.job(i))
	}
	for i := range s.Requests {
		w.requests = append(w.requests, g.request(i))
	}
	slices.SortFunc(w.jobs, func(a, b plannedJob) int { return cmp.Compare(a.at, b.at) })
	slices.SortFunc(w.requests, func(a, b plannedRequest) int { return cmp.Compare(a.at, b.at) })
	return w
}

func (g *generator) moment() time.Duration {
	return time.Duration(g.random.Int64N(int64(g.size.Over) + 1))
}

func (g *generator) organisation() model.Organisation {
	return g.profile.Organisations[g.random.IntN(len(g.profile.Organisations))]
}

// job plans job i: first the impossible ones, then the cancelled ones.
func (g *generator) job(i int) plannedJob {
	shape := gangs[g.random.IntN(len(gangs))]
	service := g.profile.LargeJobs
	if shape.tasks <= smallGang && g.random.IntN(2) == 0 {
		service = g.profile.SmallJobs
	}
	runMS := g.size.MinRunMS + g.random.Int64N(g.size.MaxRunMS-g.size.MinRunMS+1)
	job := plannedJob{at: g.moment(), organisation: g.organisation(), fate: judge.FateComplete}
	job.request = api.JobRequest{
		ID:           api.NewOptString(fmt.Sprintf("%s-%s-%04d", jobPrefix, g.tag, i)),
		Service:      string(service),
		Tasks:        shape.tasks,
		Accelerators: api.NewOptInt(shape.accelerators),
		Cpus:         api.NewOptInt(1 + g.random.IntN(2*shape.accelerators)),
		MemoryMB:     api.NewOptInt(1024 * shape.accelerators),
		Within:       api.NewOptLevel(shape.within),
		// Declared run times are far off: between a quarter and four times the true one.
		DeclaredSeconds: api.NewOptFloat64(float64(runMS) / 1000 * (0.25 + 3.75*g.random.Float64())),
	}
	switch {
	case i < g.size.Impossible:
		g.makeImpossible(&job, i)
	case i < g.size.Impossible+g.size.Cancelled:
		job.fate = judge.FateCancel
		job.cancelAfter = time.Duration(200+g.random.IntN(1500)) * time.Millisecond
		runMS = cancelledRunMS
	}
	job.request.Payload = api.NewOptString(payload(runMS))
	return job
}

// makeImpossible makes a job larger than any worker, any zone, or any limit.
func (g *generator) makeImpossible(job *plannedJob, i int) {
	job.fate = judge.FateRefuse
	switch i % 4 {
	case 0:
		job.request.Accelerators = api.NewOptInt(model.AcceleratorsPerWorker + 1)
	case 1:
		job.request.Cpus = api.NewOptInt(100_000)
	case 2:
		job.request.Service = string(g.profile.LargeJobs)
		job.request.Tasks = 500
		job.request.Accelerators = api.NewOptInt(model.AcceleratorsPerWorker)
	case 3:
		job.request.Zone = api.NewOptString("no-such-zone")
	}
}

// payload returns the payload of a job with the given true run time.
func payload(runMS int64) string {
	data, err := json.Marshal(emulator.Payload{RunMS: runMS, CheckpointMS: 50, CPUs: 1, Result: "done"})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// request plans request i: first the non-repeatable ones. Every fifth of those is
// marked by its caller on a repeatable service.
func (g *generator) request(i int) plannedRequest {
	r := plannedRequest{
		at:           g.moment(),
		organisation: g.organisation(),
		id:           fmt.Sprintf("%s-%s-%05d", requestPrefix, g.tag, i),
		service:      g.profile.Repeatable,
	}
	if i < g.size.Once {
		r.nonRepeatable = true
		r.marked = i%5 == 0
	}
	if r.nonRepeatable && !r.marked {
		r.service = g.profile.NonRepeatable
	}
	r.body = fmt.Appendf(nil, `{"request": %q, "value": %d}`, r.id, g.random.Uint64())
	return r
}
