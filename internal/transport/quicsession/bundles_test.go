package quicsession

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
)

// Guards against requesting the same bundle from every peer, and against never
// requesting it again when it did not arrive.
func TestBundleFetcher(t *testing.T) {
	var fetcher bundleFetcher
	bundles := &fakeBundles{version: 3}
	fetch := func(version uint64) int {
		requests := 0
		fetcher.fetchIfNewer(bundles, version, func(protocol.Message) error { requests++; return nil })
		return requests
	}
	if fetch(3) != 0 {
		t.Error("requested the version that is already in effect")
	}
	if fetch(4) != 1 || fetch(4) != 0 || fetch(4) != 0 {
		t.Error("want version 4 requested exactly once")
	}
	if fetch(6) != 1 || fetch(5) != 0 {
		t.Error("want version 6 requested and the older version 5 not requested")
	}
	now := fetcher.requestedAt
	if fetcher.shouldFetch(6, now.Add(fetchRetryInterval-time.Millisecond)) || !fetcher.shouldFetch(6, now.Add(fetchRetryInterval)) {
		t.Errorf("want version 6 requested again after %s and not before", fetchRetryInterval)
	}
}
