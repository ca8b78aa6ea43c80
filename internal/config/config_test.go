package config

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/gravitational/trace"
)

// validConfig is a configuration without findings; the tests replace parts of it.
const validConfig = `{
  // two zones
  "availabilityZones": [
    {"name": "quimper", "region": "bretagne", "inService": true /* since May */,
     "hardware": {"racks": 1, "workersPerRack": 2, "acceleratorsPerWorker": 8}},
    {"name": "vannes", "region": "bretagne", "inService": true,
     "hardware": {"racks": 1, "workersPerRack": 2, "acceleratorsPerWorker": 8}},
  ],
  "organisations": [
    {"name": "schools", "quotaAccelerators": 32, "guarantees": [
      {"shape": {"cell": "worker", "count": 2, "within": "rack"}, "shapes": 1},
    ], "keyHashes": ["1111111111111111111111111111111111111111111111111111111111111111"]},
  ],
  "services": [
    {"name": "proofs", "kind": "jobs", "priority": "batch", "deadline": "1h", "repeatable": true, "dependsOn": ["exchange"]},
    {"name": "exchange", "kind": "requests", "priority": "urgent", "deadline": "2s", "repeatable": true},
  ],
  "operators": [
    {"name": "operations", "keyHashes": ["2222222222222222222222222222222222222222222222222222222222222222"]},
  ],
}
`

// deepNesting is a number of nested brackets that takes over 64 MB of stack in a parser
// without a limit, twice the memory of a daemon.
const deepNesting = 60_000

// TestParseFindings checks that errors are found, reported at the right position, and do
// not hide the errors after them.
func TestParseFindings(t *testing.T) {
	cases := []struct {
		name, old, next string
		want            []string
	}{
		{"nothing", "", "", nil},
		{"unknown field", `"region": "bretagne", "inService": true /`, `"region": "bretagne", "colour": 1, "inService": true /`,
			[]string{`t:4:47: unknown field "colour"`}},
		{"wrong type", `"inService": true /`, `"inService": "yes" /`, []string{`t:4:60: must be true or false, not "yes"`}},
		{"missing field", `"region": "bretagne", "inService": true /`, `"inService": true /`, []string{`t:4:5: the field "region" is missing`}},
		{"field twice", `"priority": "batch"`, `"priority": "batch", "priority": "high"`, []string{`t:15:61: the field "priority" occurs twice`}},
		{"duration without unit", `"deadline": "1h"`, `"deadline": 3600`, []string{`t:15:73: must be a duration in quotes with a unit`}},
		{"unknown unit", `"deadline": "1h"`, `"deadline": "1 hour"`, []string{`t:15:73: "1 hour" must be a duration`}},
		{"duration range", `"deadline": "1h"`, `"deadline": "900h"`, []string{`t:15:73: 900h is out of range; the allowed range is 1ms to 168h0m0s`}},
		{"number range", `"racks": 1, "workersPerRack": 2, "acceleratorsPerWorker": 8}},
    {"name"`, `"racks": -1, "workersPerRack": 2, "acceleratorsPerWorker": 8}},
    {"name"`, []string{"t:5:28: -1 is out of range"}},
		{"duplicate name", `"name": "vannes"`, `"name": "quimper"`, []string{`t:6:14: the name "quimper" is already used by entry 1`}},
		{"bad hash", "1111111111111111111111111111111111111111111111111111111111111111", "secret",
			[]string{`t:12:22: "secret" must be a SHA-256 sum`}},
		{"shared hash", "2222222222222222222222222222222222222222222222222222222222222222", strings.Repeat("1", 64),
			[]string{"t:19:42: the key hash is already used by organisation schools"}},
		{"unknown dependency", `["exchange"]`, `["exchnage"]`, []string{`t:15:113: there is no service "exchnage"`}},
		{"duplicate dependency", `["exchange"]`, `["exchange", "exchange"]`, []string{`t:15:125: the service "exchange" occurs twice`}},
		{"cycle", `"deadline": "2s"`, `"dependsOn": ["proofs"], "deadline": "2s"`,
			[]string{"t:16:82: the dependencies form a cycle: proofs -> exchange -> proofs"}},
		{"unknown zone", `{"shape"`, `{"availabilityZone": "rennes", "shape"`, []string{`t:11:28: there is no availability zone "rennes"`}},
		{"guarantee too large", `"shapes": 1}`, `"shapes": 3}`,
			[]string{"t:10:46: the guarantees hold 48 accelerators, more than the quota of 32",
				"t:11:7: only 2 of 3 guaranteed shapes (2 x worker within one rack) fit"}},
		{"shape larger than a worker", `"count": 2, "within": "rack"`, `"count": 2, "within": "worker"`,
			[]string{"t:11:17: a shape of 2 x worker within one worker has 16 accelerators, but a worker has at most 8"}},
		{"field of the other kind", `"deadline": "2s"`, `"deadline": "2s", "maxTasks": 4`, []string{`t:16:98: maxTasks is allowed only for services of kind "jobs"`}},
		{"three kinds of findings after a missing comma", `"inService": true /* since May */,`, `"inService": 1 "colour": 2, `,
			[]string{"t:4:60: must be true or false, not 1", "t:4:62: invalid character", "t:4:62: unknown field"}},
		{"unit outside quotes", `"deadline": "1h"`, `"deadline": 1h`, []string{"t:15:73: invalid literal: 1h"}},
		{"bad name with references", `["exchange"]},
    {"name": "exchange"`, `["Exchange"]},
    {"name": "Exchange"`, []string{`t:16:14: "Exchange" must be lower-case letters`}},
		{"deep nesting", "// two zones", strings.Repeat("[", deepNesting), []string{"t:1:1: more than 10000 brackets"}},
		{"too long", "// two zones", "//" + strings.Repeat(" ", MaxBytes), []string{fmt.Sprintf("t:1:1: the text has %d bytes; the maximum is 131072", len(validConfig)-len("// two zones")+len("//")+MaxBytes)}},
		{"truncated file", "  ],\n}\n", "  ],\n", []string{"t:21:1: parsing value: unexpected EOF"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(validConfig, c.old) {
				t.Fatalf("the configuration does not contain %q", c.old)
			}
			_, findings := Parse("t", []byte(strings.Replace(validConfig, c.old, c.next, 1)))
			if len(findings) != len(c.want) {
				t.Fatalf("got findings:\n%v\nwant %d", findings.Error(), len(c.want))
			}
			for i, want := range c.want {
				if got := findings[i].String(); !strings.HasPrefix(got, want) {
					t.Errorf("got  %s\nwant %s", got, want)
				}
			}
		})
	}
}

// TestGuaranteesFit checks that placement takes adjacency into account. Most cases that do
// not fit have enough single accelerators free.
func TestGuaranteesFit(t *testing.T) {
	shape := func(cell model.Level, count int, within model.Level) model.Shape {
		return model.Shape{Cell: cell, Count: count, Within: within}
	}
	worker, rack, four := model.LevelWorker, model.LevelRack, model.LevelFour
	cases := []struct {
		name       string
		guarantees []Guarantee
		fits       bool
	}{
		{"all workers", []Guarantee{{Shape: shape(worker, 2, rack), Shapes: 2}}, true},
		{"three workers in a rack of two", []Guarantee{{Shape: shape(worker, 3, rack), Shapes: 1}}, false},
		{"three workers in a zone of two", []Guarantee{{Shape: shape(worker, 3, model.LevelZone), Shapes: 1}}, false},
		{"fours break the second rack", []Guarantee{
			{Zone: "vannes", Shape: shape(four, 1, worker), Shapes: 1},
			{Shape: shape(worker, 2, rack), Shapes: 2}}, false},
		{"pinned fours share a worker", []Guarantee{
			{Zone: "vannes", Shape: shape(four, 1, worker), Shapes: 2},
			{Shape: shape(worker, 1, worker), Shapes: 3}}, true},
		{"pinned workers go first", []Guarantee{
			{Shape: shape(worker, 2, rack), Shapes: 1},
			{Zone: "quimper", Shape: shape(worker, 2, rack), Shapes: 1}}, true},
		{"racks go before workers", []Guarantee{
			{Zone: "vannes", Shape: shape(worker, 1, worker), Shapes: 1},
			{Shape: shape(worker, 1, worker), Shapes: 1},
			{Shape: shape(worker, 2, rack), Shapes: 1}}, true},
		{"parts of workers are used up first", []Guarantee{
			{Zone: "vannes", Shape: shape(four, 1, worker), Shapes: 1},
			{Zone: "vannes", Shape: shape(model.LevelAccelerator, 4, rack), Shapes: 1},
			{Shape: shape(worker, 1, worker), Shapes: 3}}, true},
		{"the fullest rack is used first", []Guarantee{
			{Zone: "vannes", Shape: shape(worker, 1, worker), Shapes: 1},
			{Shape: shape(worker, 1, rack), Shapes: 1},
			{Shape: shape(four, 4, rack), Shapes: 1}}, true},
		{"single accelerators fill all", []Guarantee{{Shape: shape(model.LevelAccelerator, 1, worker), Shapes: 32}}, true},
		{"one accelerator too many", []Guarantee{{Shape: shape(model.LevelAccelerator, 1, worker), Shapes: 33}}, false},
	}
	for _, c := range cases {
		cfg, _ := Parse("t", []byte(validConfig))
		cfg.Organisations[0].Guarantees = c.guarantees
		zones := (&checker{cfg: cfg}).declaredCapacity()
		if got := allFit(c.guarantees, zones); got != c.fits {
			t.Errorf("%s: fits is %v, want %v", c.name, got, c.fits)
		}
	}
}

// allFit reports whether all guarantees fit into the zones.
func allFit(guarantees []Guarantee, zones []*zoneCapacity) bool {
	demands := make([]demand, len(guarantees))
	for i, g := range guarantees {
		demands[i].Guarantee = g
	}
	for _, d := range sortDemands(demands) {
		if placeDemand(&d, zones) < d.Shapes {
			return false
		}
	}
	return true
}

// TestSetZoneInService checks that an edit changes one value only and keeps comments.
func TestSetZoneInService(t *testing.T) {
	out, err := SetZoneInService([]byte(validConfig), "quimper", false)
	want := strings.Replace(validConfig, "true /* since May */", "false /* since May */", 1)
	if err != nil || string(out) != want {
		t.Fatalf("error %v, configuration:\n%s", err, out)
	}
	if _, err := SetZoneInService([]byte(validConfig), "brest", false); !trace.IsNotFound(err) {
		t.Errorf("an unknown zone got error %v", err)
	}
}

// TestDiff checks that Diff reports every change.
func TestDiff(t *testing.T) {
	old, _ := Parse("t", []byte(validConfig))
	next, _ := Parse("t", []byte(strings.NewReplacer(`"vannes", "region"`, `"brest", "region"`,
		`"quotaAccelerators": 32, `, ``).Replace(validConfig)))
	var got []string
	for _, c := range Diff(old, next) {
		got = append(got, c.String())
	}
	want := "added zone brest;removed zone vannes;changed organisation schools: quotaAccelerators 32 -> none"
	if strings.Join(got, ";") != want {
		t.Errorf("got %q, want %q", strings.Join(got, ";"), want)
	}
	if extra := Diff(old, old); len(extra) > 0 {
		t.Errorf("a configuration differs from itself: %v", extra)
	}
}

// TestServiceAccessors checks that priority names map to the right class and that
// deadlines and task limits are read or take their defaults.
func TestServiceAccessors(t *testing.T) {
	cfg, _ := Parse("t", []byte(validConfig))
	proofs, exchange := cfg.Service("proofs"), cfg.Service("exchange")
	if proofs.PriorityClass() != model.PriorityBatch || exchange.PriorityClass() != model.PriorityUrgent {
		t.Errorf("got priorities %d and %d", proofs.PriorityClass(), exchange.PriorityClass())
	}
	if proofs.DeadlineDuration().Hours() != 1 || proofs.TaskLimit() != maxTasksPerJob {
		t.Errorf("got deadline %s and limit %d", proofs.DeadlineDuration(), proofs.TaskLimit())
	}
}

// TestExampleConfigs checks that the example configurations have no findings.
func TestExampleConfigs(t *testing.T) {
	for _, name := range []string{"kerherve", "association"} {
		file := "../../examples/" + name + "/daisyfold.jsonc"
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, findings := Parse(file, data); len(findings) > 0 {
			t.Error(findings)
		}
	}
}

// TestReference checks that the committed reference page matches the schema and rules.
func TestReference(t *testing.T) {
	data, err := os.ReadFile("../../docs/text-format.md")
	if err != nil || string(data) != Reference() {
		t.Errorf("docs/text-format.md is not current (%v); run: daisyfold docs text-format > docs/text-format.md", err)
	}
}

// FuzzParse checks that Parse does not crash, that positions of findings lie inside the
// input, and that an accepted configuration can be edited.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(`{"services": [{"name": "a" "kind": 5s, "dependsOn": ["a", null]}]}`))
	f.Add([]byte(`{"availabilityZones": [{]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, findings := Parse("t", data)
		lines := strings.Count(string(data), "\n") + 1
		for _, x := range findings {
			if x.Line < 1 || x.Line > lines || x.Column < 1 {
				t.Fatalf("finding outside the input: %s", x)
			}
		}
		if len(findings) > 0 {
			return
		}
		edited, err := SetZoneInService(data, cfg.AvailabilityZones[0].Name, false)
		if err != nil {
			t.Fatal(err)
		}
		if again, found := Parse("t", edited); len(found) > 0 || again.AvailabilityZones[0].InService {
			t.Fatalf("the edited configuration is wrong: %v", found)
		}
	})
}
