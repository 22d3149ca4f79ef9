package daemon

import (
	"context"
	"net"
	"net/netip"

	"github.com/cassiaramp/cassiaramp/internal/coordination/member"
	"github.com/cassiaramp/cassiaramp/internal/coordination/placement"
	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/peer"
)

// observer passes what sessions learn on to placement and membership.
type observer struct {
	placer  *placement.Placer
	members *member.Tracker
}

func (o *observer) SessionOpened(target state.TargetID, w *protocol.Welcome) {
	o.members.SessionOpened(target, w.Incarnation, w.Status.Leaving)
	o.placer.SessionOpened(target, w.Incarnation, &w.Status)
}

func (o *observer) StatusReceived(target state.TargetID, s *state.Status) {
	if s.Leaving {
		o.members.LeavingAnnounced(target)
	}
	o.placer.StatusReceived(target, s)
}

func (o *observer) TargetLeaving(target state.TargetID) {
	o.members.LeavingAnnounced(target)
	o.placer.TargetLeaving(target)
}

func (o *observer) SessionClosed(target state.TargetID) {
	o.members.SessionLost(target)
	o.placer.SessionClosed(target)
}

func (o *observer) SessionLost(target state.TargetID, err error) {
	o.members.SessionLost(target)
	o.placer.SessionLost(target, err)
}

// connectLimit bounds the sessions that are being opened in the background.
const connectLimit = 8

// connector opens the sessions that placement asks for.
type connector struct {
	ctx    context.Context
	client *peer.Client
	slots  chan struct{}
}

func newConnector(ctx context.Context) *connector {
	return &connector{ctx: ctx, slots: make(chan struct{}, connectLimit)}
}

func (c *connector) SetAddress(m state.Member, keep bool) {
	c.client.SetAddress(m.Target, peer.Address{Instance: m.Instance, UDP: m.Address}, keep)
}

func (c *connector) Connect(target state.TargetID) {
	go func() {
		select {
		case c.slots <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		defer func() { <-c.slots }()
		// A failure reaches placement through the observer.
		_ = c.client.Connect(c.ctx, target)
	}()
}

func (c *connector) Forget(target state.TargetID) { c.client.Forget(target) }

// localIP returns the IP address that sessions are opened from: that of the
// callers' address, unless it listens on all.
func localIP(address netip.Addr) net.IP {
	if address.IsUnspecified() {
		return nil
	}
	return address.AsSlice()
}
