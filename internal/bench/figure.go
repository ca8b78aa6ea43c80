// Package bench measures decisions on virtual time over the real decision code.
package bench

// Figure is one measured value with the baseline of the same run and seed.
type Figure struct {
	Name          string
	Value         float64
	Unit          string
	BaselineName  string
	BaselineValue float64
}
