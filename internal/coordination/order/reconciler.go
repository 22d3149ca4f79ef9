package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// checkInterval is how often the target is compared with its placement.
	checkInterval = time.Second
	// settleTime is how long a target may take to report the effect of an order
	// before the order is repeated.
	settleTime = 30 * time.Second
	// Retries after an error back off exponentially with full jitter.
	retryBase = 500 * time.Millisecond
	retryMax  = 30 * time.Second
	// A superseded process stands by at least this long, so that two processes
	// beside one target do not register in turns.
	standbyBase = 30 * time.Second
	standbyMax  = 10 * time.Minute
)

// Config configures a Reconciler. All fields are required.
type Config struct {
	Target      state.TargetID
	Instance    state.InstanceID
	Incarnation state.Incarnation
	Log         logstream.Log
	Orders      Orders
	// Bundles carries the bundle in effect and each later one, for example from
	// bundle.Store.Subscribe.
	Bundles <-chan *state.Bundle
	// Holding returns what the target last reported to hold; false while that is
	// not known. Orders are given only when it is.
	Holding func() (Holding, bool)
	Logger  *zap.Logger
}

// Reconciler brings one target in line with its placement.
type Reconciler struct {
	cfg       Config
	registrar registrar

	previous, current *state.Bundle
	starts            map[state.ModelSpec]time.Time
	notBefore         time.Time // no order before this time
	failures          int
	superseded        int    // consecutive times
	highest           uint64 // fencing number used last
	ordered           Order  // the last order accepted
	sent              string // its content as text
	sentAt            time.Time
}

// NewReconciler returns a reconciler that has not registered.
func NewReconciler(cfg Config) *Reconciler {
	self := registration{Target: cfg.Target, Instance: cfg.Instance, Incarnation: cfg.Incarnation}
	return &Reconciler{cfg: cfg, registrar: registrar{log: cfg.Log, self: self}}
}

// Run compares and orders until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-r.cfg.Bundles:
			r.accept(b, time.Now())
		case <-ticker.C:
		}
		r.step(ctx, time.Now())
	}
}

func (r *Reconciler) accept(b *state.Bundle, now time.Time) {
	r.previous, r.current = r.current, b
	if old := r.previous; old != nil && old.Version+1 != b.Version {
		// The bundles in between are not known here, so neither is the list of
		// changes that other processes compute.
		r.previous = nil
	}
	r.starts = startTimes(r.previous, b, r.cfg.Target, now)
	r.sent = ""
}

// step gives at most one order.
func (r *Reconciler) step(ctx context.Context, now time.Time) {
	if r.current == nil || now.Before(r.notBefore) {
		return
	}
	want := placementOf(r.current, r.cfg.Target)
	has, known := r.cfg.Holding()
	if want == nil || !known {
		return
	}
	if has.Adapters == nil {
		has.Adapters = r.ordered.Adapters
	}
	if has.Role == "" {
		has.Role = r.ordered.Role
	}
	o, empty, settled := difference(want, has, r.starts, now)
	if settled {
		r.sent, r.failures, r.superseded = "", 0, 0
	}
	if empty {
		return
	}
	content := fmt.Sprint(o)
	if content == r.sent && now.Sub(r.sentAt) < settleTime {
		return
	}
	if err := r.give(ctx, o); err != nil {
		if ctx.Err() == nil {
			r.failed(err, time.Now())
		}
		return
	}
	r.failures, r.superseded = 0, 0
	r.sent, r.sentAt, r.ordered = content, time.Now(), o
}

// give sends o under a lease.
func (r *Reconciler) give(ctx context.Context, o Order) error {
	l, err := r.registrar.renew(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	if !l.valid(now) {
		// Paused or slow since the end was read: the place of the registration may
		// have changed.
		r.registrar.registered = false
		return errPaused
	}
	o.Fence = l.Fence
	state.Assert(r.registrar.registered && o.Fence >= r.highest && l.valid(now), state.FencedOrder,
		fmt.Sprintf("order for target %s under fencing number %d after %d", r.cfg.Target, o.Fence, r.highest))
	r.highest = o.Fence
	// The deadline counts from the read, so that an order delayed by a pause
	// after the check is not sent late.
	ctx, cancel := context.WithDeadline(ctx, l.expires())
	defer cancel()
	if err := r.cfg.Orders.SendOrder(ctx, o); err != nil {
		return fmt.Errorf("order to target %s: %w", r.cfg.Target, err)
	}
	r.cfg.Logger.Info("order accepted", zap.String("target", string(r.cfg.Target)), zap.Uint64("fence", o.Fence),
		zap.Any("load", o.Load), zap.Any("unload", o.Unload), zap.Strings("adapters", o.Adapters), zap.String("role", o.Role))
	return nil
}

// failed decides when to try again.
func (r *Reconciler) failed(err error, now time.Time) {
	var limited *RateLimitedError
	var wait time.Duration
	switch {
	case errors.As(err, &limited):
		// Jitter on top of the instructed wait spreads the targets out.
		wait = limited.After + rand.N(limited.After/2+retryBase)
	case errors.Is(err, errSuperseded), errors.Is(err, ErrOldFence):
		r.registrar.registered = false
		ceiling := min(standbyMax, standbyBase<<min(r.superseded, 8))
		wait = ceiling/2 + rand.N(ceiling/2)
		r.superseded++
	case errors.Is(err, errPaused), errors.Is(err, errLost):
		wait = 0 // register again with the next step
	default:
		wait = rand.N(min(retryMax, retryBase<<min(r.failures, 8))) + time.Millisecond
		r.failures++
	}
	r.notBefore = now.Add(wait)
	r.cfg.Logger.Warn("order not given", zap.String("target", string(r.cfg.Target)), zap.Duration("retry_after", wait), zap.Error(err))
}
