package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// rolloutInterval is the time between checks whether plans or states are to be read or
	// written. It is a small part of the shortest time that matters, the one for a rollback.
	rolloutInterval = 100 * time.Millisecond
	// rolloutRetryInterval is the time after which a failed read or write is tried again.
	rolloutRetryInterval = 400 * time.Millisecond
)

// newRollouts returns the ledger of roll-outs, or nil if the platform does not ask for them.
func (p *gatewayProcess) newRollouts() *rollout.Ledger {
	if !p.settings.HasContract(platform.ContractRollout) {
		return nil
	}
	return rollout.New(rollout.Config{
		Self: p.settings.Instance, Incarnation: p.incarnation,
		ExposureShare: p.settings.Bounds.ExposureShare, ExposureSlack: p.exposureSlack, RollbackTime: p.settings.Bounds.Rollback,
		Entries: func(now time.Time) []state.InstanceID { return p.mesh.Heard(now) }, MaxRouteTimeout: p.maxRouteTimeout, Log: p.logRollout,
	})
}

// versionJudge returns the ledger for the gateway, or nil.
func (p *gatewayProcess) versionJudge() gateway.VersionJudge {
	if p.rollouts == nil {
		return nil // not an interface that holds a nil pointer
	}
	return p.rollouts
}

// inRollout reports whether the software versions of a service are being compared, so that one of
// them may be why its targets are slow.
func (p *gatewayProcess) inRollout(service state.Service, _ state.SoftwareVersion) bool {
	return p.rollouts != nil && slices.ContainsFunc(p.rollouts.Plans(time.Now()), func(plan rollout.Plan) bool {
		return plan.Order.Service == service && !plan.Phase.Terminal()
	})
}

// exposureSlack returns this entry's part of the requests that a bad version may get beyond
// its share. An entry that starts while an order is open gets none: the process before it may
// have used its part.
func (p *gatewayProcess) exposureSlack() float64 {
	if !p.hasExposureSlack.Load() {
		return 0
	}
	sharers := max(minSharers, 1+p.mesh.ExpectedPeerCount(time.Now()))
	return slackFraction * p.settings.Bounds.ExposureSlack / float64(sharers)
}

// maxRouteTimeout returns the longest time limit of a route, or 0 without a configuration.
func (p *gatewayProcess) maxRouteTimeout() (longest time.Duration) {
	if c := p.gateway.Configuration(); c != nil {
		for i := range c.Routes {
			longest = max(longest, c.Routes[i].Timeout)
		}
	}
	return longest
}

func (p *gatewayProcess) logRollout(e rollout.Event) {
	p.log.Info("rollout", zap.String("event", e.Message), zap.String("service", string(e.Service)), zap.Uint64("order", e.Number),
		zap.String("phase", e.Phase.String()), zap.String("reason", e.Reason), zap.String("from", string(e.From)))
}

// rolloutReport returns what a report to other entries says of roll-outs, or nil.
func (p *gatewayProcess) rolloutReport(now time.Time) *rollout.Report {
	if p.rollouts == nil {
		return nil
	}
	if r := p.rollouts.Report(now); !r.Empty() {
		return &r
	}
	return nil
}

// applyOrders passes the operator's orders among the records of the topic to the ledger.
func (c *control) applyOrders(now time.Time, listed bool, records []keyedtopic.Record, next keyedtopic.Position) {
	if c.p.rollouts == nil {
		return
	}
	for _, r := range records {
		if !platform.IsRolloutOrder(r.Key) || len(r.Value) == 0 {
			continue
		}
		order, err := platform.DecodeRolloutOrder(r, keyedtopic.Position{Era: next.Era, Offset: r.Offset})
		if err != nil {
			c.p.counters.Add("rollout_order_ignored")
			c.p.log.Warn("rollout order ignored", zap.Uint64("offset", r.Offset), zap.Error(err))
			continue
		}
		c.p.rollouts.SetOrder(now, order)
	}
	if listed {
		c.ordersListed.Store(true)
	}
}

// adoptPlans passes the plans that another entry knows to the ledger. complete says that the
// other entry knows of all orders.
func (c *control) adoptPlans(now time.Time, plans []rollout.Plan, complete bool) {
	if c.p.rollouts == nil {
		return
	}
	for _, plan := range plans {
		c.p.rollouts.LearnPlan(now, plan)
	}
	if complete {
		c.rolloutsLoaded(now, "entry")
	}
}

// rolloutsLoaded records that all orders and plans are known here.
func (c *control) rolloutsLoaded(now time.Time, source string) {
	if c.plansLoaded.Load() {
		return
	}
	open := len(c.p.rollouts.Services())
	for _, plan := range c.p.rollouts.Plans(now) {
		if plan.Phase.Terminal() {
			open--
		}
	}
	c.p.hasExposureSlack.Store(open == 0) // before the orders that were read take effect
	c.p.rollouts.Loaded(now)
	c.plansLoaded.Store(true)
	c.p.log.Info("rollouts known", zap.String("source", source), zap.Int("open", open), zap.Int("plans", len(c.p.rollouts.Plans(now))))
}

// shareRollouts keeps the plans and the states of roll-outs in the store. One entry writes
// them; an entry that starts while there are orders reads the plans once.
func (c *control) shareRollouts(ctx context.Context) error {
	tick := time.NewTicker(rolloutInterval)
	defer tick.Stop()
	w := rolloutWriter{control: c, waiting: make(map[state.Service][]state.InstanceID)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		w.step(ctx, time.Now())
	}
}

// rolloutWriter reads and writes the plans and the states of roll-outs. What it knows of the
// store is dropped whenever a write fails or another entry may have written, and is read again
// before the next write.
type rolloutWriter struct {
	control *control
	era     uint64    // of the store
	retryAt time.Time // no call before, after one has failed

	known              bool // the fields below are what the store holds
	plans              map[state.Service]rollout.Plan
	statuses           map[state.Service]platform.RolloutStatus
	plansEnd, statusAt uint64 // offsets for the next appends

	waiting map[state.Service][]state.InstanceID // logged last, see logWaiting
}

// step makes the calls to the store that are due.
func (w *rolloutWriter) step(ctx context.Context, now time.Time) {
	c := w.control
	if era := c.era(); era != w.era {
		w.known, w.era = false, era // what was written may be gone
	}
	if !c.plansLoaded.Load() {
		w.load(ctx, now)
		return
	}
	if !c.readsListFirst(now) {
		w.known = false // another entry may write
		return
	}
	services := c.p.rollouts.Services()
	if len(services) == 0 || now.Before(w.retryAt) || !w.known && !w.read(ctx, now) {
		return
	}
	for _, service := range services {
		if err := w.update(ctx, service); err != nil {
			w.failed(now, service, err)
			return
		}
	}
	w.logWaiting(now)
}

// logWaiting logs for which entries the completion of a roll-out waits after its limit, once
// for each set of them.
func (w *rolloutWriter) logWaiting(now time.Time) {
	p := w.control.p
	for _, plan := range p.rollouts.Plans(now) {
		if plan.Phase != rollout.Handover || plan.TimeLeft > 0 {
			continue
		}
		service := plan.Order.Service
		waiting := w.control.undrained(now, service, plan.Number)
		if slices.Equal(waiting, w.waiting[service]) {
			continue
		}
		w.waiting[service] = waiting
		p.log.Info("rollout completion waits", zap.String("service", string(service)), zap.Uint64("order", plan.Number), zap.Any("entries", waiting),
			zap.Any("open", p.scheduler.OpenByVersion()[service]), zap.Duration("after_limit", -plan.TimeLeft))
	}
}

// noteDrained remembers of which orders another entry has reported that it has nothing in
// progress at the old targets.
func (c *control) noteDrained(from state.InstanceID, r *rollout.Report) {
	drained := make(map[state.Service]uint64)
	for i := range r.Services {
		if n := &r.Services[i]; n.Drained {
			drained[n.Plan.Service] = n.Plan.Number
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained[from] = drained
}

// undrained returns the other entries heard lately that have not reported, of an order, that
// they have nothing in progress at the old targets.
func (c *control) undrained(now time.Time, service state.Service, order uint64) []state.InstanceID {
	heard := c.p.mesh.Heard(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	heard = slices.DeleteFunc(heard, func(id state.InstanceID) bool { return c.drained[id][service] == order })
	slices.Sort(heard)
	return heard
}

// load reads the plans at the start if there are orders. Without orders there is nothing to
// read.
func (w *rolloutWriter) load(ctx context.Context, now time.Time) {
	c := w.control
	if !c.ordersListed.Load() {
		return
	}
	if len(c.p.rollouts.Services()) == 0 {
		c.rolloutsLoaded(now, "no orders")
		return
	}
	if now.Before(w.retryAt) {
		return
	}
	plans, _, err := c.p.store.RolloutPlans(ctx)
	w.logRead(err)
	if plans == nil {
		w.retryAt = now.Add(rolloutRetryInterval)
		return
	}
	w.tellStored(plans)
	c.rolloutsLoaded(time.Now(), "store")
}

// read reads the plans and the states. It reports whether that succeeded.
func (w *rolloutWriter) read(ctx context.Context, now time.Time) bool {
	s := w.control.p.store
	plans, plansEnd, err := s.RolloutPlans(ctx)
	w.logRead(err)
	if plans == nil {
		w.retryAt = now.Add(rolloutRetryInterval)
		return false
	}
	statuses, statusEnd, err := s.RolloutStatuses(ctx)
	w.logRead(err)
	if statuses == nil || statusEnd.Era != plansEnd.Era {
		w.retryAt = now.Add(rolloutRetryInterval)
		return false
	}
	w.tellStored(plans)
	w.plans, w.statuses, w.plansEnd, w.statusAt, w.known = plans, statuses, plansEnd.Offset, statusEnd.Offset, true
	return true
}

// tellStored tells the ledger which plans the store holds, and of which services it has none.
func (w *rolloutWriter) tellStored(plans map[state.Service]rollout.Plan) {
	now, ledger := time.Now(), w.control.p.rollouts
	for _, service := range ledger.Services() {
		if _, ok := plans[service]; !ok {
			ledger.StoredPlan(now, rollout.Plan{Order: rollout.Order{Service: service}})
		}
	}
	for _, plan := range plans {
		ledger.StoredPlan(now, plan)
	}
}

// update writes the plan of a service if it is to change, and then the status if it is behind
// the plan.
func (w *rolloutWriter) update(ctx context.Context, service state.Service) error {
	p := w.control.p
	if plan, ok := p.rollouts.Decide(time.Now(), service); ok {
		if err := p.store.PutRolloutPlan(ctx, w.plansEnd, plan); err != nil {
			return err
		}
		w.plansEnd++
		w.plans[service] = plan
		p.rollouts.StoredPlan(time.Now(), plan)
		p.log.Info("rollout plan written", zap.String("service", string(service)), zap.Uint64("order", plan.Number), zap.String("to", string(plan.Order.To)),
			zap.String("phase", plan.Phase.String()), zap.String("reason", plan.Reason), zap.Duration("left", plan.TimeLeft))
	}
	plan, ok := w.plans[service]
	if !ok {
		return nil
	}
	want, have := platform.RolloutStatusOf(plan), w.statuses[service]
	if have == want {
		return nil
	}
	if active := (platform.RolloutStatus{State: platform.RolloutActive, To: want.To}); want != active && have != active {
		// The operator is told of each order first that it is active.
		if err := w.putStatus(ctx, service, plan, active); err != nil {
			return err
		}
	}
	return w.putStatus(ctx, service, plan, want)
}

func (w *rolloutWriter) putStatus(ctx context.Context, service state.Service, plan rollout.Plan, status platform.RolloutStatus) error {
	p := w.control.p
	if err := p.store.PutRolloutStatus(ctx, w.statusAt, service, status); err != nil {
		return err
	}
	w.statusAt++
	w.statuses[service] = status
	p.counters.Add("rollout_status." + status.State)
	p.log.Info("rollout status written", zap.String("service", string(service)), zap.Uint64("order", plan.Number),
		zap.String("to", string(status.To)), zap.String("state", status.State))
	return nil
}

// failed drops what is known of the store after an append that failed: it may have been done,
// or be done later if its condition still holds.
func (w *rolloutWriter) failed(now time.Time, service state.Service, err error) {
	p := w.control.p
	w.known = false
	if errors.Is(err, keyedtopic.ErrConflict) {
		p.counters.Add("rollout_conflict")
		p.log.Info("rollout conflict", zap.String("service", string(service)), zap.Error(err))
		return
	}
	w.retryAt = now.Add(rolloutRetryInterval)
	p.log.Warn("rollout not written", zap.String("service", string(service)), zap.Error(err))
}

func (w *rolloutWriter) logRead(err error) {
	if err != nil {
		w.control.p.log.Warn("rollouts not read", zap.Error(err))
	}
}

// rolloutVar is the state of a roll-out in the metrics.
type rolloutVar struct {
	Order      uint64 `json:"order"`
	To         string `json:"to"`
	Phase      string `json:"phase"`
	Reason     string `json:"reason,omitempty"`
	LeftMillis int64  `json:"left_ms"`
	// Open is the number of requests of this entry in progress, by version. The counters
	// "gateway.version" have the requests sent and how they ended.
	Open map[state.SoftwareVersion]int `json:"open"`
	// ExposureShare is the bound of all entries, and ExposureSlack this entry's part of the
	// slack.
	ExposureShare float64 `json:"exposure_share"`
	ExposureSlack float64 `json:"exposure_slack_part"`
}

// rolloutVars returns the state of all roll-outs by service, for the metrics.
func (p *gatewayProcess) rolloutVars() map[state.Service]rolloutVar {
	vars := make(map[state.Service]rolloutVar)
	if p.rollouts == nil {
		return vars
	}
	open := p.scheduler.OpenByVersion()
	for _, plan := range p.rollouts.Plans(time.Now()) {
		vars[plan.Order.Service] = rolloutVar{
			Order: plan.Number, To: string(plan.Order.To), Phase: plan.Phase.String(), Reason: plan.Reason, LeftMillis: plan.TimeLeft.Milliseconds(),
			Open: open[plan.Order.Service], ExposureShare: p.settings.Bounds.ExposureShare, ExposureSlack: p.exposureSlack(),
		}
	}
	return vars
}
