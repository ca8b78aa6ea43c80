package config

import (
	"fmt"
	"strings"

	"github.com/daisyfold/daisyfold/internal/jsontext"
	"github.com/daisyfold/daisyfold/internal/model"
)

// checker checks the rules that relate several values of a configuration to each other.
// It adds the findings to doc.
type checker struct {
	doc *jsontext.Document
	cfg *Config
}

// rule is a check that relates several values to each other. The reference page prints
// doc.
type rule struct {
	doc   string
	check func(*checker)
}

var rules = []rule{
	{"Names are unique among the zones, among the organisations, among the services and among the operators.", (*checker).checkUniqueNames},
	{"Key hashes are unique in the whole configuration.", (*checker).checkUniqueKeyHashes},
	{"`dependsOn` names other services of the configuration, each at most once, without a cycle.", (*checker).checkDependencies},
	{"`maxInFlight` is allowed only for services of kind `requests`, `maxTasks` only for services of kind `jobs`.", (*checker).checkKindFields},
	{"`availabilityZone` of a guarantee names a zone of the configuration.", (*checker).checkGuaranteeZones},
	{"A shape within one worker has at most 8 accelerators.", (*checker).checkWorkerShapes},
	{"All guarantees together fit into the declared hardware of all zones, including zones out of service.", (*checker).checkGuaranteesFit},
	{"An organisation's guarantees do not exceed its `quotaAccelerators`.", (*checker).checkGuaranteeQuotas},
}

func (c *checker) checkUniqueNames() {
	cfg := c.cfg
	checkUnique(c, "availabilityZones", cfg.AvailabilityZones, func(z AvailabilityZone) string { return string(z.Name) })
	checkUnique(c, "organisations", cfg.Organisations, func(o Organisation) string { return string(o.Name) })
	checkUnique(c, "services", cfg.Services, func(s Service) string { return string(s.Name) })
	checkUnique(c, "operators", cfg.Operators, func(o Operator) string { return o.Name })
}

// checkUnique reports the entries of a list that repeat the name of an earlier entry.
func checkUnique[T any](c *checker, listPath string, entries []T, name func(T) string) {
	first := map[string]int{}
	for i, entry := range entries {
		n := name(entry)
		if n == "" {
			continue
		}
		if j, seen := first[n]; seen {
			c.doc.AddFinding(fmt.Sprintf("%s[%d].name", listPath, i), "the name %q is already used by entry %d of %s", n, j+1, listPath)
			continue
		}
		first[n] = i
	}
}

func (c *checker) checkUniqueKeyHashes() {
	owners := map[string]string{}
	check := func(path, ownerName string, hashes []string) {
		for i, h := range hashes {
			if other, seen := owners[h]; seen && h != "" {
				c.doc.AddFinding(fmt.Sprintf("%s.keyHashes[%d]", path, i), "the key hash is already used by %s", other)
			}
			owners[h] = ownerName
		}
	}
	for i, o := range c.cfg.Organisations {
		check(fmt.Sprintf("organisations[%d]", i), "organisation "+string(o.Name), o.KeyHashes)
	}
	for i, o := range c.cfg.Operators {
		check(fmt.Sprintf("operators[%d]", i), "operator "+o.Name, o.KeyHashes)
	}
}

func (c *checker) checkDependencies() {
	for i, s := range c.cfg.Services {
		seen := map[model.Service]bool{}
		for j, name := range s.DependsOn {
			c.checkDependency(fmt.Sprintf("services[%d].dependsOn[%d]", i, j), name, seen[name])
			seen[name] = true
		}
	}
	c.checkDependencyCycles()
}

func (c *checker) checkDependency(path string, name model.Service, duplicate bool) {
	switch {
	case c.doc.HasFinding(path):
	case c.cfg.Service(name) == nil:
		c.doc.AddFinding(path, "there is no service %q", name)
	case duplicate:
		c.doc.AddFinding(path, "the service %q occurs twice", name)
	}
}

// checkDependencyCycles reports each dependency cycle once, at the dependency that closes
// it.
func (c *checker) checkDependencyCycles() {
	visited := map[model.Service]bool{}
	for i := range c.cfg.Services {
		c.visitService(i, nil, visited)
	}
}

// visitService searches for cycles depth-first from the service at index. The parameter path
// holds the services between the start of the search, included, and this service, excluded.
func (c *checker) visitService(index int, path []model.Service, visited map[model.Service]bool) {
	s := &c.cfg.Services[index]
	if visited[s.Name] {
		return
	}
	path = append(path, s.Name)
	for j, name := range s.DependsOn {
		if start := serviceIndexOf(path, name); start >= 0 {
			c.doc.AddFinding(fmt.Sprintf("services[%d].dependsOn[%d]", index, j), "the dependencies form a cycle: %s", formatCycle(path[start:]))
			continue
		}
		if next := c.serviceIndex(name); next >= 0 {
			c.visitService(next, path, visited)
		}
	}
	visited[s.Name] = true
}

// serviceIndex returns the index of the named service in the configuration, or -1.
func (c *checker) serviceIndex(name model.Service) int {
	for i := range c.cfg.Services {
		if name != "" && c.cfg.Services[i].Name == name {
			return i
		}
	}
	return -1
}

// serviceIndexOf returns the index of name in services, or -1.
func serviceIndexOf(services []model.Service, name model.Service) int {
	for i, n := range services {
		if n == name && name != "" {
			return i
		}
	}
	return -1
}

func formatCycle(cycle []model.Service) string {
	names := make([]string, 0, len(cycle)+1)
	for _, n := range cycle {
		names = append(names, string(n))
	}
	return strings.Join(append(names, names[0]), " -> ")
}

func (c *checker) checkKindFields() {
	for i, s := range c.cfg.Services {
		path := fmt.Sprintf("services[%d]", i)
		if s.Kind == KindJobs && c.doc.Has(path+".maxInFlight") {
			c.doc.AddFinding(path+".maxInFlight", "maxInFlight is allowed only for services of kind %q", KindRequests)
		}
		if s.Kind == KindRequests && c.doc.Has(path+".maxTasks") {
			c.doc.AddFinding(path+".maxTasks", "maxTasks is allowed only for services of kind %q", KindJobs)
		}
	}
}

func (c *checker) checkGuaranteeZones() {
	for i, o := range c.cfg.Organisations {
		for j, g := range o.Guarantees {
			path := fmt.Sprintf("organisations[%d].guarantees[%d].availabilityZone", i, j)
			if g.Zone != "" && c.cfg.Zone(g.Zone) == nil {
				c.doc.AddFinding(path, "there is no availability zone %q", g.Zone)
			}
		}
	}
}

func (c *checker) checkWorkerShapes() {
	for i, o := range c.cfg.Organisations {
		for j, g := range o.Guarantees {
			path := fmt.Sprintf("organisations[%d].guarantees[%d].shape", i, j)
			if g.Shape.Within == model.LevelWorker && g.Shape.Accelerators() > model.AcceleratorsPerWorker {
				c.doc.AddFinding(path, "a shape of %s has %d accelerators, but a worker has at most %d",
					formatShape(g.Shape), g.Shape.Accelerators(), model.AcceleratorsPerWorker)
			}
		}
	}
}

func (c *checker) checkGuaranteeQuotas() {
	for i, o := range c.cfg.Organisations {
		total := 0
		for _, g := range o.Guarantees {
			total += g.Shapes * g.Shape.Accelerators()
		}
		if o.QuotaAccelerators > 0 && total > o.QuotaAccelerators {
			path := fmt.Sprintf("organisations[%d].quotaAccelerators", i)
			c.doc.AddFinding(path, "the guarantees hold %d accelerators, more than the quota of %d", total, o.QuotaAccelerators)
		}
	}
}
