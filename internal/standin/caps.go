package standin

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const (
	// manifestNoticeTime is how long after the next version was written a manifest may still be
	// in force: configMs of the platform's sheets.
	manifestNoticeTime = 3 * time.Second
	// capOveragePercent is how far an organisation may be above its cap: quotaOverage of the
	// platform's sheets, in percent.
	capOveragePercent = 10
)

// capsVersion holds the caps of one version of the manifest.
type capsVersion struct {
	caps       map[string]work.Resources // by organisation; 0 means no limit
	replacedAt time.Time                 // when the next version was written; zero for the newest
}

// RecordManifest records that a version of the manifest was written. Its caps are in force
// from then on; those of the version before remain possible for manifestNoticeTime.
func (l *Ledger) RecordManifest(m *manifest.Manifest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var possible []capsVersion
	for _, v := range l.capsVersions {
		if v.replacedAt.IsZero() {
			v.replacedAt = time.Now()
		}
		if v.isPossible() {
			possible = append(possible, v)
		}
	}
	caps := map[string]work.Resources{}
	for _, o := range m.Organisations {
		caps[o.Name] = o.Cap
	}
	l.capsVersions = append(possible, capsVersion{caps: caps})
}

// isPossible reports whether the version may still be in force.
func (v *capsVersion) isPossible() bool {
	return v.replacedAt.IsZero() || time.Since(v.replacedAt) <= manifestNoticeTime
}

// highestCap returns the highest cap of an organisation, in each resource, among the versions
// of the manifest that may be in force. The caller holds the lock.
func (l *Ledger) highestCap(organisation string) work.Resources {
	var highest work.Resources
	for i, n := 0, 0; i < len(l.capsVersions); i++ {
		if !l.capsVersions[i].isPossible() {
			continue
		}
		limit := l.capsVersions[i].caps[organisation]
		if n++; n == 1 {
			highest = limit
			continue
		}
		highest = work.Resources{
			CPU: higherLimit(highest.CPU, limit.CPU), MemoryMB: higherLimit(highest.MemoryMB, limit.MemoryMB),
			Accelerators: higherLimit(highest.Accelerators, limit.Accelerators),
		}
	}
	return highest
}

// higherLimit returns the higher of two limits; 0 means no limit.
func higherLimit(a, b int) int {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// isAbove reports whether used is more than the given percentage of a limit in any resource.
func isAbove(used, limit work.Resources, percent int) bool {
	above := func(used, limit int) bool { return limit > 0 && 100*used > percent*limit }
	return above(used.CPU, limit.CPU) || above(used.MemoryMB, limit.MemoryMB) || above(used.Accelerators, limit.Accelerators)
}

// checkCap checks that what an organisation has running allows one more task to start. It is
// called before the start is counted. The caller holds the lock.
func (l *Ledger) checkCap(w *Worker, r *activeRun) {
	organisation := r.job.Organisation
	used, limit := l.organisationUse[organisation], l.highestCap(organisation)
	if isAbove(used, limit, 100+capOveragePercent) {
		l.addViolationLocked("QUOTA: %s of %+v starts on %s at %s while %s has %+v running, with a cap of %+v",
			r.name, r.step().Demand, w.entry.ID, time.Since(w.fleet.startedAt), organisation, used, limit)
	}
}

// Use returns what the runs of an organisation occupy on all workers, also those that are
// being stopped.
func (l *Ledger) Use(organisation string) work.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.organisationUse[organisation]
}

// isHeldByCap reports whether an organisation uses half of its newest cap or more. The caller
// holds the lock.
func (l *Ledger) isHeldByCap(organisation string) bool {
	if len(l.capsVersions) == 0 {
		return false
	}
	limit := l.capsVersions[len(l.capsVersions)-1].caps[organisation]
	used := l.organisationUse[organisation]
	half := func(used, limit int) bool { return limit > 0 && 2*used >= limit }
	return half(used.CPU, limit.CPU) || half(used.MemoryMB, limit.MemoryMB) || half(used.Accelerators, limit.Accelerators)
}
