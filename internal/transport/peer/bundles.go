package peer

import (
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

// fetchWhenBehind asks the peer for its bundle when it has a newer one.
func fetchWhenBehind(b Bundles, peerAccepted uint64, send func(protocol.Message) error) {
	if peerAccepted > b.Accepted() {
		send(&protocol.FetchBundle{})
	}
}
