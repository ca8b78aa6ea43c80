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

// jobClass is a class of jobs with a common service, priority and run time distribution.
type jobClass struct {
	service       model.Service
	priority      model.Priority
	medianRunTime time.Duration
	runTimeSigma  float64 // standard deviation of the logarithm of the run time
	gangSizes     []int   // accelerators of a gang, each entry equally likely
	weight        int     // share of arrivals, in percent
}

// deployment is the hardware, the guarantees and the job mix of a simulated deployment.
type deployment struct {
	name                string
	zones               []model.Zone
	jobClasses          []jobClass
	organisations       []model.Organisation
	organisationWeights []int // share of arrivals by organisation, in percent
	guarantees          []model.Guarantee
	offeredLoad         float64 // work that arrives in a day, as a share of what the hardware can do
}

// workersPerZone is the number of workers of each zone, 50 in total. A zone of 13 has a last
// rack with one worker.
var workersPerZone = []int{13, 13, 12, 12}

const (
	workersPerRack = 6
	workerCPUs     = 128
	workerMemoryMB = 512 << 10
)

// newShape returns a shape of count cells of the given level.
func newShape(cell model.Level, count int, within model.Level) model.Shape {
	return model.Shape{Cell: cell, Count: count, Within: within}
}

// newDeployment returns a deployment in which each organisation has a guarantee in each zone.
func newDeployment(name string, zones []model.Zone, organisations []model.Organisation, classes []jobClass) *deployment {
	d := &deployment{name: name, zones: zones, organisations: organisations, jobClasses: classes, organisationWeights: []int{45, 30, 15, 10}, offeredLoad: 1}
	for _, z := range zones {
		d.guarantees = append(d.guarantees,
			model.Guarantee{Organisation: organisations[0], Zone: z, Shape: newShape(model.LevelWorker, 4, model.LevelRack), ShapeCount: 1},
			model.Guarantee{Organisation: organisations[1], Zone: z, Shape: newShape(model.LevelWorker, 1, model.LevelWorker), ShapeCount: 1},
			model.Guarantee{Organisation: organisations[2], Zone: z, Shape: newShape(model.LevelFour, 1, model.LevelWorker), ShapeCount: 2},
			model.Guarantee{Organisation: organisations[3], Zone: z, Shape: newShape(model.LevelPair, 1, model.LevelWorker), ShapeCount: 2},
		)
	}
	return d
}

func kerherveDeployment() *deployment {
	return newDeployment("kerherve",
		[]model.Zone{"quimper", "vannes", "rennes", "brest"},
		[]model.Organisation{"treble", "tenor", "handbell", "carillon"},
		[]jobClass{
			{"engrave", model.PriorityHigh, 6 * time.Minute, 1.0, []int{1, 1, 2}, 25},
			{"arrange", model.PriorityNormal, 30 * time.Minute, 1.3, []int{1, 2, 4, 8}, 45},
			{"train", model.PriorityNormal, 60 * time.Minute, 1.2, []int{8, 16, 16, 32}, 15},
			{"render", model.PriorityNormal, 40 * time.Minute, 1.3, []int{1, 4, 8, 48}, 15},
		})
}

func associationDeployment() *deployment {
	return newDeployment("association",
		[]model.Zone{"nuwara", "horton", "kotmale", "victoria"},
		[]model.Organisation{"survey", "bulletin", "rescue", "archive"},
		[]jobClass{
			{"notice", model.PriorityUrgent, 2 * time.Minute, 0.7, []int{1, 2, 4}, 10},
			{"forecast", model.PriorityNormal, 30 * time.Minute, 1.2, []int{1, 2, 4, 8, 16}, 50},
			{"ice-model", model.PriorityNormal, 60 * time.Minute, 1.1, []int{16, 32, 32, 48}, 12},
			{"summary", model.PriorityBatch, 40 * time.Minute, 1.3, []int{1, 2, 4, 8}, 28},
		})
}

// zoneWorkers returns the workers of the zone with the given index.
func (d *deployment) zoneWorkers(zone int) []model.Worker {
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

// simJob is a job with its true run time, which the placement policies do not see.
type simJob struct {
	job        *model.Job
	arrival    time.Duration
	runTime    time.Duration
	remaining  time.Duration
	zone       int // index of the zone in which the job waits or runs
	startedAt  time.Duration
	firstStart time.Duration // -1 before the first start
	finishedAt time.Duration
	placement  *model.Placement
	stopsAt    time.Duration // end of the preemption, 0 if the job is not being preempted
}

// randomJobs draws a day of jobs: a steady stream, and bursts of small jobs and of large
// gangs. The jobs are sorted by arrival.
func (d *deployment) randomJobs(r *rand.Rand) []*simJob {
	remainingWork := d.offeredLoad * day.Seconds() * float64(d.totalAccelerators())
	var out []*simJob
	for remainingWork > 0 {
		at := randomArrival(r)
		count, class := 1, d.randomJobClass(r)
		switch draw := r.Float64(); {
		case draw < 0.01: // a burst of small jobs
			count, class = 40+r.IntN(80), &d.jobClasses[0]
		case draw < 0.016: // a burst of large gangs
			count, class = 4+r.IntN(6), &d.jobClasses[2]
		}
		org := d.randomOrganisation(r)
		for range count {
			j := d.randomJob(r, class, org, at+time.Duration(r.Float64()*float64(time.Minute)))
			remainingWork -= j.runTime.Seconds() * float64(j.job.Spec.Accelerators())
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *simJob) int { return int(a.arrival - b.arrival) })
	for i, j := range out {
		j.job.Spec.Key.ID = model.JobID(fmt.Sprintf("j%05d", i))
	}
	return out
}

// randomArrival draws a time of day. During working hours more work arrives than the hardware
// can do; the queue shrinks in the rest of the day.
func randomArrival(r *rand.Rand) time.Duration {
	const (
		workingHoursBegin  = 6 * time.Hour
		workingHoursLength = 12 * time.Hour
		workingHoursShare  = 0.7
	)
	if r.Float64() < workingHoursShare {
		return workingHoursBegin + time.Duration(r.Float64()*float64(workingHoursLength))
	}
	return (workingHoursBegin + workingHoursLength + time.Duration(r.Float64()*float64(day-workingHoursLength))) % day
}

func (d *deployment) totalAccelerators() int {
	n := 0
	for zone := range d.zones {
		n += workersPerZone[zone] * model.AcceleratorsPerWorker
	}
	return n
}

// randomJobClass draws a job class by weight.
func (d *deployment) randomJobClass(r *rand.Rand) *jobClass {
	draw := r.IntN(100)
	for i := range d.jobClasses {
		if draw -= d.jobClasses[i].weight; draw < 0 {
			return &d.jobClasses[i]
		}
	}
	return &d.jobClasses[0]
}

// randomOrganisation draws an organisation by weight.
func (d *deployment) randomOrganisation(r *rand.Rand) model.Organisation {
	draw := r.IntN(100)
	for i, weight := range d.organisationWeights {
		if draw -= weight; draw < 0 {
			return d.organisations[i]
		}
	}
	return d.organisations[0]
}

// randomJob draws a job of the class. Its run time is log-normal, between 10 s and a day.
func (d *deployment) randomJob(r *rand.Rand, class *jobClass, org model.Organisation, arrival time.Duration) *simJob {
	accelerators := class.gangSizes[r.IntN(len(class.gangSizes))]
	runTime := time.Duration(float64(class.medianRunTime) * math.Exp(class.runTimeSigma*r.NormFloat64()))
	runTime = min(max(runTime, 10*time.Second), day)
	spec := model.JobSpec{
		Key: model.JobKey{Organisation: org}, Service: class.service, Priority: class.priority,
		// The declared run time is wrong by a factor of up to ten.
		DeclaredRunTime: time.Duration(float64(runTime) * math.Pow(10, 2*r.Float64()-1)),
	}
	spec.Tasks, spec.Within = splitGang(accelerators)
	acceleratorsPerTask := accelerators / spec.Tasks
	spec.Task = model.Resources{CPUs: acceleratorsPerTask * 12, MemoryMB: acceleratorsPerTask * 48 << 10, Accelerators: acceleratorsPerTask}
	return &simJob{
		job:     &model.Job{Spec: spec, State: model.JobWaiting, AcceptedUnixMS: unixMilli(arrival)},
		arrival: arrival, runTime: runTime, remaining: runTime, firstStart: -1,
	}
}

// splitGang returns the number of tasks of a gang, each of at most one worker, and the
// level that holds the gang.
func splitGang(accelerators int) (int, model.Level) {
	switch {
	case accelerators <= model.AcceleratorsPerWorker:
		return 1, model.LevelWorker
	case accelerators <= workersPerRack*model.AcceleratorsPerWorker:
		return accelerators / model.AcceleratorsPerWorker, model.LevelRack
	default:
		return accelerators / model.AcceleratorsPerWorker, model.LevelZone
	}
}

// simEpoch is the wall time at which the virtual time of a simulation is 0.
var simEpoch = time.UnixMilli(1_700_000_000_000)

// unixMilli converts a virtual time to Unix milliseconds.
func unixMilli(at time.Duration) int64 { return simEpoch.Add(at).UnixMilli() }
