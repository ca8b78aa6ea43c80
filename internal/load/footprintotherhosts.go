package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
	"github.com/daisyfold/daisyfold/internal/platform/logservice"
)

// Services of the text.
const (
	footprintJobs     = "batch"
	footprintRequests = "lookup"
)

const (
	day = 24 * time.Hour
	// preloadBatch bounds the records of one append of the preparation.
	preloadBatch = 100
	preloadWait  = 5 * time.Second
	// gangOfOthers is the number of tasks of a job of another shard: 39,000 tasks
	// in 2,800 jobs.
	gangOfOthers = 14
	otherHost    = "another-host"
)

// others plays what the other entry hosts append to the log.
type others struct {
	size    FootprintSize
	log     logservice.Log
	text    []byte
	version int64
	jobs    int
	begin   time.Time
	// sizes are the bytes of the last record of each kind in the log.
	sizes map[journal.Kind]int
}

// newOthers puts the first configuration and the running jobs of other shards into
// the log.
func newOthers(ctx context.Context, base string, size FootprintSize) (*others, error) {
	text, err := json.MarshalIndent(footprintText(size), "", "  ")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	o := &others{size: size, log: logservice.New(base, nil), text: text, begin: time.Now(), sizes: map[journal.Kind]int{}}
	if err := o.edit(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	for o.jobs < size.Jobs {
		var batch []journal.Record
		for range min(preloadBatch/3, size.Jobs-o.jobs) {
			records, err := o.nextJob()
			if err != nil {
				return nil, trace.Wrap(err)
			}
			batch = append(batch, records...)
		}
		if err := o.append(ctx, journal.StreamJobs, batch); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return o, nil
}

// printSizes prints the size of a record of each kind.
func (o *others) printSizes(w io.Writer) {
	for _, kind := range slices.Sorted(maps.Keys(o.sizes)) {
		_, _ = fmt.Fprintf(w, "record_%s\t%d\tbytes\n", kind, o.sizes[kind])
	}
}

func (o *others) append(ctx context.Context, stream journal.Stream, records []journal.Record) error {
	ctx, cancel := context.WithTimeout(ctx, preloadWait)
	defer cancel()
	var data [][]byte
	for _, r := range records {
		one, err := json.Marshal(r)
		if err != nil {
			return trace.Wrap(err)
		}
		o.sizes[r.Kind] = len(one)
		data = append(data, one)
	}
	_, err := o.log.Append(ctx, string(stream), data)
	return trace.Wrap(err)
}

// edit appends the next configuration change, a whole text.
func (o *others) edit(ctx context.Context) error {
	id := fmt.Sprintf("text/change-%d", o.version)
	body := journal.ConfigEdit{ID: id, BaseVersion: o.version, Text: o.text}
	r, err := journal.NewRecord(journal.KindConfigEdit, otherHost, "edit/"+id, time.Now(), body)
	if err != nil {
		return trace.Wrap(err)
	}
	o.version++
	return o.append(ctx, journal.StreamConfig, []journal.Record{r})
}

// nextJob returns the records of a job that another shard accepted and started.
func (o *others) nextJob() ([]journal.Record, error) {
	n := o.jobs
	o.jobs++
	shard := model.ShardID{Zone: zoneName(1 + n%max(1, o.size.Zones-1))}
	org := footprintOrg(n % o.size.Organisations)
	key := model.JobKey{Organisation: org, ID: model.JobID(fmt.Sprintf("job-of-another-shard-%06d", n))}
	now := time.Now()
	spec := model.JobSpec{
		Key: key, Service: footprintJobs, Tasks: gangOfOthers, Within: model.LevelZone,
		Task: model.Resources{CPUs: 8, MemoryMB: 4096}, Payload: []byte(payload(footprintRunMS)),
	}
	placement := model.Placement{Job: key, Attempt: 1, Shard: shard, Class: spec.Class()}
	for i := range gangOfOthers {
		worker := fmt.Sprintf("%s-r%d-w%d", shard.Zone, (n*gangOfOthers+i)%100, i%6+1)
		placement.Members = append(placement.Members,
			model.GangMember{TaskIndex: i, Worker: model.WorkerID(worker), Resources: spec.Task})
	}
	var list []journal.Record
	for _, one := range []struct {
		kind journal.Kind
		body any
	}{
		{journal.KindJobAccepted, journal.JobAccepted{Spec: spec, HomeShard: shard, UnixMS: now.UnixMilli()}},
		{journal.KindJobPlaced, journal.JobPlaced{Placement: placement}},
		{journal.KindJobRunning, journal.JobRunning{Job: key, Attempt: 1}},
	} {
		r, err := journal.NewRecord(one.kind, otherHost, fmt.Sprintf("%s/%d", one.kind, n), now, one.body)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		list = append(list, r)
	}
	return list, nil
}

// finishOldest returns the record that ends the job that many jobs ago began.
func (o *others) finishOldest(n int) (journal.Record, error) {
	org := footprintOrg(n % o.size.Organisations)
	key := model.JobKey{Organisation: org, ID: model.JobID(fmt.Sprintf("job-of-another-shard-%06d", n))}
	body := journal.JobFinished{Job: key, Attempt: 1, Result: []byte("done"), RunMS: footprintRunMS}
	return journal.NewRecord(journal.KindJobFinished, otherHost, fmt.Sprintf("finish/%d", n), time.Now(), body)
}

// playOthers appends configuration changes and jobs at the deployment's rates until the context ends.
func (s *footprintSetup) playOthers(ctx context.Context) {
	configs := newPace(s.size.ConfigPerDay)
	jobs := newPace(s.size.JobsPerDay)
	defer configs.Stop()
	defer jobs.Stop()
	finished := 0
	for ctx.Err() == nil {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-configs.C:
			err = s.others.edit(ctx)
		case <-jobs.C:
			err = s.others.turnOver(ctx, finished)
			finished++
		}
		if err != nil && ctx.Err() == nil {
			progress(s.options, s.others.begin, "the rest of the deployment fell behind: %v", err)
		}
	}
}

// turnOver ends one job of another shard and starts the next.
func (o *others) turnOver(ctx context.Context, finished int) error {
	records, err := o.nextJob()
	if err != nil {
		return trace.Wrap(err)
	}
	if finished < o.size.Jobs {
		r, err := o.finishOldest(finished)
		if err != nil {
			return trace.Wrap(err)
		}
		records = append(records, r)
	}
	// Each record comes at a time of its own, so each is an append of its own.
	for _, r := range records {
		if err := o.append(ctx, journal.StreamJobs, []journal.Record{r}); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// changeList makes a host of another zone leave or return in the host list.
func (s *footprintSetup) changeList(ctx context.Context, leaving bool) error {
	hosts := footprintHosts(s.size)
	last := hosts[len(hosts)-1]
	entry := hostlist.EntryHost{ID: last.ID, Zone: last.Zone, Leaving: leaving}
	return s.cluster.SetFaults(ctx, emulator.Faults{Hosts: []emulator.HostChange{{Host: entry}}})
}

// newPace ticks perDay times a day; 0 means practically never.
func newPace(perDay int) *time.Ticker { return time.NewTicker(day / time.Duration(max(1, perDay))) }

func footprintOrg(i int) model.Organisation {
	return model.Organisation(fmt.Sprintf("organisation-%02d", i))
}

// footprintText is an operators' text of the design size.
func footprintText(size FootprintSize) config.Text {
	var t config.Text
	for z := range size.Zones {
		t.AvailabilityZones = append(t.AvailabilityZones, config.AvailabilityZone{
			Name: zoneName(z), Region: fmt.Sprintf("region-%d", z/2), InService: true,
			Hardware: config.Hardware{Racks: 10, WorkersPerRack: 6, AcceleratorsPerWorker: model.AcceleratorsPerWorker},
		})
	}
	for i := range size.Organisations {
		org := footprintOrg(i)
		shape := model.Shape{Cell: model.LevelFour, Count: 1, Within: model.LevelWorker}
		t.Organisations = append(t.Organisations, config.Organisation{
			Name: org, Weight: 1 + i%3, QuotaAccelerators: 2000, QuotaWaitingJobs: 5000,
			Guarantees: []config.Guarantee{{Zone: zoneName(i % size.Zones), Shape: shape, Shapes: 2}},
			KeyHashes:  []string{ledger.Digest([]byte(keyOf(org)))},
		})
	}
	t.Services = []config.Service{
		{Name: footprintJobs, Kind: config.KindJobs, Priority: "normal", Deadline: "6h", Repeatable: true, MaxTasks: 512},
		{Name: footprintRequests, Kind: config.KindRequests, Priority: "high", Deadline: "5s", Repeatable: true},
	}
	t.Operators = []config.Operator{{Name: "operations", KeyHashes: []string{ledger.Digest([]byte(operatorKey))}}}
	return t
}
