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
	// maxBodyBytes is the API's bound on bodies.
	maxBodyBytes = 1 << 20
	// maxIDLength is the API's bound on request ids.
	maxIDLength = 128
)

// servicePlan is what the configuration says about the request's service.
type servicePlan struct {
	repeatable  bool
	maxInFlight int
}

// prepare checks the request against the configuration in force. It returns why
// the request is refused, or nil. p.service stays nil when the request is not valid.
func (s *Service) prepare(p *plan) *apierror.Error {
	if len(p.req.Body) > maxBodyBytes {
		return apierror.NotRun(apierror.CodeTooLarge, "the body has %d bytes, at most %d are allowed", len(p.req.Body), maxBodyBytes)
	}
	if len(p.req.ID) > maxIDLength {
		return apierror.NotRun(apierror.CodeBadInput, "the request id has %d characters, at most %d are allowed", len(p.req.ID), maxIDLength)
	}
	cfg := s.cfg.Board.Config.Get()
	if cfg == nil {
		return apierror.NotRun(apierror.CodeNoConfig, "this host has no configuration yet")
	}
	svc := cfg.Service(p.req.Service)
	if svc == nil {
		return apierror.NotRun(apierror.CodeNotFound, "service %q is not configured", p.req.Service)
	}
	if svc.Kind != config.KindRequests {
		return apierror.NotRun(apierror.CodeBadInput, "service %q takes jobs, not requests", p.req.Service)
	}
	p.service = &servicePlan{repeatable: svc.Repeatable && !p.req.NonRepeatable, maxInFlight: svc.MaxInFlight}
	p.deadline = time.Now().Add(timeout(p.req.Timeout, svc))
	return s.admit(p, cfg, svc)
}

// timeout is the shorter of the caller's and the service's.
func timeout(asked time.Duration, svc *config.Service) time.Duration {
	limit, err := time.ParseDuration(svc.Deadline)
	if err != nil || limit <= 0 {
		limit = defaultDeadline
	}
	if asked <= 0 {
		return limit
	}
	return min(asked, limit)
}

// admit applies the organisation's rate and the service's dependencies.
func (s *Service) admit(p *plan, cfg *blackboard.Configuration, svc *config.Service) *apierror.Error {
	now := time.Now()
	if !s.gate.allow(now, p.req.Organisation, requestRate(cfg.Text, p.req.Organisation)) {
		return apierror.NotRun(apierror.CodeQuota, "organisation %s has reached its requests per second", p.req.Organisation)
	}
	if dep := s.gate.missingDependency(now, cfg, svc); dep != "" {
		return apierror.NotRun(apierror.CodeDependency, "service %s depends on %s, which is unavailable", svc.Name, dep)
	}
	return nil
}

func requestRate(text *config.Config, org model.Organisation) float64 {
	for i := range text.Organisations {
		if text.Organisations[i].Name == org {
			return text.Organisations[i].RequestsPerSecond
		}
	}
	return 0
}
