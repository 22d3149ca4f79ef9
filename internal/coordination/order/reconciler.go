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
	// checkInterval is how often the target's state is compared with its placement.
	checkInterval = time.Second
	// settleTime is how long a target may take to report the effect of an order
	// before the order is sent again.
	settleTime = 30 * time.Second
	// retryBase and retryMax bound the exponential backoff with full jitter after an
	// error.
	retryBase = 500 * time.Millisecond
	retryMax  = 30 * time.Second
	// standbyBase and standbyMax bound the exponential backoff of a superseded
	// process, which registers again after half to all of it. It is long, so that
	// two processes beside one target do not keep superseding each other.
	standbyBase = 30 * time.Second
	standbyMax  = 10 * time.Minute
)

// Config configures a Reconciler. All fields are required.
type Config struct {
	Target      state.TargetID
	Instance    state.InstanceID
	Incarnation state.Incarnation
	Log         logstream.Log
	Sender      Sender
	// Bundles delivers the bundle in effect and each later one, for example from
	// bundle.Store.Subscribe.
	Bundles <-chan *state.Bundle
	// Observed returns the state that the target last reported, or false when it is
	// not known. No orders are sent then.
	Observed func() (ObservedState, bool)
	Logger   *zap.Logger
}

// Reconciler compares the state of one target with its placement in the bundle and
// sends orders until they agree.
type Reconciler struct {
	cfg       Config
	registrar registrar

	previous, current *state.Bundle // previous is nil unless its version is just below current
	loadStarts        map[state.ModelSpec]time.Time
	notBefore         time.Time // no order is sent before this time
	failures          int       // errors that count for the backoff of retryBase
	supersededCount   int       // consecutive times that another process had registered
	highestToken      uint64    // fencing token of the latest order
	lastAccepted      Order     // the last order that the target accepted
	pendingContent    string    // lastAccepted as text while its effect is awaited, otherwise empty
	pendingSince      time.Time
}

// NewReconciler returns a reconciler that has not registered for the target yet.
func NewReconciler(cfg Config) *Reconciler {
	self := registration{Target: cfg.Target, Instance: cfg.Instance, Incarnation: cfg.Incarnation}
	return &Reconciler{cfg: cfg, registrar: registrar{log: cfg.Log, own: self}}
}

// Run compares the target with its placement and sends orders until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-r.cfg.Bundles:
			r.acceptBundle(b, time.Now())
		case <-ticker.C:
		}
		r.reconcile(ctx, time.Now())
	}
}

// acceptBundle makes b the bundle that the target is compared with and computes when
// its loads may start.
func (r *Reconciler) acceptBundle(b *state.Bundle, now time.Time) {
	r.previous, r.current = r.current, b
	if old := r.previous; old != nil && old.Version+1 != b.Version {
		// This process has missed bundles in between, so it cannot compute the
		// same list of loads as the other processes.
		r.previous = nil
	}
	r.loadStarts = loadStartTimes(r.previous, b, r.cfg.Target, now)
	r.pendingContent = ""
}

// reconcile compares the observed state with the placement and sends at most one
// order.
func (r *Reconciler) reconcile(ctx context.Context, now time.Time) {
	if r.current == nil || now.Before(r.notBefore) {
		return
	}
	desired := placementFor(r.current, r.cfg.Target)
	observed, known := r.cfg.Observed()
	if desired == nil || !known {
		return
	}
	if observed.Adapters == nil {
		observed.Adapters = r.lastAccepted.Adapters
	}
	if observed.Role == "" {
		observed.Role = r.lastAccepted.Role
	}
	o, empty, converged := nextOrder(desired, observed, r.loadStarts, now)
	if converged {
		r.pendingContent, r.failures, r.supersededCount = "", 0, 0
	}
	if empty {
		return
	}
	content := fmt.Sprint(o)
	if content == r.pendingContent && now.Sub(r.pendingSince) < settleTime {
		return
	}
	if err := r.sendUnderLease(ctx, o); err != nil {
		if ctx.Err() == nil {
			r.scheduleRetry(err, time.Now())
		}
		return
	}
	r.failures, r.supersededCount = 0, 0
	r.pendingContent, r.pendingSince, r.lastAccepted = content, time.Now(), o
}

// sendUnderLease renews the lease and sends o with its fencing token.
func (r *Reconciler) sendUnderLease(ctx context.Context, o Order) error {
	l, err := r.registrar.renew(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	if !l.valid(now) {
		// The process was paused or slow since it read the stream's end, and
		// another process may have registered in the meantime.
		r.registrar.registered = false
		return errLeaseExpired
	}
	o.FencingToken = l.fencingToken
	state.Assert(r.registrar.registered && o.FencingToken >= r.highestToken && l.valid(now), state.FencedOrder,
		fmt.Sprintf("order for target %s under fencing token %d after token %d", r.cfg.Target, o.FencingToken, r.highestToken))
	r.highestToken = o.FencingToken
	// The deadline counts from the read of the stream, so that an order is not sent
	// late when the process is paused after the check above.
	ctx, cancel := context.WithDeadline(ctx, l.orderDeadline())
	defer cancel()
	if err := r.cfg.Sender.SendOrder(ctx, o); err != nil {
		return fmt.Errorf("send order to target %s: %w", r.cfg.Target, err)
	}
	r.cfg.Logger.Info("order accepted", zap.String("target", string(r.cfg.Target)), zap.Uint64("fence", o.FencingToken),
		zap.Any("load", o.Load), zap.Any("unload", o.Unload), zap.Strings("adapters", o.Adapters), zap.String("role", o.Role))
	return nil
}

// scheduleRetry sets the time before which no order is sent after err.
func (r *Reconciler) scheduleRetry(err error, now time.Time) {
	var limited *RateLimitedError
	var wait time.Duration
	switch {
	case errors.As(err, &limited):
		// The weight store asked for this wait. Jitter of up to half of it spreads
		// the targets' retries.
		wait = limited.After + rand.N(limited.After/2+retryBase)
	case errors.Is(err, errSuperseded), errors.Is(err, ErrStaleFencingToken):
		r.registrar.registered = false
		ceiling := min(standbyMax, standbyBase<<min(r.supersededCount, 8))
		wait = ceiling/2 + rand.N(ceiling/2)
		r.supersededCount++
	case errors.Is(err, errLeaseExpired), errors.Is(err, errRegistrationsExpired):
		wait = 0 // the next call of reconcile registers again
	default:
		wait = rand.N(min(retryMax, retryBase<<min(r.failures, 8))) + time.Millisecond
		r.failures++
	}
	r.notBefore = now.Add(wait)
	r.cfg.Logger.Warn("order not given", zap.String("target", string(r.cfg.Target)), zap.Duration("retry_after", wait), zap.Error(err))
}
