package load

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/model"
)

// daemonSettings is the settings file of a daemon as this tool writes it.
type daemonSettings struct {
	Host         model.HostID     `json:"host"`
	Zone         model.Zone       `json:"zone"`
	Region       string           `json:"region"`
	Listen       listenSettings   `json:"listen"`
	Peers        []peerSettings   `json:"peers"`
	Platform     platformSettings `json:"platform"`
	DrainSeconds int              `json:"drainSeconds"`
	Log          logSettings      `json:"log"`
	// LogRetentionSeconds is left out when it is 0: the daemon's default applies.
	LogRetentionSeconds int `json:"logRetentionSeconds,omitempty"`
}

type listenSettings struct {
	API  string `json:"api"`
	Peer string `json:"peer"`
}

type peerSettings struct {
	Host    model.HostID `json:"host"`
	Zone    model.Zone   `json:"zone"`
	Address string       `json:"address"`
}

type platformSettings struct {
	Log      string `json:"log"`
	HostList string `json:"hostList"`
}

type logSettings struct {
	Level string `json:"level"`
}

func (s daemonSettings) write(path string) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, data, 0o600))
}

// Addresses of daemons and emulators lie below the ports that Linux gives to
// outgoing connections (from 32768 on), so that a connection cannot take an
// address between its choice and its use. A daemon failed to start that way.
const (
	lowestPort  = 12_000
	highestPort = 30_000
	portTries   = 1000
)

// freeAddresses returns n loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range portTries {
		if len(addresses) == n {
			return addresses, nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue // in use
		}
		// Closed when all are known, so that no address comes twice.
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return nil, trace.LimitExceeded("found no %d free ports", n)
}
