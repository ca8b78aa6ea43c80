// Package bench measures decisions in virtual time against simple baselines.
package bench

// Figure is one measured value and the baseline's value in the same run. A figure
// without a baseline has an empty BaselineName.
type Figure struct {
	Name          string
	Value         float64
	Unit          string
	BaselineName  string
	BaselineValue float64
}

// sources produce the figures of a run, in the order of the output.
var sources = []func(seed int64) []Figure{
	Jobs,
	Requests,
}

// All returns the figures of all sources.
func All(seed int64) []Figure {
	var out []Figure
	for _, source := range sources {
		out = append(out, source(seed)...)
	}
	return out
}
