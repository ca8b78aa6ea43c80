package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/daisyfold/daisyfold/internal/jsontext"
	"github.com/daisyfold/daisyfold/internal/model"
)

// checker checks the rules that relate several settings to each other. It adds the
// findings to doc.
type checker struct {
	doc      *jsontext.Document
	settings *Settings
}

// rule is a check that relates several fields to each other. The reference page prints
// doc.
type rule struct {
	doc   string
	check func(*checker)
}

var rules = []rule{
	{"Host names are unique among `host` and `peers`, and addresses are unique among `peers`.", (*checker).checkUniqueHosts},
	{"`api` and `peer` listen on different addresses.", (*checker).checkListenAddresses},
	{"`certFile` and `keyFile` are set together; `peerCertFile`, `peerKeyFile` and `peerCAFile` are set together.", (*checker).checkTLSFieldSets},
	{"The files named in `tls` exist and can be read.", (*checker).checkTLSFiles},
	{"The addresses of peers start with https if `peerCertFile` is set, and with http if it is not.", (*checker).checkPeerSchemes},
	{"The exporter `file` requires `file`, the exporter `otlp` requires `endpoint`.", (*checker).checkTraceExporter},
}

func (c *checker) checkUniqueHosts() {
	hosts := map[model.HostID]bool{c.settings.Host: true}
	addresses := map[string]bool{}
	for i, p := range c.settings.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		if p.Host != "" && hosts[p.Host] {
			c.doc.AddFinding(path+".host", "the host %q is already used by this daemon or another peer", p.Host)
		}
		if p.Address != "" && addresses[p.Address] {
			c.doc.AddFinding(path+".address", "the address %q is already used by another peer", p.Address)
		}
		hosts[p.Host] = true
		addresses[p.Address] = true
	}
}

func (c *checker) checkListenAddresses() {
	listen := c.settings.Listen
	if listen.API != "" && listen.API == listen.Peer && !strings.HasSuffix(listen.API, ":0") {
		c.doc.AddFinding("listen.peer", "the address %q is already used by listen.api", listen.Peer)
	}
}

func (c *checker) checkTLSFieldSets() {
	t := c.settings.TLS
	c.checkAllOrNone([]string{"certFile", "keyFile"}, t.CertFile, t.KeyFile)
	c.checkAllOrNone([]string{"peerCertFile", "peerKeyFile", "peerCAFile"}, t.PeerCertFile, t.PeerKeyFile, t.PeerCAFile)
}

// checkAllOrNone reports a finding when some of the TLS fields are set and others are
// empty. The values are in the order of names.
func (c *checker) checkAllOrNone(names []string, values ...string) {
	missing, set := "", ""
	for i, v := range values {
		if v == "" {
			missing = names[i]
		} else {
			set = names[i]
		}
	}
	if missing != "" && set != "" {
		c.doc.AddFinding("tls."+set, "%s is set, but %s is missing; set all of %s or none", set, missing, strings.Join(names, ", "))
	}
}

func (c *checker) checkTLSFiles() {
	t := c.settings.TLS
	c.checkReadable("tls.certFile", t.CertFile)
	c.checkReadable("tls.keyFile", t.KeyFile)
	c.checkReadable("tls.peerCertFile", t.PeerCertFile)
	c.checkReadable("tls.peerKeyFile", t.PeerKeyFile)
	c.checkReadable("tls.peerCAFile", t.PeerCAFile)
}

func (c *checker) checkReadable(path, file string) {
	if file == "" {
		return
	}
	if _, err := os.ReadFile(file); err != nil {
		c.doc.AddFinding(path, "%s: %s", file, readErrorMessage(err))
	}
}

func (c *checker) checkPeerSchemes() {
	scheme := "http://"
	if c.settings.TLS.PeerCertFile != "" {
		scheme = "https://"
	}
	for i, p := range c.settings.Peers {
		if p.Address != "" && !strings.HasPrefix(p.Address, scheme) {
			c.doc.AddFinding(fmt.Sprintf("peers[%d].address", i), "%q must start with %s under the current tls settings", p.Address, scheme)
		}
	}
}

func (c *checker) checkTraceExporter() {
	t := c.settings.Trace
	if t.Exporter == TraceExporterFile && t.File == "" {
		c.doc.AddFinding("trace.exporter", "the exporter %q needs the field %q", TraceExporterFile, "file")
	}
	if t.Exporter == TraceExporterOTLP && t.Endpoint == "" {
		c.doc.AddFinding("trace.exporter", "the exporter %q needs the field %q", TraceExporterOTLP, "endpoint")
	}
}
