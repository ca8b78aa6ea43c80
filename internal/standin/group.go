package standin

import (
	"context"
	"sort"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// group is a consumer group: a set of members that share partitions.
type group struct {
	generation int64
	members    map[string]time.Time // expiry of each membership
	owners     [partitionCount]string
}

// removeExpired removes members whose membership has expired.
func (g *group) removeExpired(now time.Time) {
	for m, expiry := range g.members {
		if now.After(expiry) {
			g.remove(m)
		}
	}
}

func (g *group) remove(member string) {
	if _, known := g.members[member]; !known {
		return
	}
	delete(g.members, member)
	g.generation++
	for p := range g.owners {
		if g.owners[p] == member {
			g.owners[p] = ""
		}
	}
}

// preferredOwner returns the member that partition p is assigned to. The group must have
// a member.
func (g *group) preferredOwner(p int) string {
	var names []string
	for m := range g.members {
		names = append(names, m)
	}
	sort.Strings(names)
	return names[p%len(names)]
}

// Join implements store.Store.
func (c *storeClient) Join(ctx context.Context, r store.JoinRequest) (store.Membership, error) {
	if _, err := c.beginCall(ctx); err != nil {
		return store.Membership{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	g := c.groups[r.Group]
	if g == nil {
		g = &group{members: map[string]time.Time{}}
		c.groups[r.Group] = g
	}
	g.removeExpired(now)
	if _, known := g.members[r.Member]; !known {
		g.generation++
	}
	g.members[r.Member] = now.Add(r.TTL)
	m := store.Membership{Generation: g.generation}
	for p := range g.owners {
		preferred := g.preferredOwner(p)
		if g.owners[p] == r.Member && preferred != r.Member && r.Generation >= g.generation {
			g.owners[p] = ""
		}
		if g.owners[p] == "" && preferred == r.Member {
			g.owners[p] = r.Member
		}
		if g.owners[p] == r.Member && preferred == r.Member {
			m.Partitions = append(m.Partitions, p)
		}
	}
	return m, nil
}

// Owners implements store.Store.
func (c *storeClient) Owners(ctx context.Context, name string) (map[int]string, error) {
	if _, err := c.beginCall(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groups[name]
	if g == nil {
		return nil, nil
	}
	g.removeExpired(time.Now())
	owners := map[int]string{}
	for p, m := range g.owners {
		if m != "" {
			owners[p] = m
		}
	}
	return owners, nil
}

// Leave implements store.Store.
func (c *storeClient) Leave(ctx context.Context, r store.JoinRequest) error {
	if _, err := c.beginCall(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.groups[r.Group]; g != nil {
		g.remove(r.Member)
	}
	return nil
}

// Rebalance revokes all partitions of a group, so that its members get them again when
// they join the next time.
func (s *Store) Rebalance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.generation++
		g.owners = [partitionCount]string{}
	}
}
