package model

import "testing"

// TestShapeAccelerators guards against shapes whose size differs from the sum of
// their cells, which would break the count of guaranteed accelerators.
func TestShapeAccelerators(t *testing.T) {
	cases := []struct {
		shape Shape
		want  int
	}{
		{Shape{Cell: LevelAccelerator, Count: 3, Within: LevelWorker}, 3},
		{Shape{Cell: LevelPair, Count: 1, Within: LevelWorker}, 2},
		{Shape{Cell: LevelFour, Count: 2, Within: LevelRack}, 8},
		{Shape{Cell: LevelWorker, Count: 2, Within: LevelRack}, 16},
	}
	for _, c := range cases {
		if got := c.shape.Accelerators(); got != c.want {
			t.Errorf("%+v: got %d accelerators, want %d", c.shape, got, c.want)
		}
	}
}
