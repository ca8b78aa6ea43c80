package settings

import (
	"net/netip"
	"net/url"
	"regexp"

	"github.com/daisyfold/daisyfold/internal/jsontext"
)

// Defaults of optional settings.
const (
	defaultDrainSeconds     = 30
	defaultLogLevel         = "info"
	defaultTraceSampleRatio = 0.1
	// Design section D7: the log service accepts several hundred appends per second.
	defaultLogAppendsPerSecond = 300
	defaultLogRetentionSeconds = 3600
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

var (
	nameFormat = &jsontext.Format{
		Name:  "lower-case letters, digits and inner hyphens, at most 63 characters",
		Valid: namePattern.MatchString,
	}
	sha256Format = &jsontext.Format{
		Name:  "a SHA-256 sum in 64 lower-case hexadecimal digits (`printf %s KEY | sha256sum`)",
		Valid: sha256Pattern.MatchString,
	}
	addressPortFormat = &jsontext.Format{
		Name: `an IP address with a port, such as "127.0.0.1:7101"`, Valid: isAddressPort,
	}
	baseURLFormat = &jsontext.Format{
		Name: `an http or https URL with an IP address and without a path, such as "http://127.0.0.1:7000"`, Valid: isBaseURL,
	}
)

func isAddressPort(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.IsValid()
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	return isAddressPort(u.Host) && u.Path == "" && u.RawQuery == "" && u.User == nil
}

func stringField(name, doc string, format *jsontext.Format) jsontext.Field {
	return jsontext.Field{Name: name, Doc: doc, Kind: jsontext.String, Format: format}
}

func required(f jsontext.Field) jsontext.Field {
	f.Required = true
	return f
}

func objectField(name, doc string, fields ...jsontext.Field) jsontext.Field {
	return jsontext.Field{Name: name, Doc: doc, Kind: jsontext.Object, Fields: fields}
}

// Schema describes all fields of the settings.
var Schema = &jsontext.Field{Fields: []jsontext.Field{
	required(stringField("host", "Name of this entry host, unique in the deployment.", nameFormat)),
	required(stringField("zone", "Availability zone of this host.", nameFormat)),
	required(stringField("region", "Region of the zone.", nameFormat)),
	required(objectField("listen", "Addresses to listen on.",
		required(stringField("api", "Address of the API for callers and operators.", addressPortFormat)),
		required(stringField("peer", "Address for the other daemons.", addressPortFormat)))),
	{Name: "peers", Doc: "The other daemons of the deployment.", Kind: jsontext.List, Required: true, Elem: &peerSchema},
	required(objectField("platform", "Services of the platform that the daemon uses.",
		required(stringField("log", "Base URL of the log service.", baseURLFormat)),
		required(stringField("hostList", "Base URL of the host list.", baseURLFormat)))),
	{Name: "drainSeconds", Doc: "Maximum duration of a planned stop.", Kind: jsontext.Integer, Unit: "seconds",
		Bound: jsontext.Range(1, 600), Default: "30"},
	objectField("log", "Log output of the daemon.", jsontext.Field{Name: "level", Doc: "Minimum level of the log lines that are written.",
		Kind: jsontext.String, Enum: []string{"debug", "info", "warn", "error"}, Default: defaultLogLevel}),
	objectField("tls", "PEM files, reloaded when they change. Relative names are relative to the directory of the settings file.", tlsFields...),
	objectField("trace", "Export of trace spans.", traceFields...),
	{Name: "logAppendsPerSecond", Doc: "Maximum rate of appends to the log service by the whole deployment; each host gets an equal share.",
		Kind: jsontext.Integer, Unit: "appends per second", Bound: jsontext.Range(1, 10_000), Default: "300"},
	{Name: "logRetentionSeconds", Doc: "Minimum time that the log service keeps records. Live state is appended again several times within this period.",
		Kind: jsontext.Integer, Unit: "seconds", Bound: jsontext.Range(10, 31_536_000), Default: "3600"},
	stringField("bootstrapKeyHash", "SHA-256 sum of the key that may publish the first configuration. If it is not set, an operator key of that configuration may.", sha256Format),
}}

var peerSchema = jsontext.Field{Fields: []jsontext.Field{
	required(stringField("host", "Name of the peer's host.", nameFormat)),
	required(stringField("zone", "Availability zone of the peer.", nameFormat)),
	required(stringField("address", "Base URL of the peer, with the address in its `listen.peer`.", baseURLFormat)),
}}

var tlsFields = []jsontext.Field{
	stringField("certFile", "Server certificate for callers. Without it, callers use plain HTTP.", nil),
	stringField("keyFile", "Private key of `certFile`.", nil),
	stringField("peerCertFile", "Server and client certificate for connections between daemons. Without it, daemons use plain HTTP.", nil),
	stringField("peerKeyFile", "Private key of `peerCertFile`.", nil),
	stringField("peerCAFile", "Certificates of the certificate authorities that sign the daemons' certificates.", nil),
}

var traceFields = []jsontext.Field{
	{Name: "exporter", Doc: "`file` writes spans as JSON lines, `otlp` sends them to a collector.", Kind: jsontext.String,
		Enum: []string{TraceExporterOff, TraceExporterFile, TraceExporterOTLP}, Default: TraceExporterOff},
	stringField("file", "Output file of the exporter `file`.", nil),
	stringField("endpoint", "Base URL of the exporter `otlp`.", baseURLFormat),
	{Name: "sample", Doc: "Fraction of traces that are sampled.", Kind: jsontext.Number, Bound: jsontext.Range(0, 1), Default: "0.1"},
}
