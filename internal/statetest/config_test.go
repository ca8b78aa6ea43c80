package statetest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/journal"
)

// Guards I9: a version must be in force at all 8 hosts within 3 s and an older one
// must never come back.
func TestConfigInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, *seedFlag, 2)
		defer c.close()
		c.publishFirst()
		c.cutLog("brest")
		var worst time.Duration
		for i := range 20 {
			begin := time.Now()
			v, err := c.node(2+i%6).sync.Publish(context.Background(), fmt.Sprint(i), int64(1+i), textOf(fmt.Sprint(i)))
			if err != nil {
				t.Fatal(err)
			}
			for !c.everywhere(v) {
				time.Sleep(10 * time.Millisecond)
				if time.Since(begin) > 3*time.Second {
					t.Fatalf("version %d is not in force everywhere after 3 s", v)
				}
			}
			worst = max(worst, time.Since(begin))
		}
		t.Logf("20 versions, 2 of 8 hosts without log: in force everywhere within %v", worst)
	})
}

// appendEdit appends an edit as a host would that has not read the last records.
func (c *cluster) appendEdit(id string, base int64) {
	r, err := journal.NewRecord(journal.KindConfigEdit, "behind", fmt.Sprintf("behind/%s/%d", id, base), time.Now(),
		journal.ConfigEdit{ID: "text/" + id, BaseVersion: base, Text: textOf(id)})
	if err == nil {
		_, err = c.node(0).journal.Append(context.Background(), journal.StreamConfig, r)
	}
	if err != nil {
		c.t.Error(err)
	}
	time.Sleep(time.Second)
}

func (c *cluster) everywhere(version int64) bool {
	for _, p := range c.peers {
		if n := c.nodes[p.Host]; n != nil && n.sync.ConfigVersion() != version {
			return false
		}
	}
	return true
}

func codeOf(err error) apierror.Code {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// Guards D5 across retention: a host that starts empty after the first records are
// gone, and one that was cut off meanwhile, reach the same version, accept the same
// next edit and refuse the same repeated id.
func TestFreshHostAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		c.publishFirst()
		late := c.peers[7]
		c.cutLog(late.Zone)
		c.isolate(late.Zone)
		for i := range 5 {
			if _, err := c.node(1).sync.Publish(context.Background(), fmt.Sprint(i), int64(1+i), textOf(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * testRetention)
		c.kill(late.Host)
		c.kill(c.peers[2].Host)
		c.heal()
		c.start(late)
		c.start(c.peers[2])
		time.Sleep(4 * time.Second)
		if !c.everywhere(6) {
			t.Error("not every host reached version 6")
		}
		v, err := c.nodes[late.Host].sync.Publish(context.Background(), "4", 5, textOf("4"))
		if err != nil || v != 6 {
			t.Errorf("repeated id at a fresh host: version %d, %v; want 6", v, err)
		}
		c.appendEdit("4", 6)
		if !c.everywhere(6) {
			t.Error("a repeated id on a new base made a version")
		}
		if _, err := c.nodes[late.Host].sync.Publish(context.Background(), "next", 6, textOf("next")); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if !c.everywhere(7) {
			t.Error("not every host reached version 7")
		}
	})
}

// Guards a host without configuration against starting tasks or publishing blindly.
func TestNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		n := c.node(0)
		if n.board.Config.Get() != nil {
			t.Error("a configuration out of nothing")
		}
		if ok, why := n.checker.Check(n.Zone); ok || why != "no configuration" {
			t.Errorf("check = %t, %q", ok, why)
		}
		if _, _, err := n.sync.SetZone(context.Background(), "x", n.Zone, false); codeOf(err) != apierror.CodeNoConfiguration {
			t.Errorf("zone out without configuration: %v", err)
		}
		if _, err := n.sync.Publish(context.Background(), "x", 0, []byte("{")); codeOf(err) != apierror.CodeBadInput {
			t.Errorf("text that does not parse: %v", err)
		}
		if c.log.Len("config") != 0 {
			t.Error("a refused text reached the log")
		}
	})
}
