package calls

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// defaultDeadline applies to services without a deadline of their own.
	defaultDeadline = 10 * time.Second
	// maxBodyBytes is the API's limit for request bodies.
	maxBodyBytes = 1 << 20
	// maxIDLength is the API's limit for request ids, in bytes.
	maxIDLength = 128
)

// serviceSettings holds the settings of the request's service.
type serviceSettings struct {
	repeatable  bool
	maxInFlight int // 0 means no limit
}

// prepare checks the request against the current configuration and sets p.service and
// p.deadline. It returns why the request is refused, or nil. p.service stays nil if the
// request is invalid.
func (s *Service) prepare(p *preparedRequest) *apierror.Error {
	if len(p.req.Body) > maxBodyBytes {
		return apierror.NotRun(apierror.CodeTooLarge, "the body has %d bytes, at most %d are allowed", len(p.req.Body), maxBodyBytes)
	}
	if len(p.req.ID) > maxIDLength {
		return apierror.NotRun(apierror.CodeBadInput, "the request id has %d bytes, at most %d are allowed", len(p.req.ID), maxIDLength)
	}
	cfg := s.cfg.Board.Config.Get()
	if cfg == nil {
		return apierror.NotRun(apierror.CodeNoConfiguration, "this host has no configuration yet")
	}
	svc := cfg.Service(p.req.Service)
	if svc == nil {
		return apierror.NotRun(apierror.CodeNotFound, "service %q is not configured", p.req.Service)
	}
	if svc.Kind != config.KindRequests {
		return apierror.NotRun(apierror.CodeBadInput, "service %q takes jobs, not requests", p.req.Service)
	}
	p.service = &serviceSettings{repeatable: svc.Repeatable && !p.req.NonRepeatable, maxInFlight: svc.MaxInFlight}
	p.deadline = time.Now().Add(effectiveTimeout(p.req.Timeout, svc))
	return s.admit(p, cfg, svc)
}

// effectiveTimeout returns the shorter of the caller's timeout, if any, and the service's
// deadline.
func effectiveTimeout(requested time.Duration, svc *config.Service) time.Duration {
	limit, err := time.ParseDuration(svc.Deadline)
	if err != nil || limit <= 0 {
		limit = defaultDeadline
	}
	if requested <= 0 {
		return limit
	}
	return min(requested, limit)
}

// admit checks the organisation's rate limit and the service's dependencies. It returns
// why the request is refused, or nil.
func (s *Service) admit(p *preparedRequest, cfg *blackboard.Configuration, svc *config.Service) *apierror.Error {
	now := time.Now()
	if !s.dispatcher.allow(now, p.req.Organisation, requestRateLimit(cfg.Parsed, p.req.Organisation)) {
		return apierror.NotRun(apierror.CodeQuotaReached, "organisation %s has reached its limit of requests per second", p.req.Organisation)
	}
	if dep := s.dispatcher.missingDependency(now, cfg, svc); dep != "" {
		return apierror.NotRun(apierror.CodeDependencyUnavailable, "service %s depends on %s, which is unavailable", svc.Name, dep)
	}
	return nil
}

// requestRateLimit returns the organisation's limit in requests per second; 0 means none.
func requestRateLimit(cfg *config.Config, org model.Organisation) float64 {
	for i := range cfg.Organisations {
		if cfg.Organisations[i].Name == org {
			return cfg.Organisations[i].RequestsPerSecond
		}
	}
	return 0
}
