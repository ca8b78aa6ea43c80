package jobs

import (
	"fmt"
	"testing"
	"unsafe"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// TestPlacementsShareWorkerNames checks that placements do not hold their own copies of
// worker names. A copy for each of 39,000 tasks takes a tenth of a host's memory budget.
func TestPlacementsShareWorkerNames(t *testing.T) {
	h := newTableHarness(t)
	placeAndGetName := func(id string) *byte {
		key := model.JobKey{Organisation: "org", ID: model.JobID(id)}
		spec := testSpec
		spec.Key = key
		h.apply(journal.KindJobAccepted, journal.JobAccepted{Spec: spec, HomeShard: shardA})
		p := jobPlaced(1, shardA)
		p.Placement.Job = key
		p.Placement.Members[0].Worker = "worker-1"
		h.apply(journal.KindJobPlaced, p)
		worker := h.table.Get(key).Job.Placement.Members[0].Worker
		if worker != "worker-1" {
			t.Fatalf("the task is on worker %q, want worker-1", worker)
		}
		return unsafe.StringData(string(worker))
	}
	if placeAndGetName("j1") != placeAndGetName("j2") {
		t.Fatal("two placements hold separate copies of a worker name")
	}
}

// BenchmarkReplay applies the records of running jobs with 14 tasks, three records per
// job.
func BenchmarkReplay(b *testing.B) {
	const jobs = 1000
	var records []journal.Record
	add := func(kind journal.Kind, body any) {
		r, err := journal.NewRecord(kind, "h1", fmt.Sprint(len(records)), testNow(), body)
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, r)
	}
	for i := range jobs {
		key := model.JobKey{Organisation: "org", ID: model.JobID(fmt.Sprint("job-", i))}
		spec := model.JobSpec{Key: key, Service: "s", Tasks: 14, Payload: make([]byte, 64)}
		p := model.Placement{Job: key, Attempt: 1, Shard: shardA}
		for m := range spec.Tasks {
			worker := model.WorkerID(fmt.Sprint("worker-", (i*14+m)%7500))
			p.Members = append(p.Members, model.GangMember{TaskIndex: m, Worker: worker})
		}
		add(journal.KindJobAccepted, journal.JobAccepted{Spec: spec, HomeShard: shardA})
		add(journal.KindJobPlaced, journal.JobPlaced{Placement: p})
		add(journal.KindJobRunning, journal.JobRunning{Job: key, Attempt: 1})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		table := NewTable(testNow)
		for offset, r := range records {
			table.Apply(int64(offset), r)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(records)), "ns/record")
}
