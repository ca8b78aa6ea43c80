package calls

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Blocked returns the services whose dependencies are unavailable, each with the
// dependency that is missing.
func (s *Service) Blocked(now time.Time) map[model.Service]model.Service {
	out := map[model.Service]model.Service{}
	cfg := s.cfg.Board.Config.Get()
	if cfg == nil {
		return out
	}
	for i := range cfg.Parsed.Services {
		svc := &cfg.Parsed.Services[i]
		if dep := s.gate.missingDependency(now, cfg, svc); dep != "" {
			out[svc.Name] = dep
		}
	}
	return out
}
