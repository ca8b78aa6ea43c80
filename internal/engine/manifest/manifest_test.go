package manifest

import "testing"

// TestRouteLongestPrefix guards against a call that is routed to the queue of a shorter
// prefix or of another host.
func TestRouteLongestPrefix(t *testing.T) {
	m := &Manifest{Queues: []Queue{
		{Name: "short", Host: "a", PathPrefix: "/x/"},
		{Name: "long", Host: "a", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b", PathPrefix: "/x/y/"},
	}}
	m.Index()
	cases := []struct{ host, path, want string }{
		{"a", "/x/1", "short"}, {"a", "/x/y/1", "long"}, {"b", "/x/y/", "other"},
		{"b", "/x/1", ""}, {"c", "/x/1", ""},
	}
	for _, c := range cases {
		got := ""
		if q := m.Route(c.host, c.path); q != nil {
			got = q.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestOrganisationByKey guards against a key that is assigned to the wrong organisation,
// and against an unknown key that is accepted.
func TestOrganisationByKey(t *testing.T) {
	m := &Manifest{Organisations: []Organisation{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}}}
	m.Index()
	if o := m.OrganisationByKey("k2"); o == nil || o.Name != "one" {
		t.Errorf("k2 belongs to %v", o)
	}
	if o := m.OrganisationByKey("k4"); o != nil {
		t.Errorf("an unknown key belongs to %s", o.Name)
	}
}
