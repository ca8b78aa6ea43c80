package routing

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisyfold/daisyfold/internal/model"
)

// RateLimits limits the requests per second of each organisation at one host. The
// zero value is ready to use.
type RateLimits struct {
	limiters map[model.Organisation]*rate.Limiter
}

// Allow reports whether the organisation may send another request at now, and
// counts the request if so. perSecond is the configured limit in requests per second;
// 0 means no limit. The burst size is one second's worth of requests.
func (l *RateLimits) Allow(now time.Time, org model.Organisation, perSecond float64) bool {
	if perSecond <= 0 {
		delete(l.limiters, org)
		return true
	}
	return l.limiterFor(now, org, perSecond).AllowN(now, 1)
}

// limiterFor returns the organisation's limiter, updated to the rate perSecond.
func (l *RateLimits) limiterFor(now time.Time, org model.Organisation, perSecond float64) *rate.Limiter {
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
