// Package bench benchmarks job placement and request routing against simple baselines.
// Most benchmarks are simulations in virtual time.
package bench

// Result is a measured value and the value of a baseline in the same run. BaselineName is
// empty if there is no baseline.
type Result struct {
	Name          string
	Value         float64
	Unit          string
	BaselineName  string
	BaselineValue float64
}

// benchmarks are run in the order of the output.
var benchmarks = []func(seed int64) []Result{
	RunJobs,
	RunRequests,
}

// RunAll runs all benchmarks and returns their results.
func RunAll(seed int64) []Result {
	var out []Result
	for _, benchmark := range benchmarks {
		out = append(out, benchmark(seed)...)
	}
	return out
}
