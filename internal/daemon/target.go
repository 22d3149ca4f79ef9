package daemon

import (
	"context"
	"sync/atomic"

	"github.com/cassiaramp/cassiaramp/internal/coordination/order"
	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/engine"
	"github.com/cassiaramp/cassiaramp/internal/transport/platformclient"
)

// targetClients holds the clients with which a side process reaches its target.
type targetClients struct {
	runner *engine.Client              // runs attempts
	orders *platformclient.OrderClient // sends orders; nil for a plain service
}

func (p *process) newTargetClients() (*targetClients, error) {
	s := p.settings.Target
	plain := s.Kind == state.PlainService
	t := &targetClients{runner: engine.New(engine.Config{Address: s.Address.String(), PlainService: plain, Log: p.log.Named("engine")})}
	if plain {
		return t, nil
	}
	var err error
	t.orders, err = platformclient.NewOrderClient("http://" + s.Address.String())
	return t, err
}

// watchAndReconcile passes the target's reports to the service and sends the target
// the orders that make it match its placement in the bundle. It does nothing for a
// plain service.
func (t *targetClients) watchAndReconcile(p *process, service *side.Service) {
	if t.orders == nil {
		return
	}
	relay := &loadRelay{service: service}
	p.background(func(ctx context.Context) error {
		t.runner.Watch(ctx, relay)
		return nil
	})
	updates, cancel := p.bundles.Subscribe()
	reconciler := order.NewReconciler(order.Config{
		Target: p.settings.Target.ID, Instance: p.settings.Instance, Incarnation: p.incarnation,
		Log: p.logService, Sender: t.orders, Bundles: updates, Observed: relay.lastObservedState, Logger: p.log.Named("order"),
	})
	p.background(func(ctx context.Context) error {
		defer cancel()
		return reconciler.Run(ctx)
	})
}

// loadRelay passes the target's reports on to the service and keeps the models of the
// last load report for the reconciler.
type loadRelay struct {
	service *side.Service
	models  atomic.Pointer[[]state.ModelSpec] // nil before the first load report
}

func (r *loadRelay) LoadReported(l side.Load) {
	r.models.Store(&l.Models)
	r.service.LoadReported(l)
}

func (r *loadRelay) CacheChanged(stored, evicted []uint64) { r.service.CacheChanged(stored, evicted) }

// lastObservedState returns the models of the last load report. The result is false
// before the first one.
func (r *loadRelay) lastObservedState() (order.ObservedState, bool) {
	models := r.models.Load()
	if models == nil {
		return order.ObservedState{}, false
	}
	return order.ObservedState{Models: *models}, true
}
