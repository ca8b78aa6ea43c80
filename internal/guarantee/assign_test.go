package guarantee

import (
	"reflect"
	"testing"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
)

// TestAssignMovesGuaranteesOfZoneOutOfService guards against guarantees that are lost while
// their zone is out of service, and against shapes that fit in no zone but are not reported.
func TestAssignMovesGuaranteesOfZoneOutOfService(t *testing.T) {
	hardware := config.Hardware{Racks: 1, WorkersPerRack: 4, AcceleratorsPerWorker: 8}
	zones := []config.AvailabilityZone{{Name: "a", Hardware: hardware}, {Name: "b", InService: true, Hardware: hardware}}
	shape := model.Shape{Cell: model.LevelWorker, Count: 2, Within: model.LevelRack}
	orgs := []config.Organisation{
		{Name: "x", Guarantees: []config.Guarantee{{Zone: "a", Shape: shape, Shapes: 2}}},
		{Name: "y", Guarantees: []config.Guarantee{{Zone: "b", Shape: shape, Shapes: 1}}},
	}
	got, findings := Assign(zones, orgs)
	want := map[model.Zone][]model.Guarantee{"b": {
		{Organisation: "y", Zone: "b", Shape: shape, ShapeCount: 1},
		{Organisation: "x", Zone: "b", Shape: shape, ShapeCount: 1},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(findings) != 1 {
		t.Errorf("findings %v, want one for organisation x", findings)
	}
}
