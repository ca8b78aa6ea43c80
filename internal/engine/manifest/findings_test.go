package manifest

import (
	"strings"
	"testing"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// TestFindings guards against contradictions that operators are not told of, and against findings
// about manifests without caps and weights.
func TestFindings(t *testing.T) {
	m := &Manifest{Organisations: []Organisation{
		{Name: "a", GuaranteedAccelerators: 8, Cap: work.Resources{Accelerators: 4}, Weight: 2}, {Name: "b", GuaranteedAccelerators: 8}, {Name: "a", Weight: 1},
	}}
	got := strings.Join(m.Findings(), "\n")
	want := "organisation 0 (a): the cap of 4 accelerators is below the guarantee of 8\n" +
		"organisation 1 (b): no weight, although others have one; it counts as 1\n" +
		"organisation 2 (a): the name occurs twice; the last entry holds"
	if got != want {
		t.Errorf("findings:\n%s", got)
	}
	plain := &Manifest{Organisations: []Organisation{{Name: "a", GuaranteedAccelerators: 8}, {Name: "b"}}}
	if f := plain.Findings(); len(f) > 0 {
		t.Errorf("findings about a manifest without caps and weights: %v", f)
	}
}
