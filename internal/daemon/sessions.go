package daemon

import (
	"context"
	"net"
	"net/netip"

	"github.com/cassiaramp/cassiaramp/internal/coordination/member"
	"github.com/cassiaramp/cassiaramp/internal/coordination/placement"
	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/quicsession"
)

// observer implements quicsession.Observer. It passes events of the sessions on to placement
// and to the tracker of members.
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

// maxConcurrentConnects bounds the number of sessions that are being opened at a time.
const maxConcurrentConnects = 8

// connector implements placement.Connector. It opens the sessions that placement asks
// for, in the background.
type connector struct {
	ctx    context.Context
	client *quicsession.Client
	slots  chan struct{} // holds one element for each session that is being opened
}

func newConnector(ctx context.Context) *connector {
	return &connector{ctx: ctx, slots: make(chan struct{}, maxConcurrentConnects)}
}

func (c *connector) SetAddress(m state.Member, keep bool) {
	c.client.SetAddress(m.Target, quicsession.Address{Instance: m.Instance, UDP: m.Address}, keep)
}

func (c *connector) Connect(target state.TargetID) {
	go func() {
		select {
		case c.slots <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		defer func() { <-c.slots }()
		// The observer tells placement of a failure.
		_ = c.client.Connect(c.ctx, target)
	}()
}

func (c *connector) Forget(target state.TargetID) { c.client.Forget(target) }

// localIP returns the IP address that sessions are opened from. This is the address on
// which callers are served, or nil if that is the unspecified address.
func localIP(address netip.Addr) net.IP {
	if address.IsUnspecified() {
		return nil
	}
	return address.AsSlice()
}
