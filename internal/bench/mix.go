package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// day is the time over which jobs of a mix arrive.
const day = 24 * time.Hour

// service is a class of jobs with run times of its own.
type service struct {
	name     model.Service
	priority model.Priority
	median   time.Duration
	spread   float64 // standard deviation of the logarithm of the run time
	sizes    []int   // accelerators of a gang, drawn evenly
	weight   int     // share of arrivals
}

// deployment is one deployment's hardware, guarantees and job mix.
type deployment struct {
	name       string
	zones      []model.Zone
	services   []service
	orgs       []model.Organisation
	orgWeights []int // share of arrivals
	guarantees []model.Guarantee
	load       float64 // offered work as a share of the hardware, over a day
}

// workersPerZone gives 50 workers in four zones; 13 leaves a ragged rack of one.
var workersPerZone = []int{13, 13, 12, 12}

const (
	workersPerRack = 6
	workerCPUs     = 128
	workerMemoryMB = 512 << 10
)

func shape(cell model.Level, count int, within model.Level) model.Shape {
	return model.Shape{Cell: cell, Count: count, Within: within}
}

func newDeployment(name string, zones []model.Zone, orgs []model.Organisation, services []service) *deployment {
	d := &deployment{name: name, zones: zones, orgs: orgs, services: services, orgWeights: []int{45, 30, 15, 10}, load: 1}
	for _, z := range zones {
		d.guarantees = append(d.guarantees,
			model.Guarantee{Organisation: orgs[0], Zone: z, Shape: shape(model.LevelWorker, 4, model.LevelRack), ShapeCount: 1},
			model.Guarantee{Organisation: orgs[1], Zone: z, Shape: shape(model.LevelWorker, 1, model.LevelWorker), ShapeCount: 1},
			model.Guarantee{Organisation: orgs[2], Zone: z, Shape: shape(model.LevelFour, 1, model.LevelWorker), ShapeCount: 2},
			model.Guarantee{Organisation: orgs[3], Zone: z, Shape: shape(model.LevelPair, 1, model.LevelWorker), ShapeCount: 2},
		)
	}
	return d
}

func kerherve() *deployment {
	return newDeployment("kerherve",
		[]model.Zone{"quimper", "vannes", "rennes", "brest"},
		[]model.Organisation{"treble", "tenor", "handbell", "carillon"},
		[]service{
			{"engrave", model.PriorityHigh, 6 * time.Minute, 1.0, []int{1, 1, 2}, 25},
			{"arrange", model.PriorityNormal, 30 * time.Minute, 1.3, []int{1, 2, 4, 8}, 45},
			{"train", model.PriorityNormal, 60 * time.Minute, 1.2, []int{8, 16, 16, 32}, 15},
			{"render", model.PriorityNormal, 40 * time.Minute, 1.3, []int{1, 4, 8, 48}, 15},
		})
}

func association() *deployment {
	return newDeployment("association",
		[]model.Zone{"nuwara", "horton", "kotmale", "victoria"},
		[]model.Organisation{"survey", "bulletin", "rescue", "archive"},
		[]service{
			{"notice", model.PriorityUrgent, 2 * time.Minute, 0.7, []int{1, 2, 4}, 10},
			{"forecast", model.PriorityNormal, 30 * time.Minute, 1.2, []int{1, 2, 4, 8, 16}, 50},
			{"ice-model", model.PriorityNormal, 60 * time.Minute, 1.1, []int{16, 32, 32, 48}, 12},
			{"summary", model.PriorityBatch, 40 * time.Minute, 1.3, []int{1, 2, 4, 8}, 28},
		})
}

func (d *deployment) workers(zone int) []model.Worker {
	out := make([]model.Worker, workersPerZone[zone])
	for i := range out {
		out[i] = model.Worker{
			ID: model.WorkerID(fmt.Sprintf("%s-%02d", d.zones[zone], i)), Zone: d.zones[zone],
			Rack:     fmt.Sprintf("%s-r%d", d.zones[zone], i/workersPerRack),
			Capacity: model.Resources{CPUs: workerCPUs, MemoryMB: workerMemoryMB, Accelerators: model.AcceleratorsPerWorker},
		}
	}
	return out
}

// simJob is a job with its true run time, which only the worker table knows.
type simJob struct {
	job     *model.Job
	arrival time.Duration
	runtime time.Duration
	left    time.Duration
	zone    int // where it waits or runs
	started time.Duration
	first   time.Duration // first start, or -1
	end     time.Duration
	running *model.Placement
	stops   time.Duration // when its stop ends, 0 when it is not stopping
}

// jobs draws a day of jobs: a steady stream, and bursts of small and of large gangs.
func (d *deployment) jobs(r *rand.Rand) []*simJob {
	budget := d.load * day.Seconds() * float64(d.accelerators())
	var out []*simJob
	for budget > 0 {
		at := arrival(r)
		count, class := 1, d.draw(r)
		switch draw := r.Float64(); {
		case draw < 0.01: // a burst of small jobs
			count, class = 40+r.IntN(80), &d.services[0]
		case draw < 0.016: // a burst of large gangs
			count, class = 4+r.IntN(6), &d.services[2]
		}
		org := d.org(r)
		for range count {
			j := d.job(r, class, org, at+time.Duration(r.Float64()*float64(time.Minute)))
			budget -= j.runtime.Seconds() * float64(j.job.Spec.Accelerators())
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *simJob) int { return int(a.arrival - b.arrival) })
	for i, j := range out {
		j.job.Spec.Key.ID = model.JobID(fmt.Sprintf("j%05d", i))
	}
	return out
}

// arrival draws a time of day. Most work arrives in the working hours, in which the
// offered work exceeds the hardware; the rest of the day works off the queue.
func arrival(r *rand.Rand) time.Duration {
	const (
		workBegin = 6 * time.Hour
		workHours = 12 * time.Hour
		workShare = 0.7
	)
	if r.Float64() < workShare {
		return workBegin + time.Duration(r.Float64()*float64(workHours))
	}
	return (workBegin + workHours + time.Duration(r.Float64()*float64(day-workHours))) % day
}

func (d *deployment) accelerators() int {
	n := 0
	for zone := range d.zones {
		n += workersPerZone[zone] * model.AcceleratorsPerWorker
	}
	return n
}

func (d *deployment) draw(r *rand.Rand) *service {
	at := r.IntN(100)
	for i := range d.services {
		if at -= d.services[i].weight; at < 0 {
			return &d.services[i]
		}
	}
	return &d.services[0]
}

func (d *deployment) org(r *rand.Rand) model.Organisation {
	at := r.IntN(100)
	for i, weight := range d.orgWeights {
		if at -= weight; at < 0 {
			return d.orgs[i]
		}
	}
	return d.orgs[0]
}

func (d *deployment) job(r *rand.Rand, s *service, org model.Organisation, at time.Duration) *simJob {
	size := s.sizes[r.IntN(len(s.sizes))]
	runtime := time.Duration(float64(s.median) * math.Exp(s.spread*r.NormFloat64()))
	runtime = min(max(runtime, 10*time.Second), day)
	spec := model.JobSpec{
		Key: model.JobKey{Organisation: org}, Service: s.name, Priority: s.priority,
		// Declared run times are off by up to a factor of ten.
		DeclaredRunTime: time.Duration(float64(runtime) * math.Pow(10, 2*r.Float64()-1)),
	}
	spec.Tasks, spec.Within = gang(size)
	per := size / spec.Tasks
	spec.Task = model.Resources{CPUs: per * 12, MemoryMB: per * 48 << 10, Accelerators: per}
	return &simJob{
		job:     &model.Job{Spec: spec, State: model.JobWaiting, AcceptedUnixMS: millis(at)},
		arrival: at, runtime: runtime, left: runtime, first: -1,
	}
}

// gang splits accelerators into tasks of at most one worker.
func gang(size int) (int, model.Level) {
	switch {
	case size <= model.AcceleratorsPerWorker:
		return 1, model.LevelWorker
	case size <= workersPerRack*model.AcceleratorsPerWorker:
		return size / model.AcceleratorsPerWorker, model.LevelRack
	default:
		return size / model.AcceleratorsPerWorker, model.LevelZone
	}
}

// epoch is the virtual time at which a run begins.
var epoch = time.UnixMilli(1_700_000_000_000)

func millis(at time.Duration) int64 { return epoch.Add(at).UnixMilli() }
