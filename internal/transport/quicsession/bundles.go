package quicsession

import (
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Bundles holds the configuration bundle that this process has in effect and takes
// newer ones from its peers. Implementations are safe for concurrent use and do not
// block.
type Bundles interface {
	// Accepted returns the version of the bundle in effect, 0 for none.
	Accepted() uint64
	// Bundle returns the bundle in effect.
	Bundle() state.AcceptedBundle
	// Offer hands over a bundle that an authenticated peer has in effect.
	Offer(state.AcceptedBundle)
}

// handleBundleMessage answers a request for the bundle in effect, or offers a bundle
// received to b. It reports whether m was one of these two messages.
func handleBundleMessage(b Bundles, m protocol.Message, send func(protocol.Message) error) bool {
	switch m := m.(type) {
	case *protocol.FetchBundle:
		send(&protocol.BundleDocument{Bundle: b.Bundle()})
	case *protocol.BundleDocument:
		b.Offer(m.Bundle)
	default:
		return false
	}
	return true
}

// fetchRetryInterval is the time after which a bundle that has not arrived is requested
// again, possibly from another peer.
const fetchRetryInterval = time.Second

// bundleFetcher requests newer bundles from peers for a process whose own is outdated.
// Many peers announce the same version at once, so it is requested from one peer at a
// time.
type bundleFetcher struct {
	mu               sync.Mutex
	requestedVersion uint64    // version of the last request
	requestedAt      time.Time // time of the last request
}

// fetchIfNewer requests the peer's bundle when its version peerAccepted is newer than
// that of b, unless it was requested less than fetchRetryInterval ago.
func (f *bundleFetcher) fetchIfNewer(b Bundles, peerAccepted uint64, send func(protocol.Message) error) {
	if peerAccepted > b.Accepted() && f.shouldFetch(peerAccepted, time.Now()) {
		send(&protocol.FetchBundle{})
	}
}

// shouldFetch reports whether version is to be requested now, and records the request
// if so. A version is due when it is newer than the one requested last or when
// fetchRetryInterval has passed since that request.
func (f *bundleFetcher) shouldFetch(version uint64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.requestedVersion && now.Sub(f.requestedAt) < fetchRetryInterval {
		return false
	}
	f.requestedVersion, f.requestedAt = version, now
	return true
}
