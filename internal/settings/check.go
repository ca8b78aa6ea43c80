package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/daisyfold/daisyfold/internal/jsontext"
	"github.com/daisyfold/daisyfold/internal/model"
)

// checker holds the settings while the rules between their values are checked.
type checker struct {
	doc      *jsontext.Document
	settings *Settings
}

// rule is a check of values against each other. Doc goes to the reference page.
type rule struct {
	doc   string
	check func(*checker)
}

var rules = []rule{
	{"Hosts are named once among `host` and `peers`, and addresses once among `peers`.", (*checker).uniqueHosts},
	{"`api` and `peer` listen on different addresses.", (*checker).listenAddresses},
	{"Certificate and key stand together; `peerCertFile`, `peerKeyFile` and `peerCAFile` stand together.", (*checker).tlsPairs},
	{"The files named in `tls` exist and can be read.", (*checker).tlsFiles},
	{"With `peerCertFile` the addresses of peers start with https, without it with http.", (*checker).peerSchemes},
	{"The exporter `file` needs `file`, the exporter `otlp` needs `endpoint`.", (*checker).traceTarget},
}

func (c *checker) uniqueHosts() {
	hosts := map[model.HostID]bool{c.settings.Host: true}
	addresses := map[string]bool{}
	for i, p := range c.settings.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		if p.Host != "" && hosts[p.Host] {
			c.doc.Add(path+".host", "the host %q is already named", p.Host)
		}
		if p.Address != "" && addresses[p.Address] {
			c.doc.Add(path+".address", "the address %q is already named", p.Address)
		}
		hosts[p.Host] = true
		addresses[p.Address] = true
	}
}

func (c *checker) listenAddresses() {
	listen := c.settings.Listen
	if listen.API != "" && listen.API == listen.Peer && !strings.HasSuffix(listen.API, ":0") {
		c.doc.Add("listen.peer", "the address %q is already that of api", listen.Peer)
	}
}

func (c *checker) tlsPairs() {
	t := c.settings.TLS
	c.together([]string{"certFile", "keyFile"}, t.CertFile, t.KeyFile)
	c.together([]string{"peerCertFile", "peerKeyFile", "peerCAFile"}, t.PeerCertFile, t.PeerKeyFile, t.PeerCAFile)
}

// together reports the empty ones of values when others are set.
func (c *checker) together(names []string, values ...string) {
	missing, set := "", ""
	for i, v := range values {
		if v == "" {
			missing = names[i]
		} else {
			set = names[i]
		}
	}
	if missing != "" && set != "" {
		c.doc.Add("tls."+set, "%s stands alone: %s is missing; set all of %s or none", set, missing, strings.Join(names, ", "))
	}
}

func (c *checker) tlsFiles() {
	t := c.settings.TLS
	c.readable("tls.certFile", t.CertFile)
	c.readable("tls.keyFile", t.KeyFile)
	c.readable("tls.peerCertFile", t.PeerCertFile)
	c.readable("tls.peerKeyFile", t.PeerKeyFile)
	c.readable("tls.peerCAFile", t.PeerCAFile)
}

func (c *checker) readable(path, name string) {
	if name == "" {
		return
	}
	if _, err := os.ReadFile(name); err != nil {
		c.doc.Add(path, "%s: %s", name, readFault(err))
	}
}

func (c *checker) peerSchemes() {
	scheme := "http://"
	if c.settings.TLS.PeerCertFile != "" {
		scheme = "https://"
	}
	for i, p := range c.settings.Peers {
		if p.Address != "" && !strings.HasPrefix(p.Address, scheme) {
			c.doc.Add(fmt.Sprintf("peers[%d].address", i), "%q must start with %s as the tls settings stand", p.Address, scheme)
		}
	}
}

func (c *checker) traceTarget() {
	t := c.settings.Trace
	if t.Exporter == TraceFile && t.File == "" {
		c.doc.Add("trace.exporter", "the exporter %q needs the field %q", TraceFile, "file")
	}
	if t.Exporter == TraceOTLP && t.Endpoint == "" {
		c.doc.Add("trace.exporter", "the exporter %q needs the field %q", TraceOTLP, "endpoint")
	}
}
