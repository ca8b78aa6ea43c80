package config

import (
	"regexp"

	"github.com/daisyfold/daisyfold/internal/jsontext"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Limits of the configuration. They are several times the design size, so that a value out
// of range indicates a typing error rather than a large deployment.
const (
	maxZones             = 64
	maxOrganisations     = 1000
	maxServices          = 1000
	maxRacks             = 1000
	maxWorkersPerRack    = 64
	maxGuaranteedShapes  = 10_000
	maxAccelerators      = 1_000_000
	maxJobs              = 1_000_000
	maxRequestsPerSecond = 1_000_000
	maxTasksPerJob       = 512 // size of the largest gang in the design
	maxWeight            = 1000
	minDeadlineSeconds   = 0.001
	maxDeadlineSeconds   = 7 * 24 * 3600
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

var nameFormat = &jsontext.Format{
	Name:  "lower-case letters, digits and inner hyphens, at most 63 characters",
	Valid: namePattern.MatchString,
}

var sha256Format = &jsontext.Format{
	Name:  "a SHA-256 sum in 64 lower-case hexadecimal digits (`printf %s KEY | sha256sum`)",
	Valid: sha256Pattern.MatchString,
}

func nameField(doc string) jsontext.Field {
	return jsontext.Field{Name: "name", Doc: doc, Kind: jsontext.String, Required: true, Format: nameFormat}
}

func keyHashesField() jsontext.Field {
	return jsontext.Field{
		Name: "keyHashes", Kind: jsontext.List, Required: true, Bound: jsontext.Range(1, 16),
		Doc:  "SHA-256 sums of its bearer keys. Two keys allow key rotation without an interruption.",
		Elem: &jsontext.Field{Kind: jsontext.String, Format: sha256Format},
	}
}

func integerField(name, doc string, low, high float64) jsontext.Field {
	return jsontext.Field{Name: name, Doc: doc, Kind: jsontext.Integer, Bound: jsontext.Range(low, high)}
}

func required(f jsontext.Field) jsontext.Field {
	f.Required = true
	return f
}

func listField(name, doc string, low, high float64, elem jsontext.Field) jsontext.Field {
	return jsontext.Field{
		Name: name, Doc: doc, Kind: jsontext.List, Required: true,
		Bound: jsontext.Range(low, high), Elem: &elem,
	}
}

// Schema describes all fields of the configuration.
var Schema = &jsontext.Field{Fields: []jsontext.Field{
	listField("availabilityZones", "The availability zones of the deployment.", 1, maxZones, zoneSchema),
	listField("organisations", "The organisations that submit jobs and requests.", 0, maxOrganisations, organisationSchema),
	listField("services", "The services that organisations can use.", 0, maxServices, serviceSchema),
	listField("operators", "The operators, who may publish configurations and take zones out of service.", 1, maxOrganisations, operatorSchema),
}}

var zoneSchema = jsontext.Field{Fields: []jsontext.Field{
	nameField("Name of the zone, unique in the configuration."),
	{Name: "region", Doc: "Region that the zone belongs to.", Kind: jsontext.String, Required: true, Format: nameFormat},
	{Name: "inService", Doc: "False takes the zone out of service: no more tasks start there. " +
		"`daisyfold zone out` and `zone in` change only this value.", Kind: jsontext.Bool, Required: true},
	{Name: "hardware", Doc: "Declared accelerator workers of the zone, against which guarantees are checked.",
		Kind: jsontext.Object, Required: true, Fields: hardwareFields},
}}

var hardwareFields = []jsontext.Field{
	required(integerField("racks", "Racks with accelerator workers.", 0, maxRacks)),
	required(integerField("workersPerRack", "Accelerator workers in each rack.", 0, maxWorkersPerRack)),
	required(integerField("acceleratorsPerWorker", "Accelerators in each worker.", 0, model.AcceleratorsPerWorker)),
}

var organisationSchema = jsontext.Field{Fields: []jsontext.Field{
	nameField("Name of the organisation, unique in the configuration."),
	{Name: "guarantees", Doc: "Capacity that the organisation can always reclaim, even on a full cluster.",
		Kind: jsontext.List, Elem: &guaranteeSchema},
	integerField("quotaAccelerators", "Maximum number of accelerators that the organisation uses at the same time in the deployment. If it is not set, there is no limit.", 1, maxAccelerators),
	integerField("quotaWaitingJobs", "Maximum number of waiting jobs. If it is not set, there is no limit.", 1, maxJobs),
	{Name: "requestsPerSecond", Doc: "Maximum rate of requests per second at one entry host. If it is not set, there is no limit.",
		Kind: jsontext.Number, Bound: jsontext.Range(0.001, maxRequestsPerSecond)},
	withDefault(integerField("weight", "Share of spare capacity relative to the other organisations.", 1, maxWeight), "1"),
	keyHashesField(),
}}

var guaranteeSchema = jsontext.Field{Fields: []jsontext.Field{
	{Name: "availabilityZone", Doc: "Zone of the shapes. If it is not set, the shapes are assigned to zones by the declared hardware.", Kind: jsontext.String},
	{Name: "shape", Doc: "One set of adjacent accelerators.", Kind: jsontext.Object, Required: true, Fields: shapeFields},
	required(integerField("shapes", "Number of guaranteed shapes.", 1, maxGuaranteedShapes)),
}}

var shapeFields = []jsontext.Field{
	{Name: "cell", Doc: "Size of each cell: 1, 2, 4 or 8 accelerators.", Kind: jsontext.String, Required: true,
		Enum: levelNames(model.LevelAccelerator, model.LevelPair, model.LevelFour, model.LevelWorker)},
	required(integerField("count", "Number of cells in the shape.", 1, maxRacks*maxWorkersPerRack)),
	{Name: "within", Doc: "Unit of the hardware that must contain all cells of one shape.", Kind: jsontext.String, Required: true,
		Enum: levelNames(model.LevelWorker, model.LevelRack, model.LevelZone)},
}

var serviceSchema = jsontext.Field{Fields: []jsontext.Field{
	nameField("Name of the service, unique in the configuration."),
	{Name: "kind", Doc: "`jobs` run on workers, `requests` go to targets.", Kind: jsontext.String, Required: true,
		Enum: []string{string(KindJobs), string(KindRequests)}},
	{Name: "dependsOn", Doc: "Services that this service requires to be available.", Kind: jsontext.List,
		Elem: &jsontext.Field{Kind: jsontext.String}},
	{Name: "priority", Doc: "`batch` may wait overnight; `urgent` starts within seconds and preempts if needed.",
		Kind: jsontext.String, Required: true, Enum: priorityNames},
	{Name: "deadline", Doc: "Time limit of one request or job.", Kind: jsontext.Duration, Required: true,
		Bound: jsontext.Range(minDeadlineSeconds, maxDeadlineSeconds)},
	{Name: "repeatable", Doc: "True if a request may be sent again, or a job started again, after it may have run.",
		Kind: jsontext.Bool, Required: true},
	integerField("maxInFlight", "Only for `requests`: maximum number of requests in flight at one entry host. If it is not set, there is no limit.", 1, maxJobs),
	withDefault(integerField("maxTasks", "Only for `jobs`: maximum number of tasks of one job.", 1, maxTasksPerJob), "512"),
}}

var operatorSchema = jsontext.Field{Fields: []jsontext.Field{
	nameField("Name of the operator, unique in the configuration."),
	keyHashesField(),
}}

func withDefault(f jsontext.Field, value string) jsontext.Field {
	f.Default = value
	return f
}

func levelNames(levels ...model.Level) []string {
	names := make([]string, len(levels))
	for i, l := range levels {
		names[i] = string(l)
	}
	return names
}
