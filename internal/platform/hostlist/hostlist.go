// Package hostlist defines the messages of the platform's list of entry hosts, workers
// and targets, and provides a client. The list lags behind by seconds.
//
// GET {base}/hosts returns a List with an ETag; a request with If-None-Match of
// the same tag gets status 304 without a body.
package hostlist

import (
	"context"

	"github.com/daisyfold/daisyfold/internal/model"
)

// EntryHost is an entry host in the list.
type EntryHost struct {
	ID      model.HostID `json:"id"`
	Zone    model.Zone   `json:"zone"`
	Leaving bool         `json:"leaving,omitempty"`
}

// List is the state of the deployment as the platform knows it.
type List struct {
	Version int64          `json:"version"`
	Hosts   []EntryHost    `json:"hosts"`
	Workers []model.Worker `json:"workers"`
	Targets []model.Target `json:"targets"`
}

// Source provides the host list.
type Source interface {
	// Fetch returns the current list. changed is false if the list is the same as at
	// the last call; the returned list is then the previous one.
	Fetch(ctx context.Context) (list *List, changed bool, err error)
}
