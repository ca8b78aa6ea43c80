package load

import (
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Profile is the part of an example that a workload uses.
type Profile struct {
	Organisations []model.Organisation
	// LargeJobService is for gangs of up to 32 tasks, SmallJobService for gangs of up to 8.
	LargeJobService, SmallJobService model.Service
	// RepeatableService and NonRepeatableService are the services of requests.
	RepeatableService, NonRepeatableService model.Service
	// SpareZone is the zone to take out of service; no guarantee is limited to it.
	SpareZone model.Zone
	// ConfigFile is the example configuration, DeploymentFile the emulator's deployment file.
	ConfigFile, DeploymentFile string
}

// operatorKey is the operator's key in the example configurations.
const operatorKey = "operator-key"

// organisationKey returns the key of an organisation in the example configurations.
func organisationKey(o model.Organisation) string { return string(o) + "-key" }

// ExampleProfile returns the profile of the example in the directory dir, or a NotFound error.
func ExampleProfile(dir, example string) (Profile, error) {
	profiles := map[string]Profile{
		"kerherve": {
			Organisations:        []model.Organisation{"quimper-choir", "vannes-festival", "schools", "parishes"},
			LargeJobService:      "engraving",
			SmallJobService:      "proofs",
			RepeatableService:    "exchange",
			NonRepeatableService: "orders",
			SpareZone:            "rennes",
		},
		"association": {
			Organisations:        []model.Organisation{"reservoir-safety", "irrigation-board", "village-committees", "research"},
			LargeJobService:      "modelling",
			SmallJobService:      "summaries",
			RepeatableService:    "notices",
			NonRepeatableService: "bulletins",
			SpareZone:            "horton",
		},
	}
	p, known := profiles[example]
	if !known {
		return p, trace.NotFound("no example %s", example)
	}
	p.ConfigFile = filepath.Join(dir, example, "daisyfold.jsonc")
	p.DeploymentFile = filepath.Join(dir, example, "emulator.jsonc")
	return p, nil
}
