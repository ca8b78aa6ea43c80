package membership

import (
	"context"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// CopyToHost stores records in the memory of one host and reports whether the host stored
// all of them.
func (m *Membership) CopyToHost(ctx context.Context, host model.HostID, records []journal.StreamRecord) bool {
	requests, err := m.copyRequests(records)
	if err != nil {
		m.opts.Logger.Error("records cannot be encoded for copying to a host", zap.Error(err))
		return false
	}
	return m.copyToHost(ctx, host, requests)
}
