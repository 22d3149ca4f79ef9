package daemon

import (
	"context"
	"sync/atomic"

	"github.com/cassiaramp/cassiaramp/internal/coordination/order"
	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/engine"
	"github.com/cassiaramp/cassiaramp/internal/transport/platform"
)

// target is what a side process needs to reach the target beside it.
type target struct {
	runner *engine.Client
	orders *platform.OrderClient // nil for a plain service
}

func (p *process) newTarget() (*target, error) {
	s := p.settings.Target
	plain := s.Kind == state.PlainService
	t := &target{runner: engine.New(engine.Config{Address: s.Address.String(), PlainService: plain, Log: p.log.Named("engine")})}
	if plain {
		return t, nil
	}
	var err error
	t.orders, err = platform.NewOrderClient("http://" + s.Address.String())
	return t, err
}

// follow passes what the target reports to the service and brings the target in
// line with the bundle.
func (t *target) follow(p *process, service *side.Service) {
	if t.orders == nil {
		return
	}
	held := &holding{service: service}
	p.background(func(ctx context.Context) error {
		t.runner.Watch(ctx, held)
		return nil
	})
	updates, cancel := p.bundles.Subscribe()
	reconciler := order.NewReconciler(order.Config{
		Target: p.settings.Target.ID, Instance: p.settings.Instance, Incarnation: p.incarnation,
		Log: p.logService, Sender: t.orders, Bundles: updates, Observed: held.last, Logger: p.log.Named("order"),
	})
	p.background(func(ctx context.Context) error {
		defer cancel()
		return reconciler.Run(ctx)
	})
}

// holding keeps the last load report for the reconciler and passes reports on.
type holding struct {
	service *side.Service
	models  atomic.Pointer[[]state.ModelSpec]
}

func (h *holding) LoadReported(l side.Load) {
	h.models.Store(&l.Models)
	h.service.LoadReported(l)
}

func (h *holding) CacheChanged(stored, evicted []uint64) { h.service.CacheChanged(stored, evicted) }

func (h *holding) last() (order.ObservedState, bool) {
	models := h.models.Load()
	if models == nil {
		return order.ObservedState{}, false
	}
	return order.ObservedState{Models: *models}, true
}
