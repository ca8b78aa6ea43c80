package manifest

import "fmt"

// DefaultWeight is the weight of an organisation for which a manifest with weights sets none.
const DefaultWeight = 1

// Findings returns the contradictions about organisations, each with its place. The manifest is in
// force in spite of them, because its operators were told so: caps hold before guarantees.
func (m *Manifest) Findings() []string {
	var out []string
	add := func(i int, format string, args ...any) {
		place := fmt.Sprintf("organisation %d (%s): ", i, m.Organisations[i].Name)
		out = append(out, place+fmt.Sprintf(format, args...))
	}
	weighted := m.Weighted()
	seen := map[string]bool{}
	for i, o := range m.Organisations {
		if limit := o.Cap.Accelerators; limit > 0 && limit < o.GuaranteedAccelerators {
			add(i, "the cap of %d accelerators is below the guarantee of %d", limit, o.GuaranteedAccelerators)
		}
		if weighted && o.Weight == 0 {
			add(i, "no weight, although others have one; it counts as %d", DefaultWeight)
		}
		if seen[o.Name] {
			add(i, "the name occurs twice; the last entry holds")
		}
		seen[o.Name] = true
	}
	return out
}

// Weighted reports whether the manifest sets a weight for any organisation.
func (m *Manifest) Weighted() bool {
	for _, o := range m.Organisations {
		if o.Weight > 0 {
			return true
		}
	}
	return false
}
