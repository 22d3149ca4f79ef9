package peer

import (
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Bundles exchanges accepted bundles with peers. Implementations are safe for
// concurrent use and do not block.
type Bundles interface {
	// Accepted returns the version in effect, 0 for none.
	Accepted() uint64
	// Bundle returns the bundle in effect.
	Bundle() state.AcceptedBundle
	// Offer hands over a bundle that an authenticated peer has accepted.
	Offer(state.AcceptedBundle)
}

// exchangeBundle handles the messages by which a peer that is behind catches
// up. It reports whether m was one of them.
func exchangeBundle(b Bundles, m protocol.Message, send func(protocol.Message) error) bool {
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

// fetchRetry is the time after which a bundle that was asked for is asked for
// again, possibly from another peer.
const fetchRetry = time.Second

// catchUp fetches bundles for a process that is behind. Many peers tell of the
// same version at once, so that it is asked of one peer at a time.
type catchUp struct {
	mu      sync.Mutex
	version uint64 // last one asked for
	asked   time.Time
}

// fetch asks the peer for its bundle when it has a newer one.
func (c *catchUp) fetch(b Bundles, peerAccepted uint64, send func(protocol.Message) error) {
	if peerAccepted > b.Accepted() && c.due(peerAccepted, time.Now()) {
		send(&protocol.FetchBundle{})
	}
}

func (c *catchUp) due(version uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.version && now.Sub(c.asked) < fetchRetry {
		return false
	}
	c.version, c.asked = version, now
	return true
}
