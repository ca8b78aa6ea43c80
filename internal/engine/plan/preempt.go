package plan

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Victim is work that may be preempted: a single run, or all runs of a gang.
type Victim struct {
	ID int // set and used by the caller only
	// Freed holds the resources that stopping the victim frees, one entry per worker.
	Freed []Freed
	// Cost is the work that is lost, in core milliseconds, weighted by priority.
	Cost float64
	// Owner is the organisation that Refund counts for: what stopping the victim frees on all
	// workers, those of other services included.
	Owner  string
	Refund work.Resources
}

// Freed is what stopping a victim frees on one worker.
type Freed struct {
	Node      *Node
	Resources work.Resources
}

// Victims is the work on the workers of a snapshot that may be preempted, indexed by rack,
// so that a search reads only the work on the workers it considers.
type Victims struct {
	list   []Victim
	taken  []bool // by index in list
	byRack map[string]*candidates
	all    candidates
	// coming are resources that will be free soon without a preemption, or because of one.
	coming map[*Node]work.Resources
	// byOwner holds the victims by owner, in ascending order of their cost.
	byOwner map[string]*candidates
}

// candidates are sorted when a search first needs them.
type candidates struct {
	list   []candidate
	sorted bool
}

// byCost returns the candidates in ascending order of their cost per freed core.
func (c *candidates) byCost() []candidate {
	if c == nil {
		return nil
	}
	if !c.sorted {
		c.sorted = true
		slices.SortFunc(c.list, func(x, y candidate) int {
			return cmp.Or(cmp.Compare(x.perCore, y.perCore), cmp.Compare(x.victim, y.victim))
		})
	}
	return c.list
}

// candidate is the part of a victim that is on the workers of one search.
type candidate struct {
	victim  int // index in Victims.list
	freed   []Freed
	perCore float64 // cost per core that is freed on these workers
}

// NewVictims indexes the victims. It sorts the entries in Freed of each victim. Requests may also
// use the resources that are coming; they must not contain those of a victim.
func NewVictims(list []Victim, coming []Freed) *Victims {
	v := &Victims{list: list, taken: make([]bool, len(list)), byRack: map[string]*candidates{}, byOwner: map[string]*candidates{}, coming: map[*Node]work.Resources{}}
	v.expect(coming)
	v.all.list = make([]candidate, 0, len(list))
	for i, victim := range list {
		if len(victim.Freed) > 1 {
			slices.SortFunc(victim.Freed, func(a, b Freed) int {
				return cmp.Or(cmp.Compare(a.Node.Rack, b.Node.Rack), cmp.Compare(a.Node.Key, b.Node.Key))
			})
		}
		everywhere := candidate{victim: i, freed: victim.Freed}
		v.all.list = append(v.all.list, everywhere.withCost(victim.Cost))
		v.addToRacks(everywhere, victim.Cost)
		if v.byOwner[victim.Owner] == nil {
			v.byOwner[victim.Owner] = &candidates{}
		}
		own := v.byOwner[victim.Owner]
		own.list = append(own.list, everywhere.withCost(victim.Cost))
	}
	return v
}

// addToRacks adds the parts of a candidate to the racks that they are on. The candidate's
// workers are sorted by rack.
func (v *Victims) addToRacks(c candidate, cost float64) {
	for first := 0; first < len(c.freed); {
		rack, end := c.freed[first].Node.Rack, first
		for end < len(c.freed) && c.freed[end].Node.Rack == rack {
			end++
		}
		part := candidate{victim: c.victim, freed: c.freed[first:end]}
		if v.byRack[rack] == nil {
			v.byRack[rack] = &candidates{}
		}
		v.byRack[rack].list = append(v.byRack[rack].list, part.withCost(cost))
		first = end
	}
}

// smallestCores is added to freed cores, so that the costs of victims that free only memory can be
// compared.
const smallestCores = 0.001

func (c candidate) withCost(cost float64) candidate {
	cores := smallestCores
	for _, f := range c.freed {
		cores += f.Resources.Cores()
	}
	c.perCore = cost / cores
	return c
}

// Take removes the victims of a preemption. Later searches may use what they free and the request
// does not claim.
func (v *Victims) Take(p *Preemption) {
	for _, i := range p.indexes {
		v.taken[i] = true
		v.expect(v.list[i].Freed)
	}
}

// expect adds resources that are coming.
func (v *Victims) expect(coming []Freed) {
	for _, f := range coming {
		v.coming[f.Node] = v.coming[f.Node].Plus(f.Resources)
	}
}

// Preemption is a set of victims whose preemption makes room for a request.
type Preemption struct {
	Victims []Victim
	// Claims is the number of tasks of the request that each worker gets once the victims
	// have stopped and what is coming is free, by worker key.
	Claims  map[string]int
	Cost    float64 // the sum of the victims' costs
	indexes []int   // of the victims, in Victims.list
}

// Preempt returns a low-cost set of victims whose resources, together with those that are free or
// coming, make room for the request, or nil if there is none. The set is empty if what is coming
// suffices. It does not change the snapshot.
func (s *Snapshot) Preempt(req *Request, victims *Victims) *Preemption {
	if !req.Step.Gang || !req.Step.SameRack || req.AnyRack {
		return newVictimSearch(req, s.Nodes, victims, &victims.all).run()
	}
	var best *Preemption
	for _, rack := range s.racks() {
		preemption := newVictimSearch(req, rack, victims, victims.byRack[rack[0].Rack]).run()
		if preemption != nil && (best == nil || preemption.Cost < best.Cost) {
			best = preemption
		}
	}
	return best
}

// Claim takes the claimed resources from the workers, even where they are not free yet;
// the free resources of a worker can become negative.
func (s *Snapshot) Claim(req *Request, claims map[string]int) {
	if len(claims) == 0 {
		return
	}
	for _, n := range s.Nodes {
		if k := claims[n.Key]; k > 0 {
			n.Free = n.Free.Minus(req.Step.Demand.Times(k))
		}
	}
}

// ReleaseClaims frees the resources that Claim took.
func (s *Snapshot) ReleaseClaims(req *Request, claims map[string]int) {
	if len(claims) == 0 {
		return
	}
	for _, n := range s.Nodes {
		if k := claims[n.Key]; k > 0 {
			n.Free = n.Free.Plus(req.Step.Demand.Times(k))
		}
	}
}

// HasWorkers reports whether all claimed workers are in the snapshot.
func (s *Snapshot) HasWorkers(claims map[string]int) bool {
	found := 0
	for _, n := range s.Nodes {
		if claims[n.Key] > 0 {
			found++
		}
	}
	return found == len(claims)
}

// victimSearch looks for victims of a request on a set of workers. Its cost is linear in
// the number of workers and of runs on them.
type victimSearch struct {
	req        *Request
	nodes      []*Node
	victims    *Victims
	candidates *candidates
	// available holds what is free on each worker once the chosen victims have stopped.
	available map[*Node]work.Resources
	slots     int // slots for the request in available
	// shortfall is what victims of the request's owner must still free.
	shortfall work.Resources
	chosen    map[int]bool // indexes of chosen victims
}

func newVictimSearch(req *Request, nodes []*Node, victims *Victims, candidates *candidates) *victimSearch {
	return &victimSearch{
		req: req, nodes: nodes, victims: victims, candidates: candidates, shortfall: req.Shortfall, chosen: map[int]bool{},
	}
}

func (s *victimSearch) run() *Preemption {
	if totalSlots(s.req, s.nodes, func(n *Node) work.Resources { return n.Capacity }) < s.req.Tasks {
		return nil
	}
	s.available = make(map[*Node]work.Resources, len(s.nodes))
	for _, n := range s.nodes {
		s.available[n] = n.Free
		if !n.ProbeOnly {
			s.available[n] = n.Free.Plus(s.victims.coming[n])
		}
		s.slots += s.req.slots(n, s.available[n])
	}
	chosen := append(s.chooseOwn(), s.choose()...)
	if !s.fits() {
		return nil
	}
	chosen, cost := s.dropUnneeded(chosen)
	p := &Preemption{Claims: assignClaims(s.req, s.nodes, s.available), Cost: cost}
	for _, c := range chosen {
		p.Victims = append(p.Victims, s.victims.list[c.victim])
		p.indexes = append(p.indexes, c.victim)
	}
	return p
}

// fits reports whether the request fits once the chosen victims have stopped.
func (s *victimSearch) fits() bool {
	return s.slots >= s.req.Tasks && s.shortfall.Fits(work.Resources{})
}

// chooseOwn adds the cheapest victims of the request's owner until they free the shortfall. Those
// on the workers of the search go first as long as the request needs their room as well.
func (s *victimSearch) chooseOwn() (chosen []candidate) {
	if s.shortfall.Fits(work.Resources{}) {
		return nil
	}
	own := s.victims.byOwner[s.req.Owner].byCost()
	add := func(wanted func(candidate) bool) {
		for _, c := range own {
			if s.shortfall.Fits(work.Resources{}) {
				return
			}
			if !s.chosen[c.victim] && !s.victims.taken[c.victim] && s.refunds(c) && wanted(c) {
				s.add(c)
				chosen = append(chosen, c)
			}
		}
	}
	add(func(c candidate) bool { return s.slots < s.req.Tasks && s.isHere(c) })
	add(func(candidate) bool { return true })
	return chosen
}

// isHere reports whether a candidate frees resources of the workers of the search.
func (s *victimSearch) isHere(c candidate) bool {
	return slices.ContainsFunc(c.freed, func(f Freed) bool { _, ok := s.available[f.Node]; return ok })
}

// refunds reports whether a victim frees a resource of which the request's owner is short.
func (s *victimSearch) refunds(c candidate) bool {
	r := s.victims.list[c.victim].Refund
	short := func(refund, shortfall int) bool { return refund > 0 && shortfall > 0 }
	return short(r.CPU, s.shortfall.CPU) || short(r.MemoryMB, s.shortfall.MemoryMB) || short(r.Accelerators, s.shortfall.Accelerators)
}

// choose adds the cheapest candidates until there is room for the request.
func (s *victimSearch) choose() (chosen []candidate) {
	if !s.shortfall.Fits(work.Resources{}) {
		return nil // the owner must not use the room that others would give
	}
	for _, c := range s.candidates.byCost() {
		if s.slots >= s.req.Tasks {
			break
		}
		if s.victims.taken[c.victim] || s.chosen[c.victim] {
			continue
		}
		s.add(c)
		chosen = append(chosen, c)
	}
	return chosen
}

// add chooses a candidate.
func (s *victimSearch) add(c candidate) {
	s.chosen[c.victim] = true
	s.apply(c, work.Resources.Plus)
	if v := s.victims.list[c.victim]; v.Owner == s.req.Owner {
		s.shortfall = s.shortfall.Minus(v.Refund)
	}
}

// remove undoes add.
func (s *victimSearch) remove(c candidate) {
	delete(s.chosen, c.victim)
	s.apply(c, work.Resources.Minus)
	if v := s.victims.list[c.victim]; v.Owner == s.req.Owner {
		s.shortfall = s.shortfall.Plus(v.Refund)
	}
}

// apply changes the available resources by those of a candidate, and updates slots.
func (s *victimSearch) apply(c candidate, op func(available, freed work.Resources) work.Resources) {
	for _, f := range c.freed {
		current, ok := s.available[f.Node]
		if !ok {
			continue
		}
		changed := op(current, f.Resources)
		s.available[f.Node] = changed
		s.slots += s.req.slots(f.Node, changed) - s.req.slots(f.Node, current)
	}
}

// dropUnneeded removes victims that turn out not to be needed, costliest first. It
// returns the remaining victims and their total cost.
func (s *victimSearch) dropUnneeded(chosen []candidate) (needed []candidate, cost float64) {
	costOf := func(c candidate) float64 { return s.victims.list[c.victim].Cost }
	slices.SortStableFunc(chosen, func(x, y candidate) int { return cmp.Compare(costOf(y), costOf(x)) })
	for _, c := range chosen {
		s.remove(c)
		if s.fits() {
			continue
		}
		s.add(c)
		needed = append(needed, c)
		cost += costOf(c)
	}
	return needed, cost
}

// assignClaims distributes the tasks of the request over the nodes, those with the fewest
// available resources first.
func assignClaims(req *Request, nodes []*Node, available map[*Node]work.Resources) map[string]int {
	ordered := slices.Clone(nodes)
	slices.SortStableFunc(ordered, func(x, y *Node) int { return cmp.Compare(available[x].CPU, available[y].CPU) })
	out := map[string]int{}
	remaining := req.Tasks
	for _, n := range ordered {
		k := min(req.slots(n, available[n]), remaining)
		if k > 0 {
			out[n.Key] = k
			remaining -= k
		}
	}
	return out
}
