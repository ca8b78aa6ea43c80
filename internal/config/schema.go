package config

import (
	"regexp"

	"github.com/daisyfold/daisyfold/internal/jsontext"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Limits of the text. They are several times the design size, so that a value out of
// range is a typing error rather than a large deployment.
const (
	maxZones           = 64
	maxOrganisations   = 1000
	maxServices        = 1000
	maxRacks           = 1000
	maxWorkersPerRack  = 64
	maxShapes          = 10_000
	maxAccelerators    = 1_000_000
	maxJobs            = 1_000_000
	maxRate            = 1_000_000
	maxTasks           = 512 // the largest gang of the design size
	maxWeight          = 1000
	minDeadlineSeconds = 0.001
	maxDeadlineSeconds = 7 * 24 * 3600
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

var nameFormat = &jsontext.Format{
	Name:  "lower-case letters, digits and inner hyphens, at most 63 in all",
	Valid: namePattern.MatchString,
}

var hashFormat = &jsontext.Format{
	Name:  "a SHA-256 sum in 64 lower-case hexadecimal digits (`printf %s KEY | sha256sum`)",
	Valid: hashPattern.MatchString,
}

func nameField(doc string) jsontext.Field {
	return jsontext.Field{Name: "name", Doc: doc, Kind: jsontext.String, Required: true, Format: nameFormat}
}

func keyHashesField() jsontext.Field {
	return jsontext.Field{
		Name: "keyHashes", Kind: jsontext.List, Required: true, Bound: jsontext.Range(1, 16),
		Doc:  "SHA-256 sums of its bearer keys. Two keys allow a change of keys without a gap.",
		Elem: &jsontext.Field{Kind: jsontext.String, Format: hashFormat},
	}
}

func count(name, doc string, low, high float64) jsontext.Field {
	return jsontext.Field{Name: name, Doc: doc, Kind: jsontext.Integer, Bound: jsontext.Range(low, high)}
}

func required(f jsontext.Field) jsontext.Field {
	f.Required = true
	return f
}

func list(name, doc string, low, high float64, elem jsontext.Field) jsontext.Field {
	return jsontext.Field{
		Name: name, Doc: doc, Kind: jsontext.List, Required: true,
		Bound: jsontext.Range(low, high), Elem: &elem,
	}
}

// Schema is the table of all fields of the text.
var Schema = &jsontext.Field{Fields: []jsontext.Field{
	list("availabilityZones", "The availability zones of the deployment.", 1, maxZones, zoneSchema),
	list("organisations", "The organisations that submit jobs and requests.", 0, maxOrganisations, organisationSchema),
	list("services", "What the organisations can ask for.", 0, maxServices, serviceSchema),
	list("operators", "Who may publish texts and take zones out of service.", 1, maxOrganisations, operatorSchema),
}}

var zoneSchema = jsontext.Field{Fields: []jsontext.Field{
	nameField("Name of the zone, unique in the text."),
	{Name: "region", Doc: "Region that the zone belongs to.", Kind: jsontext.String, Required: true, Format: nameFormat},
	{Name: "inService", Doc: "False takes the zone out: no task starts there any more. " +
		"`daisyfold zone out` and `zone in` change only this value.", Kind: jsontext.Bool, Required: true},
	{Name: "hardware", Doc: "Declared accelerator workers of the zone, against which guarantees are checked.",
		Kind: jsontext.Object, Required: true, Fields: hardwareFields},
}}

var hardwareFields = []jsontext.Field{
	required(count("racks", "Racks with accelerator workers.", 0, maxRacks)),
	required(count("workersPerRack", "Accelerator workers in each of them.", 0, maxWorkersPerRack)),
	required(count("acceleratorsPerWorker", "Accelerators in each worker.", 0, model.AcceleratorsPerWorker)),
}

var organisationSchema = jsontext.Field{Fields: []jsontext.Field{
	nameField("Name of the organisation, unique in the text."),
	{Name: "guarantees", Doc: "What the organisation can always reclaim, even on a full cluster.",
		Kind: jsontext.List, Elem: &guaranteeSchema},
	count("quotaAccelerators", "Accelerators that it uses at most at once in the deployment. Without it there is no limit.", 1, maxAccelerators),
	count("quotaWaitingJobs", "Jobs that wait at most at once. Without it there is no limit.", 1, maxJobs),
	{Name: "requestsPerSecond", Doc: "Requests at one entry host. Without it there is no limit.",
		Kind: jsontext.Number, Bound: jsontext.Range(0.001, maxRate)},
	withDefault(count("weight", "Share of spare capacity relative to the other organisations.", 1, maxWeight), "1"),
	keyHashesField(),
}}

var guaranteeSchema = jsontext.Field{Fields: []jsontext.Field{
	{Name: "availabilityZone", Doc: "Zone of the shapes. Without it they are assigned to zones by the declared hardware.", Kind: jsontext.String},
	{Name: "shape", Doc: "One set of adjacent accelerators.", Kind: jsontext.Object, Required: true, Fields: shapeFields},
	required(count("shapes", "How many of the shape are guaranteed.", 1, maxShapes)),
}}

var shapeFields = []jsontext.Field{
	{Name: "cell", Doc: "Size of the parts: 1, 2, 4 or 8 accelerators.", Kind: jsontext.String, Required: true,
		Enum: levels(model.LevelAccelerator, model.LevelPair, model.LevelFour, model.LevelWorker)},
	required(count("count", "Parts in the shape.", 1, maxRacks*maxWorkersPerRack)),
	{Name: "within", Doc: "Where all parts of one shape lie together.", Kind: jsontext.String, Required: true,
		Enum: levels(model.LevelWorker, model.LevelRack, model.LevelZone)},
}

var serviceSchema = jsontext.Field{Fields: []jsontext.Field{
	nameField("Name of the service, unique in the text."),
	{Name: "kind", Doc: "`jobs` run on workers, `requests` go to targets.", Kind: jsontext.String, Required: true,
		Enum: []string{string(KindJobs), string(KindRequests)}},
	{Name: "dependsOn", Doc: "Services without which this one is not available.", Kind: jsontext.List,
		Elem: &jsontext.Field{Kind: jsontext.String}},
	{Name: "priority", Doc: "`batch` may wait overnight; `urgent` starts within seconds and preempts if needed.",
		Kind: jsontext.String, Required: true, Enum: priorityNames},
	{Name: "deadline", Doc: "Time for one request or job.", Kind: jsontext.Duration, Required: true,
		Bound: jsontext.Range(minDeadlineSeconds, maxDeadlineSeconds)},
	{Name: "repeatable", Doc: "True if a request may be sent again, or a job started again, after it may have run.",
		Kind: jsontext.Bool, Required: true},
	count("maxInFlight", "Only for `requests`: requests in flight at one entry host. Without it there is no limit.", 1, maxJobs),
	withDefault(count("maxTasks", "Only for `jobs`: tasks of one job.", 1, maxTasks), "512"),
}}

var operatorSchema = jsontext.Field{Fields: []jsontext.Field{
	nameField("Name of the operator, unique in the text."),
	keyHashesField(),
}}

func withDefault(f jsontext.Field, value string) jsontext.Field {
	f.Default = value
	return f
}

func levels(all ...model.Level) []string {
	names := make([]string, len(all))
	for i, l := range all {
		names[i] = string(l)
	}
	return names
}
