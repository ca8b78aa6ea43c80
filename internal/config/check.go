package config

import (
	"fmt"
	"strings"

	"github.com/daisyfold/daisyfold/internal/jsontext"
	"github.com/daisyfold/daisyfold/internal/model"
)

// checker holds a text while the rules between its values are checked.
type checker struct {
	doc  *jsontext.Document
	text *Text
}

// rule is a check of values against each other. Doc goes to the reference page.
type rule struct {
	doc   string
	check func(*checker)
}

var rules = []rule{
	{"Names are unique among the zones, among the organisations, among the services and among the operators.", (*checker).uniqueNames},
	{"A key hash occurs once in the whole text.", (*checker).uniqueKeys},
	{"`dependsOn` names other services of the text, each once, and forms no cycle.", (*checker).dependencies},
	{"`maxInFlight` stands only at services of kind `requests`, `maxTasks` only at those of kind `jobs`.", (*checker).kindFields},
	{"`availabilityZone` of a guarantee names a zone of the text.", (*checker).guaranteeZones},
	{"A shape within one worker has at most 8 accelerators.", (*checker).shapesInWorkers},
	{"All guarantees fit together into the declared hardware of all zones, in service or not.", (*checker).guaranteesFit},
	{"An organisation's guarantees do not exceed its `quotaAccelerators`.", (*checker).guaranteesWithinQuota},
}

func (c *checker) uniqueNames() {
	t := c.text
	unique(c, "availabilityZones", t.AvailabilityZones, func(z AvailabilityZone) string { return string(z.Name) })
	unique(c, "organisations", t.Organisations, func(o Organisation) string { return string(o.Name) })
	unique(c, "services", t.Services, func(s Service) string { return string(s.Name) })
	unique(c, "operators", t.Operators, func(o Operator) string { return o.Name })
}

func unique[T any](c *checker, list string, all []T, name func(T) string) {
	first := map[string]int{}
	for i, entry := range all {
		n := name(entry)
		if n == "" {
			continue
		}
		if j, seen := first[n]; seen {
			c.doc.Add(fmt.Sprintf("%s[%d].name", list, i), "the name %q is already used by entry %d of %s", n, j+1, list)
			continue
		}
		first[n] = i
	}
}

func (c *checker) uniqueKeys() {
	owner := map[string]string{}
	check := func(path, who string, hashes []string) {
		for i, h := range hashes {
			if other, seen := owner[h]; seen && h != "" {
				c.doc.Add(fmt.Sprintf("%s.keyHashes[%d]", path, i), "the key hash is already used by %s", other)
			}
			owner[h] = who
		}
	}
	for i, o := range c.text.Organisations {
		check(fmt.Sprintf("organisations[%d]", i), "organisation "+string(o.Name), o.KeyHashes)
	}
	for i, o := range c.text.Operators {
		check(fmt.Sprintf("operators[%d]", i), "operator "+o.Name, o.KeyHashes)
	}
}

func (c *checker) dependencies() {
	for i, s := range c.text.Services {
		seen := map[model.Service]bool{}
		for j, name := range s.DependsOn {
			c.dependency(fmt.Sprintf("services[%d].dependsOn[%d]", i, j), name, seen[name])
			seen[name] = true
		}
	}
	c.cycles()
}

func (c *checker) dependency(path string, name model.Service, again bool) {
	switch {
	case c.doc.Bad(path):
	case c.text.Service(name) == nil:
		c.doc.Add(path, "there is no service %q", name)
	case again:
		c.doc.Add(path, "the service %q is already named", name)
	}
}

// cycles reports each cycle once, at the dependency that closes it.
func (c *checker) cycles() {
	done := map[model.Service]bool{}
	for i := range c.text.Services {
		c.visit(i, nil, done)
	}
}

func (c *checker) visit(i int, chain []model.Service, done map[model.Service]bool) {
	s := &c.text.Services[i]
	if done[s.Name] {
		return
	}
	chain = append(chain, s.Name)
	for j, name := range s.DependsOn {
		if at := indexOf(chain, name); at >= 0 {
			c.doc.Add(fmt.Sprintf("services[%d].dependsOn[%d]", i, j), "the dependencies form a cycle: %s", cycleText(chain[at:]))
			continue
		}
		if next := c.serviceIndex(name); next >= 0 {
			c.visit(next, chain, done)
		}
	}
	done[s.Name] = true
}

func (c *checker) serviceIndex(name model.Service) int {
	for i := range c.text.Services {
		if name != "" && c.text.Services[i].Name == name {
			return i
		}
	}
	return -1
}

func indexOf(chain []model.Service, name model.Service) int {
	for i, n := range chain {
		if n == name && name != "" {
			return i
		}
	}
	return -1
}

func cycleText(cycle []model.Service) string {
	names := make([]string, 0, len(cycle)+1)
	for _, n := range cycle {
		names = append(names, string(n))
	}
	return strings.Join(append(names, names[0]), " -> ")
}

func (c *checker) kindFields() {
	for i, s := range c.text.Services {
		path := fmt.Sprintf("services[%d]", i)
		if s.Kind == KindJobs && c.doc.Has(path+".maxInFlight") {
			c.doc.Add(path+".maxInFlight", "maxInFlight stands only at services of kind %q", KindRequests)
		}
		if s.Kind == KindRequests && c.doc.Has(path+".maxTasks") {
			c.doc.Add(path+".maxTasks", "maxTasks stands only at services of kind %q", KindJobs)
		}
	}
}

func (c *checker) guaranteeZones() {
	for i, o := range c.text.Organisations {
		for j, g := range o.Guarantees {
			path := fmt.Sprintf("organisations[%d].guarantees[%d].availabilityZone", i, j)
			if g.Zone != "" && c.text.Zone(g.Zone) == nil {
				c.doc.Add(path, "there is no availability zone %q", g.Zone)
			}
		}
	}
}

func (c *checker) shapesInWorkers() {
	for i, o := range c.text.Organisations {
		for j, g := range o.Guarantees {
			path := fmt.Sprintf("organisations[%d].guarantees[%d].shape", i, j)
			if g.Shape.Within == model.LevelWorker && g.Shape.Accelerators() > model.AcceleratorsPerWorker {
				c.doc.Add(path, "%s are %d accelerators, but a worker has at most %d",
					shapeText(g.Shape), g.Shape.Accelerators(), model.AcceleratorsPerWorker)
			}
		}
	}
}

func (c *checker) guaranteesWithinQuota() {
	for i, o := range c.text.Organisations {
		total := 0
		for _, g := range o.Guarantees {
			total += g.Shapes * g.Shape.Accelerators()
		}
		if o.QuotaAccelerators > 0 && total > o.QuotaAccelerators {
			path := fmt.Sprintf("organisations[%d].quotaAccelerators", i)
			c.doc.Add(path, "the guarantees hold %d accelerators, more than the quota of %d", total, o.QuotaAccelerators)
		}
	}
}
