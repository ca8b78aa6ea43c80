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

// daemonSettings is the settings file of a daemon, as far as this tool sets it.
type daemonSettings struct {
	Host         model.HostID     `json:"host"`
	Zone         model.Zone       `json:"zone"`
	Region       string           `json:"region"`
	Listen       listenSettings   `json:"listen"`
	Peers        []peerSettings   `json:"peers"`
	Platform     platformSettings `json:"platform"`
	DrainSeconds int              `json:"drainSeconds"`
	Log          logSettings      `json:"log"`
	// LogRetentionSeconds is omitted if it is 0, so that the daemon uses its default.
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

// write writes the settings to a file.
func (s daemonSettings) write(path string) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, data, 0o600))
}

// Daemons and emulators listen on ports below those that Linux gives to outgoing
// connections (from 32768 on). Otherwise a connection could take a port after it was chosen
// and before the daemon listens on it, and the daemon would fail to start.
const (
	lowestPort      = 12_000
	highestPort     = 30_000
	maxPortAttempts = 1000
)

// freeAddresses returns n different loopback addresses that are currently free.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range maxPortAttempts {
		if len(addresses) == n {
			return addresses, nil
		}
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue // in use
		}
		// The listeners stay open until all ports are chosen, so that no port is chosen twice.
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return nil, trace.LimitExceeded("could not find %d free ports", n)
}
