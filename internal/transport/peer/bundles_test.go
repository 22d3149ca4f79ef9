package peer

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
)

// Guards against a process that asks each of its peers for the same bundle, and
// against one that asks once and never again.
func TestCatchUp(t *testing.T) {
	var c catchUp
	bundles := &fakeBundles{version: 3}
	fetch := func(version uint64) int {
		asked := 0
		c.fetch(bundles, version, func(protocol.Message) error { asked++; return nil })
		return asked
	}
	if fetch(3) != 0 {
		t.Error("asked for the version in effect")
	}
	if fetch(4) != 1 || fetch(4) != 0 || fetch(4) != 0 {
		t.Error("want version 4 asked for once")
	}
	if fetch(6) != 1 || fetch(5) != 0 {
		t.Error("want only the newest version asked for")
	}
	now := c.asked
	if c.due(6, now.Add(fetchRetry-time.Millisecond)) || !c.due(6, now.Add(fetchRetry)) {
		t.Errorf("want version 6 asked for again after %s", fetchRetry)
	}
}
