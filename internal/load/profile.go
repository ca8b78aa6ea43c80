package load

import (
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Profile names what a workload uses of an example text.
type Profile struct {
	Organisations []model.Organisation
	// LargeJobs is the service for gangs of up to 32 tasks, SmallJobs the one for
	// gangs of up to 8.
	LargeJobs, SmallJobs model.Service
	// Repeatable and NonRepeatable are the services for requests.
	Repeatable, NonRepeatable model.Service
	// SpareZone is taken out of service; no guarantee is pinned to it.
	SpareZone model.Zone
	// Text and Deployment are the operators' text and the emulator's file.
	Text, Deployment string
}

// operatorKey is the operator's key in the example texts.
const operatorKey = "operator-key"

// keyOf returns an organisation's key in the example texts.
func keyOf(o model.Organisation) string { return string(o) + "-key" }

// ExampleProfile returns the profile of an example below dir.
func ExampleProfile(dir, example string) (Profile, error) {
	profiles := map[string]Profile{
		"kerherve": {
			Organisations: []model.Organisation{"quimper-choir", "vannes-festival", "schools", "parishes"},
			LargeJobs:     "engraving",
			SmallJobs:     "proofs",
			Repeatable:    "exchange",
			NonRepeatable: "orders",
			SpareZone:     "rennes",
		},
		"association": {
			Organisations: []model.Organisation{"reservoir-safety", "irrigation-board", "village-committees", "research"},
			LargeJobs:     "modelling",
			SmallJobs:     "summaries",
			Repeatable:    "notices",
			NonRepeatable: "bulletins",
			SpareZone:     "horton",
		},
	}
	p, known := profiles[example]
	if !known {
		return p, trace.NotFound("no example %s", example)
	}
	p.Text = filepath.Join(dir, example, "daisyfold.jsonc")
	p.Deployment = filepath.Join(dir, example, "emulator.jsonc")
	return p, nil
}
