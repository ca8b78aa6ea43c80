package calls

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// MissingDependencies returns the services that have an unavailable dependency, each
// with the first such dependency.
func (s *Service) MissingDependencies(now time.Time) map[model.Service]model.Service {
	missing := map[model.Service]model.Service{}
	cfg := s.cfg.Board.Config.Get()
	if cfg == nil {
		return missing
	}
	for i := range cfg.Parsed.Services {
		svc := &cfg.Parsed.Services[i]
		if dep := s.dispatcher.missingDependency(now, cfg, svc); dep != "" {
			missing[svc.Name] = dep
		}
	}
	return missing
}
