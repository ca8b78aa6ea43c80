// Package hostlist is the adapter to the platform's lagging list of entry hosts,
// workers and targets. It holds the messages and a client.
//
// GET {base}/hosts returns a List with an ETag; a request with If-None-Match of
// the same tag is answered 304 without a body.
package hostlist

import (
	"context"

	"github.com/daisyfold/daisyfold/internal/model"
)

// EntryHost is an entry host as the platform lists it.
type EntryHost struct {
	ID      model.HostID `json:"id"`
	Zone    model.Zone   `json:"zone"`
	Leaving bool         `json:"leaving,omitempty"`
}

// List is the platform's view, which lags behind by seconds.
type List struct {
	Version int64          `json:"version"`
	Hosts   []EntryHost    `json:"hosts"`
	Workers []model.Worker `json:"workers"`
	Targets []model.Target `json:"targets"`
}

// Source returns the current list. changed is false when the list is the same as
// at the last call; the returned list is then the last one.
type Source interface {
	Fetch(ctx context.Context) (list *List, changed bool, err error)
}
