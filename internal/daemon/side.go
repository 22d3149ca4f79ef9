package daemon

import (
	"errors"
	"expvar"
	"fmt"
	"net"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/quicsession"
)

// runSide starts a side process. It returns when everything is started.
func (p *process) runSide() error {
	s := p.settings
	target, err := p.newTargetClients()
	if err != nil {
		return err
	}
	service := side.New(side.Config{
		Instance: s.Instance, Incarnation: p.incarnation,
		Target: s.Target.ID, Service: s.Target.Service, Log: p.log.Named("side"),
	}, target.runner)
	expvar.Publish("figures", expvar.Func(func() any { return service.Figures() }))
	p.background(service.Run)
	p.followBundles(service.SetBundle)
	target.watchAndReconcile(p, service)

	socket, err := net.ListenPacket("udp", s.Listen.Sessions.String())
	if err != nil {
		return fmt.Errorf("listen for sessions: %w", err)
	}
	server := &quicsession.Server{Credentials: p.credentials, Handler: sideHandler{service}, Bundles: p.bundles, Log: p.log.Named("peer")}
	p.group.Go(func() error {
		defer socket.Close()
		return server.Serve(p.running, socket)
	})
	if err := p.serveAdmin(func() error { return p.checkSideReady() }); err != nil {
		return err
	}
	p.group.Go(func() error {
		select {
		case <-p.stopping.Done():
		case <-p.running.Done():
			return nil
		}
		service.Leave()
		return p.finishWhenDrained(service.Drained(), stopTimeout)
	})
	return nil
}

var (
	errNoBundle = errors.New("no bundle in effect")
	errLeaving  = errors.New("leaving")
)

// checkSideReady returns nil if the side process can serve entries, and otherwise why
// not.
func (p *process) checkSideReady() error {
	if p.stopping.Err() != nil {
		return errLeaving
	}
	if p.bundles.Accepted() == 0 {
		return errNoBundle
	}
	return nil
}

// sideHandler adapts a side.Service to quicsession.Handler.
type sideHandler struct{ service *side.Service }

func (h sideHandler) OpenSession(entry state.InstanceID, incarnation state.Incarnation, number uint64) (quicsession.Session, error) {
	s, err := h.service.OpenSession(entry, incarnation, number)
	if err != nil {
		return nil, err
	}
	return sideSession{s}, nil
}

func (h sideHandler) Identity() (state.InstanceID, state.Incarnation, state.TargetID, state.Service) {
	return h.service.Identity()
}

// sideSession adapts a side.Session to quicsession.Session.
type sideSession struct{ *side.Session }

func (s sideSession) Dispatch(d *state.Dispatch) quicsession.Attempt { return s.Session.Dispatch(d) }
func (s sideSession) Attach(a *state.Attach) quicsession.Attempt     { return s.Session.Attach(a) }
