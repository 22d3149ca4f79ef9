package placement

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// reconnectInterval is how often the owner looks for targets of the subset
	// without a session.
	reconnectInterval = 500 * time.Millisecond
	// settleMargin is the age that an attempt must have when figures arrive to be
	// taken as included in them. It covers the delay of the dispatch; attempts
	// that are younger are counted twice until the next figures.
	settleMargin = 50 * time.Millisecond
	// figuresLifetime is the age up to which figures prove anything about a
	// target (guarantee P4). Figures older than the ones held are ignored for as
	// long.
	figuresLifetime = 2 * time.Second
	// maxOpenAttempts bounds the attempts tracked.
	maxOpenAttempts = 1 << 16
	// shareGain and trustGain are the weights of a new observation.
	shareGain = 0.02
	trustGain = 0.2
	// leastTrust keeps predictions in use, so that a cache that works again is
	// noticed.
	leastTrust = 0.1
)

// openAttempt is an attempt that was sent and has not ended.
type openAttempt struct {
	target  state.TargetID
	live    *live
	work    work
	sent    time.Time
	settled bool // no longer counted in live
	probe   bool
	cached  int // leading blocks that the prefix index predicted
	blocks  []uint64
}

// tracked is the owner's record of one target.
type tracked struct {
	view        target
	member      state.Member
	incarnation state.Incarnation
	health      health
	unsettled   []*openAttempt
	// fastest is the smallest difference seen between arrival and Taken: the
	// clock difference plus the shortest delay of a report.
	fastest time.Duration
	asked   time.Time // last call of Connector.Connect
	// published is the view in the latest snapshot.
	published *target
	// lapsed is set when the target left while it was in the subset. The owner
	// goes on asking for a session, because a process that was restarted in place
	// is noticed only by its new incarnation.
	lapsed bool
}

// owner holds the tracked state. All methods run on one goroutine.
type owner struct {
	placer   *Placer
	targets  map[state.TargetID]*tracked
	open     map[state.AttemptID]*openAttempt
	entries  int // live entries in the instance list
	share    map[state.Service]float64
	settling []*openAttempt // to be subtracted once their figures are published
	changed  bool
	ordered  []*tracked // targets by name
	reorder  bool       // targets came or went since ordered was set
}

func newOwner(p *Placer) *owner {
	return &owner{
		placer:  p,
		targets: make(map[state.TargetID]*tracked),
		open:    make(map[state.AttemptID]*openAttempt),
		share:   make(map[state.Service]float64),
	}
}

func (o *owner) run(ctx context.Context) error {
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.placer.mailbox.wake:
			o.apply(o.placer.mailbox.take()...)
		case now := <-ticker.C:
			o.reconnect(now)
		}
	}
}

// apply applies events and publishes what has changed.
func (o *owner) apply(events ...event) {
	for _, e := range events {
		e.apply(o)
	}
	if o.changed {
		o.publish()
	}
	o.settle()
}

// settle subtracts the attempts that the published figures include. It runs
// after publish: the reverse order would hide their work for a moment.
func (o *owner) settle() {
	for _, a := range o.settling {
		a.settle()
	}
	o.settling = o.settling[:0]
}

func (a *openAttempt) settle() {
	if !a.settled {
		a.settled = true
		a.live.add(a.work, -1)
	}
}

func (e membersEvent) apply(o *owner) {
	o.changed = true
	o.reorder = true
	o.entries = 0
	present := make(map[state.TargetID]bool)
	for _, m := range e.members {
		if m.Role == state.EntryRole && !m.Leaving {
			o.entries++
		}
		if m.Role == state.SideRole && m.Target != "" {
			present[m.Target] = true
			o.setMember(m)
		}
	}
	for id := range o.targets {
		if !present[id] {
			delete(o.targets, id)
			if c := o.placer.cfg.Connector; c != nil {
				c.Forget(id)
			}
		}
	}
	o.assignSubsets()
}

// setMember records a row of the instance list.
func (o *owner) setMember(m state.Member) {
	t := o.targets[m.Target]
	if t == nil {
		t = &tracked{view: target{id: m.Target, cacheTrust: 1, live: new(live)}}
		o.targets[m.Target] = t
	}
	if t.member.Address != m.Address {
		t.health = health{} // another process: the earlier one's failures say nothing about it
		o.setAddress(m, t.view.subset)
	}
	t.member = m
	t.view.service, t.view.domain = m.Service, m.Domain
	o.updateLeaving(t, time.Now())
}

func (o *owner) setAddress(m state.Member, keep bool) {
	if c := o.placer.cfg.Connector; c != nil {
		c.SetAddress(m, keep)
	}
}

// updateLeaving merges the list with direct evidence: a target leaves as soon
// as either says so.
func (o *owner) updateLeaving(t *tracked, now time.Time) {
	if t.member.Leaving || t.health.leaving {
		t.view.live.leave(now)
		return
	}
	t.view.live.leavingSince.Store(0)
}

func (e openedEvent) apply(o *owner) {
	t := o.targets[e.target]
	if t == nil {
		return
	}
	o.changed = true
	if t.incarnation != e.incarnation {
		t.incarnation = e.incarnation
		t.health.leaving = false
		t.view.figures = nil
		o.updateLeaving(t, e.at)
	}
	t.fastest = math.MaxInt64
	t.view.connected = true
	t.health.sessionOpened()
	if e.status != nil {
		o.status(t, e.status, e.at)
	}
	o.assignSubsets()
}

func (e statusEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil && e.status != nil {
		o.status(t, e.status, e.at)
	}
}

func (o *owner) status(t *tracked, s *state.Status, at time.Time) {
	o.figures(t, &s.Figures, at)
	if s.Leaving && !t.health.leaving {
		leavingEvent{target: t.view.id, at: at}.apply(o)
	}
	o.placer.prefixes.add(t.view.id, s.Cached)
	o.placer.prefixes.remove(t.view.id, s.Evicted)
}

func (e figuresEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil && e.figures != nil {
		o.figures(t, e.figures, e.at)
	}
}

// figures takes over load figures and settles the attempts that they include.
func (o *owner) figures(t *tracked, f *state.Figures, at time.Time) {
	old := t.view.figures
	if old != nil && f.Taken.Before(old.Taken) && at.Sub(t.view.received) < figuresLifetime {
		return // overtaken on another stream
	}
	o.changed = true
	copied := *f
	t.view.figures, t.view.received = &copied, at
	delay := at.Sub(f.Taken)
	t.fastest = min(t.fastest, delay)
	late := min(delay-t.fastest, figuresLifetime)
	included := at.Add(-late - settleMargin)
	t.unsettled = slices.DeleteFunc(t.unsettled, func(a *openAttempt) bool {
		if a.settled || a.sent.After(included) {
			return a.settled
		}
		o.settling = append(o.settling, a)
		return true
	})
}

func (e leavingEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil {
		t.health.leaving = true
		o.updateLeaving(t, e.at)
		o.changed = true
		o.assignSubsets()
	}
}

func (e lostEvent) apply(o *owner) {
	t := o.targets[e.target]
	if t == nil {
		return
	}
	t.view.connected = false
	o.changed = true
	if t.health.sessionLost(e.at) {
		o.logEjected(t, "session lost", zap.Error(e.err))
	}
	o.assignSubsets()
}

func (e closedEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil {
		t.view.connected = false
		o.changed = true
	}
}

func (e wantEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil {
		o.connect(t, time.Now())
	}
}

func (e sentEvent) apply(o *owner) {
	t := o.targets[e.open.target]
	if t == nil || len(o.open) >= maxOpenAttempts {
		state.Assert(len(o.open) < maxOpenAttempts, state.BoundedState, "too many open attempts")
		e.open.settle()
		return
	}
	o.open[e.attempt] = e.open
	t.unsettled = append(t.unsettled, e.open)
	o.observeShare(t.view.service, e.open.work)
}

// observeShare updates the share of prompt tokens in the work sent to a service.
func (o *owner) observeShare(s state.Service, w work) {
	total := float64(w.prompt + w.output)
	if total <= 0 {
		return
	}
	share, ok := o.share[s]
	if !ok {
		share = defaultPromptShare
	}
	o.share[s] = share + shareGain*(float64(w.prompt)/total-share)
}

func (e endedEvent) apply(o *owner) {
	a := o.open[e.attempt]
	if a == nil {
		return // never sent
	}
	delete(o.open, e.attempt)
	a.settle()
	if a.probe {
		a.live.probe.Store(0)
	}
	if e.outcome.NotRun {
		o.placer.prefixes.remove(a.target, a.blocks[a.cached:])
	}
	t := o.targets[a.target]
	if t == nil || t.view.live != a.live {
		return
	}
	t.unsettled = slices.DeleteFunc(t.unsettled, func(u *openAttempt) bool { return u == a })
	o.observe(t, a, e)
}

// observe draws conclusions about the target from the outcome of an attempt.
func (o *owner) observe(t *tracked, a *openAttempt, e endedEvent) {
	wasEjected := t.health.ejected
	switch {
	case e.outcome.Complete:
		t.health.completed()
		t.trust(a.cached, e.outcome.Usage.CachedTokens)
	case e.outcome.Unknown:
		if t.health.unknown(a.probe, e.at) {
			o.logEjected(t, "attempts ended unknown", zap.String("reason", string(e.outcome.Reason)))
		}
	}
	if wasEjected != t.health.ejected || t.health.ejected {
		o.changed = true
		o.assignSubsets()
	}
}

// trust compares a prediction of the prefix index with what the engine reports.
// A share below 1 means that the engine evicts earlier than the index does.
func (t *tracked) trust(predicted, cachedTokens int) {
	if predicted == 0 {
		return
	}
	confirmed := min(1, float64(cachedTokens)/float64(predicted*blockTokens))
	t.view.cacheTrust = max(leastTrust, t.view.cacheTrust+trustGain*(confirmed-t.view.cacheTrust))
}

func (o *owner) logEjected(t *tracked, cause string, detail zap.Field) {
	o.placer.cfg.Log.Warn("target ejected", zap.String("target", string(t.view.id)),
		zap.String("cause", cause), zap.Duration("backoff", t.health.backoff()), detail)
}

// assignSubsets recomputes which targets the entry keeps sessions to.
func (o *owner) assignSubsets() {
	members := make(map[state.Service][]subsetMember)
	for _, t := range o.targets {
		if t.view.live.leaving() {
			t.lapsed = t.lapsed || t.view.subset
			continue
		}
		t.lapsed = false
		m := subsetMember{target: t.view.id, domain: t.view.domain, ejected: t.health.ejected}
		members[t.view.service] = append(members[t.view.service], m)
	}
	cfg := o.placer.cfg
	chosen := make(map[state.TargetID]bool)
	for _, list := range members {
		for id := range subset(cfg.Entry, cfg.Domain, list) {
			chosen[id] = true
		}
	}
	now := time.Now()
	for id, t := range o.targets {
		if t.view.subset == chosen[id] {
			continue
		}
		t.view.subset = chosen[id]
		o.changed = true
		o.setAddress(t.member, chosen[id])
		if chosen[id] {
			o.connect(t, now)
		}
	}
}

// reconnect asks for the sessions of the subset that are missing.
func (o *owner) reconnect(now time.Time) {
	for _, t := range o.targets {
		if t.view.subset || t.lapsed {
			o.connect(t, now)
		}
	}
}

// connect asks for a session to t unless it has one or is in backoff.
func (o *owner) connect(t *tracked, now time.Time) {
	c := o.placer.cfg.Connector
	waits := t.health.ejected && now.Before(t.health.probeFrom)
	if c == nil || t.view.connected || waits || now.Sub(t.asked) < firstBackoff {
		return
	}
	t.asked = now
	c.Connect(t.view.id)
}

// publish stores a new snapshot.
func (o *owner) publish() {
	o.changed = false
	s := &snapshot{
		services: make(map[state.Service]*serviceView),
		targets:  make(map[state.TargetID]*target, len(o.targets)),
	}
	for _, t := range o.byName() {
		view := t.publish()
		s.targets[view.id] = view
		if view.connected && !view.subset {
			s.onDemand++
		}
		service := s.services[view.service]
		if service == nil {
			service = &serviceView{}
			s.services[view.service] = service
		}
		service.all = append(service.all, view)
	}
	for name, service := range s.services {
		o.summarise(name, service)
	}
	o.placer.snapshot.Store(s)
}

// publish returns the view to publish: the one published before if nothing has
// changed since, because a report about one of 600 targets changes one view.
func (t *tracked) publish() *target {
	view := t.view
	view.ejected, view.probeFrom = t.health.ejected, t.health.probeFrom
	if t.published == nil || *t.published != view {
		changed := view // view itself stays on the stack
		t.published = &changed
	}
	return t.published
}

// byName returns the targets ordered by name. The order is kept until targets
// come or go.
func (o *owner) byName() []*tracked {
	if len(o.ordered) != len(o.targets) || o.reorder {
		o.reorder = false
		o.ordered = slices.SortedFunc(maps.Values(o.targets), func(a, b *tracked) int { return cmp.Compare(a.view.id, b.view.id) })
	}
	return o.ordered
}

// defaultPromptShare is used before the entry has sent anything to a service.
const defaultPromptShare = 0.5

// summarise fills in what is known about a service as a whole.
func (o *owner) summarise(name state.Service, v *serviceView) {
	var prefill, decode []float64
	for _, t := range v.all {
		if f := t.figures; f != nil && f.PrefillRate > 0 {
			prefill = append(prefill, f.PrefillRate)
		}
		if f := t.figures; f != nil && f.DecodeRate > 0 {
			decode = append(decode, f.DecodeRate)
		}
	}
	v.typical = rates{prefill: median(prefill, assumedPrefillRate), decode: median(decode, assumedDecodeRate)}
	v.promptShare = defaultPromptShare
	if share, ok := o.share[name]; ok {
		v.promptShare = share
	}
	reached := min(1, float64(subsetSize)/float64(len(v.all)))
	v.senders = max(1, float64(o.entries)*reached)
}

// median returns the middle of values, or fallback when there are none.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}
