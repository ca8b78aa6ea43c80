// Package settings reads the settings of one daemon: JSON with comments, checked as a
// whole. Every fault is reported with its position.
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

// Settings are the settings of one daemon. Field names are those of the file.
type Settings struct {
	Host     model.HostID `json:"host"`
	Zone     model.Zone   `json:"zone"`
	Region   string       `json:"region"`
	Listen   Listen       `json:"listen"`
	Peers    []Peer       `json:"peers"`
	Platform Platform     `json:"platform"`
	// DrainSeconds bounds a planned stop.
	DrainSeconds int   `json:"drainSeconds"`
	Log          Log   `json:"log"`
	TLS          TLS   `json:"tls"`
	Trace        Trace `json:"trace"`
	// LogAppendsPerSecond bounds the appends of the whole deployment to the log
	// service; each host takes an equal share.
	LogAppendsPerSecond int `json:"logAppendsPerSecond"`
	// LogRetentionSeconds is how long the log service keeps records at least. Live
	// state is appended again several times within it.
	LogRetentionSeconds int `json:"logRetentionSeconds"`
	// BootstrapKeyHash is the SHA-256 sum, in hexadecimal, of the key that may
	// publish the first text. Without it, an operator key of that text may.
	BootstrapKeyHash string `json:"bootstrapKeyHash"`
}

// Listen holds the addresses that the daemon listens on, as "ip:port".
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

// Log sets what the daemon writes to its log.
type Log struct {
	Level string `json:"level"`
}

// TLS names the PEM files of the daemon. Without CertFile callers use plain HTTP,
// without PeerCertFile daemons do.
type TLS struct {
	CertFile     string `json:"certFile"`
	KeyFile      string `json:"keyFile"`
	PeerCertFile string `json:"peerCertFile"`
	PeerKeyFile  string `json:"peerKeyFile"`
	PeerCAFile   string `json:"peerCAFile"`
}

// Trace exporters.
const (
	TraceOff  = "off"
	TraceFile = "file"
	TraceOTLP = "otlp"
)

// Trace sets where spans go. Sample is the share of traces that are kept, 0 to 1.
type Trace struct {
	Exporter string  `json:"exporter"`
	File     string  `json:"file"`
	Endpoint string  `json:"endpoint"`
	Sample   float64 `json:"sample"`
}

// Drain returns the bound of a planned stop.
func (s *Settings) Drain() time.Duration { return time.Duration(s.DrainSeconds) * time.Second }

// Retention returns how long the log service keeps records at least.
func (s *Settings) Retention() time.Duration {
	return time.Duration(s.LogRetentionSeconds) * time.Second
}

// defaults returns the values of absent fields.
func defaults() *Settings {
	return &Settings{
		DrainSeconds:        defaultDrainSeconds,
		Log:                 Log{Level: defaultLogLevel},
		Trace:               Trace{Exporter: TraceOff, Sample: defaultSample},
		LogAppendsPerSecond: defaultAppends,
		LogRetentionSeconds: defaultRetentionSeconds,
	}
}

// Load reads and checks the settings in file. It returns nil with findings.
func Load(file string) (*Settings, finding.List) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, finding.List{{File: file, Message: readFault(err)}}
	}
	return Parse(file, data)
}

// Parse checks the settings in data. File names them in findings; relative names of
// files in the settings start from its directory.
func Parse(file string, data []byte) (*Settings, finding.List) {
	doc := jsontext.Check(file, data, Schema)
	if !doc.Readable() {
		doc.Findings.Sort()
		return nil, doc.Findings
	}
	s := defaults()
	if err := doc.Decode(s); err != nil {
		doc.Add("", "the settings cannot be read: %v", err)
	}
	s.resolveFiles(filepath.Dir(file))
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

// resolveFiles makes the names of certificate files relative to the settings file.
func (s *Settings) resolveFiles(dir string) {
	for _, name := range []*string{
		&s.TLS.CertFile, &s.TLS.KeyFile, &s.TLS.PeerCertFile, &s.TLS.PeerKeyFile, &s.TLS.PeerCAFile, &s.Trace.File,
	} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

func readFault(err error) string {
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return "the file does not exist"
	case errors.Is(err, fs.ErrPermission):
		return "no permission to read the file"
	default:
		return err.Error()
	}
}
