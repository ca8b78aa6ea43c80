package blackboard

import "testing"

// TestConfigNeverReverts guards against an older version, or another configuration with
// the same version, that replaces the configuration in force.
func TestConfigNeverReverts(t *testing.T) {
	var table ConfigTable
	first, second := &Configuration{Version: 1}, &Configuration{Version: 2}
	if !table.Put(first) || !table.Put(second) {
		t.Fatal("a newer version was not stored")
	}
	if table.Put(first) || table.Put(&Configuration{Version: 2}) || table.Get() != second {
		t.Errorf("version 2 was replaced by %+v", table.Get())
	}
}
