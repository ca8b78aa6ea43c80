package routing

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisyfold/daisyfold/internal/model"
)

// RateLimits bounds the requests per second of each organisation at one host.
type RateLimits struct {
	limiters map[model.Organisation]*rate.Limiter
}

// Allow takes one request from the organisation's rate and reports whether it fits.
// perSecond is the rate in force; 0 means no bound. A burst of one second's
// requests is allowed.
func (l *RateLimits) Allow(now time.Time, org model.Organisation, perSecond float64) bool {
	if perSecond <= 0 {
		delete(l.limiters, org)
		return true
	}
	return l.limiter(now, org, perSecond).AllowN(now, 1)
}

func (l *RateLimits) limiter(now time.Time, org model.Organisation, perSecond float64) *rate.Limiter {
	burst := int(math.Max(1, math.Ceil(perSecond)))
	lim := l.limiters[org]
	if lim == nil {
		lim = rate.NewLimiter(rate.Limit(perSecond), burst)
		if l.limiters == nil {
			l.limiters = map[model.Organisation]*rate.Limiter{}
		}
		l.limiters[org] = lim
	}
	if lim.Limit() != rate.Limit(perSecond) {
		lim.SetLimitAt(now, rate.Limit(perSecond))
		lim.SetBurstAt(now, burst)
	}
	return lim
}
