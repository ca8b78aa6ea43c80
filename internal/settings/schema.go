package settings

import (
	"net/netip"
	"net/url"
	"regexp"

	"github.com/daisyfold/daisyfold/internal/jsontext"
)

const (
	defaultDrainSeconds = 30
	defaultLogLevel     = "info"
	defaultSample       = 0.1
	// defaultAppends is the budget of design section D7: the log service accepts
	// several hundred appends per second.
	defaultAppends          = 300
	defaultRetentionSeconds = 3600
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

var (
	nameFormat = &jsontext.Format{
		Name:  "lower-case letters, digits and inner hyphens, at most 63 in all",
		Valid: namePattern.MatchString,
	}
	hashFormat = &jsontext.Format{
		Name:  "a SHA-256 sum in 64 lower-case hexadecimal digits (`printf %s KEY | sha256sum`)",
		Valid: hashPattern.MatchString,
	}
	addressFormat = &jsontext.Format{
		Name: `an IP address with a port, such as "127.0.0.1:7101"`, Valid: validAddress,
	}
	urlFormat = &jsontext.Format{
		Name: `an http or https URL with an IP address and without a path, such as "http://127.0.0.1:7000"`, Valid: validURL,
	}
)

func validAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.IsValid()
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	return validAddress(u.Host) && u.Path == "" && u.RawQuery == "" && u.User == nil
}

func text(name, doc string, format *jsontext.Format) jsontext.Field {
	return jsontext.Field{Name: name, Doc: doc, Kind: jsontext.String, Format: format}
}

func required(f jsontext.Field) jsontext.Field {
	f.Required = true
	return f
}

func object(name, doc string, fields ...jsontext.Field) jsontext.Field {
	return jsontext.Field{Name: name, Doc: doc, Kind: jsontext.Object, Fields: fields}
}

// Schema is the table of all fields of the settings.
var Schema = &jsontext.Field{Fields: []jsontext.Field{
	required(text("host", "Name of this entry host, unique in the deployment.", nameFormat)),
	required(text("zone", "Availability zone of this host.", nameFormat)),
	required(text("region", "Region of the zone.", nameFormat)),
	required(object("listen", "Addresses to listen on.",
		required(text("api", "For callers and operators.", addressFormat)),
		required(text("peer", "For the other daemons.", addressFormat)))),
	{Name: "peers", Doc: "The other daemons of the deployment.", Kind: jsontext.List, Required: true, Elem: &peerSchema},
	required(object("platform", "Services of the platform.",
		required(text("log", "Base URL of the log service.", urlFormat)),
		required(text("hostList", "Base URL of the host list.", urlFormat)))),
	{Name: "drainSeconds", Doc: "Longest time of a planned stop.", Kind: jsontext.Integer, Unit: "seconds",
		Bound: jsontext.Range(1, 600), Default: "30"},
	object("log", "The daemon's own log.", jsontext.Field{Name: "level", Doc: "Least important level that is written.",
		Kind: jsontext.String, Enum: []string{"debug", "info", "warn", "error"}, Default: defaultLogLevel}),
	object("tls", "PEM files, read again when they change. Relative names start from the directory of the settings.", tlsFields...),
	object("trace", "Where spans go.", traceFields...),
	{Name: "logAppendsPerSecond", Doc: "Appends to the log service by the whole deployment; each host takes an equal share.",
		Kind: jsontext.Integer, Unit: "appends per second", Bound: jsontext.Range(1, 10_000), Default: "300"},
	{Name: "logRetentionSeconds", Doc: "How long the log service keeps records at least. Live state is appended again several times within it.",
		Kind: jsontext.Integer, Unit: "seconds", Bound: jsontext.Range(10, 31_536_000), Default: "3600"},
	text("bootstrapKeyHash", "SHA-256 sum of the key that may publish the first text. Without it, an operator key of that text may.", hashFormat),
}}

var peerSchema = jsontext.Field{Fields: []jsontext.Field{
	required(text("host", "Name of the other host.", nameFormat)),
	required(text("zone", "Its availability zone.", nameFormat)),
	required(text("address", "Base URL of its peer address.", urlFormat)),
}}

var tlsFields = []jsontext.Field{
	text("certFile", "Certificate for callers. Without it callers use plain HTTP.", nil),
	text("keyFile", "Its key.", nil),
	text("peerCertFile", "Certificate towards the other daemons, for both directions. Without it daemons use plain HTTP.", nil),
	text("peerKeyFile", "Its key.", nil),
	text("peerCAFile", "Certificates of the authorities that sign the daemons' certificates.", nil),
}

var traceFields = []jsontext.Field{
	{Name: "exporter", Doc: "`file` writes JSON lines, `otlp` sends to a collector.", Kind: jsontext.String,
		Enum: []string{TraceOff, TraceFile, TraceOTLP}, Default: TraceOff},
	text("file", "File of the exporter `file`.", nil),
	text("endpoint", "Base URL of the exporter `otlp`.", urlFormat),
	{Name: "sample", Doc: "Share of traces that are kept.", Kind: jsontext.Number, Bound: jsontext.Range(0, 1), Default: "0.1"},
}
