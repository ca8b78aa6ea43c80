package model

import "testing"

// TestShapeAccelerators checks that the size of a shape is the sum of its cells, which
// the count of guaranteed accelerators relies on.
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
