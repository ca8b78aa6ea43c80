package work

import (
	"cmp"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Limits of the platform's store, in bytes; an append also has the length and key of each record.
const (
	recordLimit      = 262_144
	callLimit        = 2_097_152
	recordExtraBytes = 32
)

// normalized returns the part of the state that its records must hold.
func normalized(s *State) *State {
	n := *s
	n.Steps = nil
	if s.Status.Ended() {
		return &n
	}
	for i := range s.Steps {
		step := s.Steps[i]
		step.Tasks = append([]TaskState(nil), step.Tasks...)
		for k := range step.Tasks {
			if t := &step.Tasks[k]; t.Phase == Done {
				*t = TaskState{Phase: Done, RunNumber: t.RunNumber}
			} else if t.Phase == Waiting {
				t.Worker = ""
			}
		}
		n.Steps = append(n.Steps, step)
	}
	return &n
}

func drawTask(t *rapid.T) TaskState {
	counter := rapid.IntRange(0, 3)
	task := TaskState{
		Phase: rapid.SampledFrom([]Phase{Waiting, Placed, Done}).Draw(t, "phase"), RunNumber: rapid.IntRange(0, 300).Draw(t, "run"),
		Worker: rapid.SampledFrom([]string{"w1@17", "w2@17", "w2@18", ""}).Draw(t, "worker"), Checkpoint: rapid.StringMatching(`[a-f0-9]{0,16}`).Draw(t, "checkpoint"),
		Failures: counter.Draw(t, "failures"), Crashes: counter.Draw(t, "crashes"), FreshCrashes: counter.Draw(t, "fresh"), Suspect: rapid.Bool().Draw(t, "suspect"),
	}
	if task.Phase == Placed {
		task.RunNumber, task.Worker = max(task.RunNumber, 1), cmp.Or(task.Worker, "w3@19")
	}
	return task
}

// drawLayout returns the layout for a random limit of the store.
func drawLayout(t *rapid.T) Layout {
	return NewLayout(rapid.OneOf(rapid.IntRange(1<<10, 1<<14), rapid.IntRange(1<<14, recordLimit)).Draw(t, "record bytes"))
}

// drawState returns a random job with a random state, in which groups of tasks are equal.
func drawState(t *rapid.T) (*Job, *State) {
	j := &Job{ID: "j", Occurrences: rapid.IntRange(0, 3).Draw(t, "occurrences")}
	for range rapid.IntRange(1, 6).Draw(t, "steps") {
		j.Steps = append(j.Steps, Step{Tasks: rapid.OneOf(rapid.IntRange(1, 5), rapid.IntRange(1, 2*maxTasksPerChunk)).Draw(t, "tasks")})
	}
	s := NewState(j)
	s.Status = rapid.SampledFrom([]Status{Queued, Running, Completed}).Draw(t, "status")
	s.Started, s.EndedMS = rapid.Bool().Draw(t, "started"), rapid.Int64Range(0, 1<<52).Draw(t, "ended")
	groups := rapid.SliceOfN(rapid.Custom(drawTask), 1, 8).Draw(t, "groups")
	length, n := rapid.IntRange(1, 100).Draw(t, "length"), 0
	for i := range s.Steps {
		s.Steps[i].Failures, s.Steps[i].Checkpoint = rapid.IntRange(0, 3).Draw(t, "failures"), rapid.StringMatching(`[a-f]{0,8}`).Draw(t, "checkpoint")
		s.Steps[i].FailedRun = rapid.IntRange(0, 300).Draw(t, "failed run")
		for k := range s.Steps[i].Tasks {
			s.Steps[i].Tasks[k] = groups[n/length%len(groups)]
			n++
		}
	}
	return j, s
}

// TestStateRecordsRoundTrip guards against a state that a later owner reads differently.
func TestStateRecordsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, s := drawState(t)
		layout := drawLayout(t)
		chunks := s.Encode(j, layout)
		decoded, err := DecodeState(j, chunks)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, normalized(s)) {
			t.Fatalf("got %+v, want %+v", decoded, normalized(s))
		}
		if !reflect.DeepEqual(decoded.Encode(j, layout), chunks) {
			t.Fatal("the decoded state has other records")
		}
	})
}

// TestDamagedStateRecordsAreRejected guards against damaged records that panic or are read as another number of tasks.
func TestDamagedStateRecordsAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, s := drawState(t)
		chunks := s.Encode(j, drawLayout(t))
		n := rapid.IntRange(0, len(chunks)-1).Draw(t, "chunk")
		damaged := append([]byte(nil), chunks[n]...)
		if len(damaged) == 0 {
			return
		}
		if rapid.Bool().Draw(t, "cut") {
			chunks[n] = damaged[:rapid.IntRange(0, len(damaged)-1).Draw(t, "length")]
			if _, err := DecodeState(j, chunks); err == nil {
				t.Fatal("a state with a record that was cut off is accepted")
			}
			return
		}
		damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		chunks[n] = damaged
		decoded, err := DecodeState(j, chunks)
		if err == nil && !decoded.Status.Ended() && len(decoded.Steps) != j.StepCount() {
			t.Fatalf("got %d steps, want %d", len(decoded.Steps), j.StepCount())
		}
	})
}

// TestFormerStateRecordIsRead guards against jobs of an earlier release that are lost when this one takes over.
func TestFormerStateRecordIsRead(t *testing.T) {
	j := &Job{ID: "j", Steps: []Step{{Tasks: 2}, {Tasks: 1, Gang: true}}}
	s, err := DecodeState(j, [][]byte{[]byte(`r1{"s":[{"t":[{"p":2,"r":1,"w":"a@7","c":"0f"},{"p":1,"r":3,"w":"b@8","f":1,"x":2,"y":1,"u":true}]},{"f":1,"c":"0a","t":[{}]}]}`)})
	if err != nil {
		t.Fatal(err)
	}
	want := &State{Status: Running, Started: true, Steps: []StepState{
		{Tasks: []TaskState{{Phase: Done, RunNumber: 1, Worker: "a@7", Checkpoint: "0f"}, {Phase: Placed, RunNumber: 3, Worker: "b@8", Failures: 1, Crashes: 2, FreshCrashes: 1, Suspect: true}}},
		{Failures: 1, Checkpoint: "0a", Tasks: []TaskState{{}}},
	}}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("got %+v, want %+v", s, want)
	}
	if _, err := DecodeState(j, [][]byte{[]byte(`r1{"s":[{"t":[{}]}]}`)}); err == nil {
		t.Error("a state with fewer steps than the job is accepted")
	}
	ended, err := DecodeState(j, [][]byte{[]byte(`d1{"e":17}`)})
	if err != nil || ended.Status != Completed || ended.EndedMS != 17 {
		t.Errorf("got %+v, %v", ended, err)
	}
}

// sizes returns the bytes of all chunks and of the largest one.
func sizes(chunks [][]byte) (total, largest int) {
	for _, c := range chunks {
		total += len(c)
		largest = max(largest, len(c))
	}
	return total, largest
}

// largestState returns a job of MaxTasks tasks whose state has keys, checkpoints and counts of the greatest lengths.
func largestState(tasksPerStep int) (*Job, *State) {
	j := &Job{ID: "0123456789abcdef"}
	for left := MaxTasks; left > 0; left -= tasksPerStep {
		j.Steps = append(j.Steps, Step{Tasks: min(tasksPerStep, left), Gang: true})
	}
	longest := strings.Repeat("c", maxCheckpointBytes)
	s := NewState(j)
	s.Status, s.EndedMS = Running, math.MaxInt64
	n := 0
	for i := range s.Steps {
		s.Steps[i].Failures, s.Steps[i].FailedRun, s.Steps[i].Checkpoint = math.MaxInt32, math.MaxInt32, longest
		for k := range s.Steps[i].Tasks {
			n++
			s.Steps[i].Tasks[k] = TaskState{
				Phase: Placed, RunNumber: math.MaxInt32, Worker: WorkerKey(fmt.Sprintf("%0255d", n), math.MaxInt64), Checkpoint: longest,
				Failures: math.MaxInt32, Crashes: math.MaxInt32, FreshCrashes: math.MaxInt32, Suspect: true,
			}
		}
	}
	return j, s
}

// TestLargestStateFitsStore guards against a job whose state outgrows a record or an append, with keys, checkpoints and counts of any length.
func TestLargestStateFitsStore(t *testing.T) {
	for _, tasksPerStep := range []int{1, 7, 512, MaxTasks} {
		j, s := largestState(tasksPerStep)
		chunks := s.Encode(j, NewLayout(recordLimit))
		total, largest := sizes(chunks)
		t.Logf("steps of %d tasks: %d bytes, %.1f a task, largest record %d", tasksPerStep, total, float64(total)/MaxTasks, largest)
		if largest+recordExtraBytes > maxTasksPerChunk*maxTaskBytes || maxTasksPerChunk*maxTaskBytes > recordLimit {
			t.Errorf("the largest record has %d bytes", largest)
		}
		if total+len(chunks)*recordExtraBytes > callLimit {
			t.Errorf("the state has %d bytes", total)
		}
		s.Steps[0].Tasks[0].Checkpoint = strings.Repeat("c", recordLimit)
		if _, largest := sizes(s.Encode(j, NewLayout(recordLimit))); largest > recordLimit/2 {
			t.Errorf("a record with a long checkpoint has %d bytes", largest)
		}
	}
}

// TestLargestStateFitsSmallerStore guards against accepted jobs whose state outgrows limits of the settings that are below the usual ones.
func TestLargestStateFitsSmallerStore(t *testing.T) {
	for _, recordBytes := range []int{1 << 10, 3200, 16 << 10, 100_000} {
		for _, tasksPerStep := range []int{1, 300, MaxTasks} {
			j, s := largestState(tasksPerStep)
			_, largest := sizes(s.Encode(j, NewLayout(recordBytes)))
			if largest+recordExtraBytes > recordBytes {
				t.Errorf("limit %d: the largest record has %d bytes", recordBytes, largest)
			}
			chunks := s.Encode(j, NewLayout(recordBytes).WithoutCheckpoints())
			total, _ := sizes(chunks)
			if j.CheckStateSize(recordBytes, total+len(chunks)*recordExtraBytes-1) == nil {
				t.Errorf("limit %d: a job is accepted whose state may have %d bytes, more than an append", recordBytes, total)
			}
			if err := j.CheckStateSize(recordBytes, callLimit); err != nil {
				t.Errorf("limit %d: %v", recordBytes, err)
			}
		}
	}
}

// TestDesignSizeFitsStore measures the records of 39,000 running tasks on 7,500 workers, with and without gangs of 512.
func TestDesignSizeFitsStore(t *testing.T) {
	const designTasks, designWorkers, gang = 39_000, 7500, 512
	for _, tasksPerStep := range []int{gang, MaxTasks} {
		placed, total, largest := 0, 0, 0
		for n := 0; placed < designTasks; n++ {
			j := &Job{ID: fmt.Sprintf("%016x", n)}
			for left := min(MaxTasks, designTasks-placed); left > 0; left -= tasksPerStep {
				j.Steps = append(j.Steps, Step{Tasks: min(tasksPerStep, left), Gang: tasksPerStep == gang})
			}
			if err := j.Validate(); err != nil {
				t.Fatal(err)
			}
			s := NewState(j)
			s.Status = Running
			for i := range s.Steps {
				for k := range s.Steps[i].Tasks {
					worker := placed * 7 % designWorkers
					s.Steps[i].Tasks[k] = TaskState{Phase: Placed, RunNumber: 1, Worker: WorkerKey(fmt.Sprintf("scores-nuwara-%04d", worker), 1_796_000_000_000+int64(worker)), Checkpoint: fmt.Sprintf("%016x", placed)}
					placed++
				}
			}
			jobTotal, jobLargest := sizes(s.Encode(j, NewLayout(recordLimit)))
			if jobTotal > callLimit {
				t.Errorf("the state of a job has %d bytes", jobTotal)
			}
			total, largest = total+jobTotal, max(largest, jobLargest)
		}
		t.Logf("%d tasks in steps of %d: %d bytes, %.1f a task, largest record %d", placed, tasksPerStep, total, float64(total)/float64(placed), largest)
		if largest > recordLimit/8 {
			t.Errorf("the largest record has %d bytes", largest)
		}
	}
}

// BenchmarkEncodeLargestState measures the cost of one change of a job of MaxTasks tasks.
func BenchmarkEncodeLargestState(b *testing.B) {
	j := &Job{ID: "j", Steps: []Step{{Tasks: MaxTasks}}}
	s := NewState(j)
	for k := range s.Steps[0].Tasks {
		s.Steps[0].Tasks[k] = TaskState{Phase: Placed, RunNumber: 1, Worker: WorkerKey(fmt.Sprintf("scores-nuwara-%04d", k%50), 1_796_000_000_000), Checkpoint: fmt.Sprintf("%016x", k)}
	}
	for b.Loop() {
		s.Encode(j, NewLayout(recordLimit))
	}
}
