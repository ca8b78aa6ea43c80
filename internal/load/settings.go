package load

import (
	"encoding/json"
	"net"
	"os"

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

// freeAddresses returns n loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		// Closed when all are known, so that no address comes twice.
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
