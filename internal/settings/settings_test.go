package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `{
  // one of two daemons
  "host": "quimper-1", "zone": "quimper", "region": "bretagne",
  "listen": {"api": "127.0.0.1:7101", "peer": "127.0.0.1:7201"},
  "peers": [{"host": "quimper-2", "zone": "quimper", "address": "http://127.0.0.1:7202"}],
  "platform": {"log": "http://127.0.0.1:7000", "hostList": "http://127.0.0.1:7000"},
  "drainSeconds": 20,
  "trace": {"exporter": "off"},
}
`

// TestParse checks that invalid settings are refused and that each finding has the right
// position.
func TestParse(t *testing.T) {
	cases := []struct {
		name, old, next string
		want            []string
	}{
		{"nothing", "", "", nil},
		{"unknown field", `"drainSeconds": 20`, `"drainSecond": 20`, []string{`s:7:3: unknown field "drainSecond"`}},
		{"wrong unit", `"drainSeconds": 20`, `"drainSeconds": "20s"`, []string{`s:7:19: must be a whole number of seconds, not "20s"`}},
		{"out of range", `"drainSeconds": 20`, `"drainSeconds": 0`, []string{"s:7:19: 0 is out of range; the allowed range is 1 to 600"}},
		{"name for an address", "127.0.0.1:7101", "localhost:7101", []string{`s:4:21: "localhost:7101" must be an IP address with a port`}},
		{"no port", "127.0.0.1:7202", "127.0.0.1", []string{`s:5:65: "http://127.0.0.1" must be an http or https URL`}},
		{"own name as peer", "quimper-2", "quimper-1", []string{`s:5:22: the host "quimper-1" is already used by this daemon or another peer`}},
		{"same addresses", "127.0.0.1:7201", "127.0.0.1:7101", []string{`s:4:47: the address "127.0.0.1:7101" is already used by listen.api`}},
		{"missing file", `"drainSeconds": 20`, `"tls": {"certFile": "none.pem", "keyFile": "none.key"}`,
			[]string{"s:7:23: none.pem: the file does not exist", "s:7:46: none.key: the file does not exist"}},
		{"key without certificate", `"drainSeconds": 20`, `"tls": {"keyFile": "settings.go"}`,
			[]string{"s:7:22: keyFile is set, but certFile is missing; set all of certFile, keyFile or none"}},
		{"exporter without file", `"off"`, `"file"`, []string{`s:8:25: the exporter "file" needs the field "file"`}},
		{"exporter without endpoint", `"off"`, `"otlp"`, []string{`s:8:25: the exporter "otlp" needs the field "endpoint"`}},
		{"plain peers under TLS", `"drainSeconds": 20`, `"tls": {"peerCertFile": "check.go", "peerKeyFile": "check.go", "peerCAFile": "check.go"}`,
			[]string{`s:5:65: "http://127.0.0.1:7202" must start with https://`}},
		{"three kinds", `"drainSeconds": 20`, `"drainSeconds": 9999, "colour": 1, "log": {"level": "loud"}`,
			[]string{"s:7:19: 9999 is out of range", `s:7:25: unknown field "colour"`, `s:7:55: "loud" is not allowed here`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, findings := Parse("s", []byte(strings.Replace(validSettings, c.old, c.next, 1)))
			if len(findings) != len(c.want) || (s == nil) != (len(c.want) > 0) {
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

// TestLoad checks that absent fields get their defaults and that a missing file is
// reported as a finding.
func TestLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	if _, findings := Load(file); len(findings) != 1 || findings[0].String() != file+": the file does not exist" {
		t.Errorf("got %v for a missing file", findings)
	}
	if err := os.WriteFile(file, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	s, findings := Load(file)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	if s.DrainTimeout().Seconds() != 20 || s.Log.Level != "info" || s.Trace.SampleRatio != 0.1 || s.LogAppendsPerSecond != 300 {
		t.Errorf("got %+v", s)
	}
}

// TestReference checks that the committed reference page matches the schema and rules.
func TestReference(t *testing.T) {
	data, err := os.ReadFile("../../docs/settings.md")
	if err != nil || string(data) != Reference() {
		t.Errorf("docs/settings.md is not current (%v); run: daisyfold docs settings > docs/settings.md", err)
	}
}
