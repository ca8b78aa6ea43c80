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

// Services of the configuration.
const (
	footprintJobService     = "batch"
	footprintRequestService = "lookup"
)

const (
	day = 24 * time.Hour
	// preloadBatchRecords is the maximum number of records of an append before the start. A job
	// has three records.
	preloadBatchRecords = 100
	appendTimeout       = 5 * time.Second
	// otherJobTasks is the number of tasks of a job of another shard: 39,000 tasks in 2,800
	// jobs.
	otherJobTasks = 14
	otherHostID   = "another-host"
)

// otherHosts appends the records of the other entry hosts to the log.
type otherHosts struct {
	size          FootprintSize
	log           logservice.Log
	configText    []byte
	configVersion int64
	jobCount      int
	begin         time.Time
	// recordSizes is the size in bytes of the last appended record of each kind.
	recordSizes map[journal.Kind]int
}

// newOtherHosts appends the first configuration and the running jobs of other shards to the
// log.
func newOtherHosts(ctx context.Context, baseURL string, size FootprintSize) (*otherHosts, error) {
	text, err := json.MarshalIndent(footprintConfig(size), "", "  ")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	o := &otherHosts{size: size, log: logservice.New(baseURL, nil), configText: text, begin: time.Now(), recordSizes: map[journal.Kind]int{}}
	if err := o.appendConfigEdit(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	for o.jobCount < size.OtherShardJobs {
		var batch []journal.Record
		for range min(preloadBatchRecords/3, size.OtherShardJobs-o.jobCount) {
			records, err := o.nextJobRecords()
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

// printRecordSizes prints the size of a record of each kind.
func (o *otherHosts) printRecordSizes(w io.Writer) {
	for _, kind := range slices.Sorted(maps.Keys(o.recordSizes)) {
		_, _ = fmt.Fprintf(w, "record_%s\t%d\tbytes\n", kind, o.recordSizes[kind])
	}
}

func (o *otherHosts) append(ctx context.Context, stream journal.Stream, records []journal.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var data [][]byte
	for _, r := range records {
		encoded, err := json.Marshal(r)
		if err != nil {
			return trace.Wrap(err)
		}
		o.recordSizes[r.Kind] = len(encoded)
		data = append(data, encoded)
	}
	_, err := o.log.Append(ctx, string(stream), data)
	return trace.Wrap(err)
}

// appendConfigEdit appends the next configuration change, which holds the whole text.
func (o *otherHosts) appendConfigEdit(ctx context.Context) error {
	id := fmt.Sprintf("text/change-%d", o.configVersion)
	body := journal.ConfigEdit{ID: id, BaseVersion: o.configVersion, Text: o.configText}
	r, err := journal.NewRecord(journal.KindConfigEdit, otherHostID, "edit/"+id, time.Now(), body)
	if err != nil {
		return trace.Wrap(err)
	}
	o.configVersion++
	return o.append(ctx, journal.StreamConfig, []journal.Record{r})
}

// nextJobRecords returns the records of a job that another shard accepted and started.
func (o *otherHosts) nextJobRecords() ([]journal.Record, error) {
	n := o.jobCount
	o.jobCount++
	shard := model.ShardID{Zone: zoneName(1 + n%max(1, o.size.Zones-1))}
	organisation := footprintOrganisation(n % o.size.Organisations)
	key := model.JobKey{Organisation: organisation, ID: model.JobID(fmt.Sprintf("job-of-another-shard-%06d", n))}
	now := time.Now()
	spec := model.JobSpec{
		Key: key, Service: footprintJobService, Tasks: otherJobTasks, Within: model.LevelZone,
		Task: model.Resources{CPUs: 8, MemoryMB: 4096}, Payload: []byte(jobPayload(footprintRunMS)),
	}
	placement := model.Placement{Job: key, Attempt: 1, Shard: shard, Class: spec.Class()}
	for i := range otherJobTasks {
		worker := fmt.Sprintf("%s-r%d-w%d", shard.Zone, (n*otherJobTasks+i)%100, i%6+1)
		placement.Members = append(placement.Members,
			model.GangMember{TaskIndex: i, Worker: model.WorkerID(worker), Resources: spec.Task})
	}
	var records []journal.Record
	for _, entry := range []struct {
		kind journal.Kind
		body any
	}{
		{journal.KindJobAccepted, journal.JobAccepted{Spec: spec, HomeShard: shard, UnixMS: now.UnixMilli()}},
		{journal.KindJobPlaced, journal.JobPlaced{Placement: placement}},
		{journal.KindJobRunning, journal.JobRunning{Job: key, Attempt: 1}},
	} {
		r, err := journal.NewRecord(entry.kind, otherHostID, fmt.Sprintf("%s/%d", entry.kind, n), now, entry.body)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		records = append(records, r)
	}
	return records, nil
}

// jobFinishedRecord returns the record that ends job n.
func (o *otherHosts) jobFinishedRecord(n int) (journal.Record, error) {
	org := footprintOrganisation(n % o.size.Organisations)
	key := model.JobKey{Organisation: org, ID: model.JobID(fmt.Sprintf("job-of-another-shard-%06d", n))}
	body := journal.JobFinished{Job: key, Attempt: 1, Result: []byte("done"), RunMS: footprintRunMS}
	return journal.NewRecord(journal.KindJobFinished, otherHostID, fmt.Sprintf("finish/%d", n), time.Now(), body)
}

// runOtherHosts appends configuration changes and jobs at the rates of the deployment until
// the context ends.
func (s *footprintSetup) runOtherHosts(ctx context.Context) {
	configs := newDailyTicker(s.size.ConfigPerDay)
	jobs := newDailyTicker(s.size.JobsPerDay)
	defer configs.Stop()
	defer jobs.Stop()
	finished := 0
	for ctx.Err() == nil {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-configs.C:
			err = s.otherHosts.appendConfigEdit(ctx)
		case <-jobs.C:
			err = s.otherHosts.replaceJob(ctx, finished)
			finished++
		}
		if err != nil && ctx.Err() == nil {
			logProgress(s.options, s.otherHosts.begin, "appending records of other hosts failed: %v", err)
		}
	}
}

// replaceJob ends one job of another shard and starts the next.
func (o *otherHosts) replaceJob(ctx context.Context, finished int) error {
	records, err := o.nextJobRecords()
	if err != nil {
		return trace.Wrap(err)
	}
	if finished < o.size.OtherShardJobs {
		r, err := o.jobFinishedRecord(finished)
		if err != nil {
			return trace.Wrap(err)
		}
		records = append(records, r)
	}
	// The hosts write these records at different times, so each one is a separate append.
	for _, r := range records {
		if err := o.append(ctx, journal.StreamJobs, []journal.Record{r}); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// setLastHostLeaving sets whether the last host of the host list is leaving. That host is in
// another zone than the daemon.
func (s *footprintSetup) setLastHostLeaving(ctx context.Context, leaving bool) error {
	hosts := footprintHosts(s.size)
	last := hosts[len(hosts)-1]
	entry := hostlist.EntryHost{ID: last.ID, Zone: last.Zone, Leaving: leaving}
	return s.cluster.SetFaults(ctx, emulator.Faults{Hosts: []emulator.HostChange{{Host: entry}}})
}

// newDailyTicker returns a ticker that ticks perDay times a day, and once a day if perDay is 0.
func newDailyTicker(perDay int) *time.Ticker {
	return time.NewTicker(day / time.Duration(max(1, perDay)))
}

func footprintOrganisation(i int) model.Organisation {
	return model.Organisation(fmt.Sprintf("organisation-%02d", i))
}

// footprintConfig returns a configuration of the design size.
func footprintConfig(size FootprintSize) config.Config {
	var c config.Config
	for z := range size.Zones {
		c.AvailabilityZones = append(c.AvailabilityZones, config.AvailabilityZone{
			Name: zoneName(z), Region: fmt.Sprintf("region-%d", z/2), InService: true,
			Hardware: config.Hardware{Racks: 10, WorkersPerRack: 6, AcceleratorsPerWorker: model.AcceleratorsPerWorker},
		})
	}
	for i := range size.Organisations {
		org := footprintOrganisation(i)
		shape := model.Shape{Cell: model.LevelFour, Count: 1, Within: model.LevelWorker}
		c.Organisations = append(c.Organisations, config.Organisation{
			Name: org, Weight: 1 + i%3, QuotaAccelerators: 2000, QuotaWaitingJobs: 5000,
			Guarantees: []config.Guarantee{{Zone: zoneName(i % size.Zones), Shape: shape, Shapes: 2}},
			KeyHashes:  []string{ledger.Digest([]byte(organisationKey(org)))},
		})
	}
	c.Services = []config.Service{
		{Name: footprintJobService, Kind: config.KindJobs, Priority: "normal", Deadline: "6h", Repeatable: true, MaxTasks: 512},
		{Name: footprintRequestService, Kind: config.KindRequests, Priority: "high", Deadline: "5s", Repeatable: true},
	}
	c.Operators = []config.Operator{{Name: "operations", KeyHashes: []string{ledger.Digest([]byte(operatorKey))}}}
	return c
}
