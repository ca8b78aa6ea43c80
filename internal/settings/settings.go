// Package settings reads and checks the settings file of one daemon, which is JSON with
// comments. All errors are reported in one pass, each with its position.
package settings

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/jsontext"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Settings holds the settings of one daemon. The JSON names are those of the file.
type Settings struct {
	Host     model.HostID `json:"host"`
	Zone     model.Zone   `json:"zone"`
	Region   string       `json:"region"`
	Listen   Listen       `json:"listen"`
	Peers    []Peer       `json:"peers"`
	Platform Platform     `json:"platform"`
	// DrainSeconds limits the duration of a planned stop.
	DrainSeconds int   `json:"drainSeconds"`
	Log          Log   `json:"log"`
	TLS          TLS   `json:"tls"`
	Trace        Trace `json:"trace"`
	// LogAppendsPerSecond limits the rate of appends to the log service by the whole
	// deployment; each host gets an equal share.
	LogAppendsPerSecond int `json:"logAppendsPerSecond"`
	// LogRetentionSeconds is the minimum time that the log service keeps records. Live
	// state is appended again several times within this period.
	LogRetentionSeconds int `json:"logRetentionSeconds"`
	// BootstrapKeyHash is the SHA-256 sum, in hexadecimal, of the key that may
	// publish the first configuration. If it is empty, an operator key of that
	// configuration may.
	BootstrapKeyHash string `json:"bootstrapKeyHash"`
}

// Listen holds the addresses that the daemon listens on, in the form "ip:port".
type Listen struct {
	API  string `json:"api"`
	Peer string `json:"peer"`
}

// Peer is another daemon of the deployment. Address is its base URL.
type Peer struct {
	Host    model.HostID `json:"host"`
	Zone    model.Zone   `json:"zone"`
	Address string       `json:"address"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log      string `json:"log"`
	HostList string `json:"hostList"`
}

// Log configures the daemon's log output. Level is the minimum level that is written.
type Log struct {
	Level string `json:"level"`
}

// TLS holds the names of the daemon's PEM files. Callers use plain HTTP if CertFile is
// empty; daemons do among each other if PeerCertFile is empty.
type TLS struct {
	CertFile     string `json:"certFile"`
	KeyFile      string `json:"keyFile"`
	PeerCertFile string `json:"peerCertFile"`
	PeerKeyFile  string `json:"peerKeyFile"`
	PeerCAFile   string `json:"peerCAFile"`
}

// Values of Trace.Exporter.
const (
	TraceExporterOff  = "off"
	TraceExporterFile = "file"
	TraceExporterOTLP = "otlp"
)

// Trace configures the export of trace spans. SampleRatio is the fraction of traces that
// are sampled, from 0 to 1.
type Trace struct {
	Exporter    string  `json:"exporter"`
	File        string  `json:"file"`
	Endpoint    string  `json:"endpoint"`
	SampleRatio float64 `json:"sample"`
}

// DrainTimeout returns the maximum duration of a planned stop.
func (s *Settings) DrainTimeout() time.Duration { return time.Duration(s.DrainSeconds) * time.Second }

// LogRetention returns the minimum time that the log service keeps records.
func (s *Settings) LogRetention() time.Duration {
	return time.Duration(s.LogRetentionSeconds) * time.Second
}

// defaults returns settings with the default values of optional fields.
func defaults() *Settings {
	return &Settings{
		DrainSeconds:        defaultDrainSeconds,
		Log:                 Log{Level: defaultLogLevel},
		Trace:               Trace{Exporter: TraceExporterOff, SampleRatio: defaultTraceSampleRatio},
		LogAppendsPerSecond: defaultLogAppendsPerSecond,
		LogRetentionSeconds: defaultLogRetentionSeconds,
	}
}

// Load reads and checks the settings in file. It returns nil if there are findings.
func Load(file string) (*Settings, finding.List) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, finding.List{{File: file, Message: readErrorMessage(err)}}
	}
	return Parse(file, data)
}

// Parse parses and checks the settings in data and returns nil if there are findings. The
// findings refer to file; file names in the settings are relative to its directory.
func Parse(file string, data []byte) (*Settings, finding.List) {
	doc := jsontext.Check(file, data, Schema)
	if !doc.Readable() {
		doc.Findings.Sort()
		return nil, doc.Findings
	}
	s := defaults()
	if err := doc.Decode(s); err != nil {
		doc.AddFinding("", "the settings cannot be read: %v", err)
	}
	s.resolveFileNames(filepath.Dir(file))
	c := &checker{doc: doc, settings: s}
	for _, r := range rules {
		r.check(c)
	}
	doc.Findings.Sort()
	if len(doc.Findings) > 0 {
		return nil, doc.Findings
	}
	return s, nil
}

// resolveFileNames joins dir, the directory of the settings file, and the relative names
// of certificate and trace files.
func (s *Settings) resolveFileNames(dir string) {
	for _, name := range []*string{
		&s.TLS.CertFile, &s.TLS.KeyFile, &s.TLS.PeerCertFile, &s.TLS.PeerKeyFile, &s.TLS.PeerCAFile, &s.Trace.File,
	} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

// readErrorMessage returns the text of a finding for an error of os.ReadFile.
func readErrorMessage(err error) string {
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return "the file does not exist"
	case errors.Is(err, fs.ErrPermission):
		return "no permission to read the file"
	default:
		return err.Error()
	}
}
