package work

import (
	"math"
	"testing"
)

// TestValidateRejectsHugeJobs guards against a submission whose number of tasks overflows.
// It was accepted, and every scheduler that read it crashed when it allocated the state.
func TestValidateRejectsHugeJobs(t *testing.T) {
	step := func(tasks int) Step { return Step{Tasks: tasks} }
	tests := map[string]Job{
		"one step":                {Steps: []Step{step(math.MaxInt)}},
		"sum of steps overflows":  {Steps: []Step{step(1 << 62), step(1 << 62), step(1 << 62), step(1 << 62)}},
		"occurrences overflow":    {Steps: []Step{step(2)}, Occurrences: 1 << 62, PeriodMS: 1},
		"occurrences overflow 0":  {Steps: []Step{step(4)}, Occurrences: 1 << 62, PeriodMS: 1},
		"too many occurrences":    {Steps: []Step{step(1)}, Occurrences: MaxTasks + 1},
		"sum of steps is too big": {Steps: []Step{step(MaxTasks), step(1)}},
		"due time overflows":      {Steps: []Step{step(1)}, Occurrences: 3, FirstDueMS: math.MaxInt64 - 1, PeriodMS: 1},
		"estimates overflow":      {Steps: []Step{{Tasks: 1, EstimateMS: math.MaxInt}, {Tasks: 1, EstimateMS: math.MaxInt, After: []int{0}}}},
		"negative estimate":       {Steps: []Step{{Tasks: 1, EstimateMS: -1}}},
		"demand overflows":        {Steps: []Step{{Tasks: 4, Demand: Resources{CPU: math.MaxInt / 2}}}},
	}
	for name, j := range tests {
		t.Run(name, func(t *testing.T) {
			if err := j.Validate(); err == nil {
				t.Error("the job is accepted")
			}
		})
	}
	largest := Job{Steps: []Step{step(MaxTasks)}}
	if err := largest.Validate(); err != nil {
		t.Errorf("a job of %d tasks is rejected: %v", MaxTasks, err)
	}
}

// TestOddStateIsRejected guards against a state record whose numbers or phases leave a task without any further run.
func TestOddStateIsRejected(t *testing.T) {
	j := &Job{ID: "a", Steps: []Step{{Tasks: 1}}}
	for _, body := range []string{
		`{"s":[{"t":[{"p":7}]}]}`, `{"s":[{"t":[{"p":-1}]}]}`, `{"s":[{"t":[{"r":-1}]}]}`, `{"s":[{"t":[{"r":9223372036854775807}]}]}`,
		`{"s":[{"t":[{"p":1,"r":1}]}]}`, `{"s":[{"t":[{"p":1,"w":"w@1"}]}]}`, `{"s":[{"t":[{"f":-1}]}]}`, `{"s":[{"t":[{"x":-1}]}]}`,
		`{"s":[{"f":-1,"t":[{}]}]}`, `{"s":[]}`, `{"s":[{"t":[{},{}]}]}`, `null`, `7`,
	} {
		if s, err := DecodeState(j, [][]byte{[]byte("r1" + body)}); err == nil {
			t.Errorf("%s is decoded as %+v", body, s)
		}
	}
	for _, body := range []string{`{"s":[{"t":[{}]}]}`, `{"s":[{"t":[{"p":1,"r":3,"w":"w@1","f":2,"x":1,"y":1,"u":true}]}]}`, `{"s":[{"t":[{"p":2,"r":1}]}]}`} {
		if _, err := DecodeState(j, [][]byte{[]byte("r1" + body)}); err != nil {
			t.Errorf("%s: %v", body, err)
		}
	}
}

// FuzzDecodeState guards against records that cause a panic or leave a state that cannot be encoded.
func FuzzDecodeState(f *testing.F) {
	j := &Job{ID: "a", MaxAttempts: 3, Steps: []Step{{Tasks: 2, Gang: true}}}
	f.Add(NewState(j).Encode(j, NewLayout(recordLimit))[0])
	f.Add(NewState(j).Encode(j, NewLayout(recordLimit/64))[0])
	f.Add(j.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if job, err := DecodeJob("a", data); err == nil && (job.StepCount() < 1 || job.DeadlineMS(0) < 0) {
			t.Errorf("%q is decoded as %+v", data, job)
		}
		if s, err := DecodeState(j, [][]byte{data}); err == nil && !s.Status.Ended() && s.NextRunNumber(0, []int{0, 1}) < 1 {
			t.Errorf("%q is decoded as %+v", data, s)
		}
	})
}

// TestRemainingPath guards against a remaining time that counts steps that do not depend on the
// given one, or that are done.
func TestRemainingPath(t *testing.T) {
	j := &Job{Steps: []Step{{EstimateMS: 100}, {EstimateMS: 20, After: []int{0}}, {EstimateMS: 700}, {EstimateMS: 3, After: []int{1, 2}}}}
	for step, want := range []int{123, 23, 703, 3} {
		if got := j.RemainingPathMS(step); got != want {
			t.Errorf("%d ms remain from step %d, want %d", got, step, want)
		}
	}
}

// TestObjectiveCountsAdvice guards against an objective that is too early for jobs whose steps wait
// for advice, so that they count as late, or as worth nothing, before they are.
func TestObjectiveCountsAdvice(t *testing.T) {
	j := &Job{AcceptedMS: 1000, AdviceMS: 1500, Stretch: 2, ObjectiveMS: 250, Steps: []Step{{EstimateMS: 100}, {EstimateMS: 200, After: []int{0}}, {EstimateMS: 400}}}
	if got, want := j.DeadlineMS(0), int64(1000+2*(1500+100+1500+200)+250); got != want {
		t.Errorf("the deadline is %d ms, want %d", got, want)
	}
	if got, want := j.RemainingPathMS(1), 1700; got != want {
		t.Errorf("%d ms remain from the second step, want %d", got, want)
	}
}
