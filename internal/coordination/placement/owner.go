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
	// reconnectInterval is the interval at which the owner asks for missing
	// sessions to targets of the subset.
	reconnectInterval = 500 * time.Millisecond
	// minIncludedAge is the age that an attempt must have had when figures were
	// taken to count as included in them. It covers the delay of the dispatch.
	// Younger attempts may be counted twice, in the figures and in the counters,
	// until the next figures.
	minIncludedAge = 50 * time.Millisecond
	// figuresLifetime is the age up to which figures are evidence of whether a target
	// has room (guarantee P4: a higher tier is not shed before a lower one). For as
	// long after figures have arrived, figures that were taken earlier are ignored.
	figuresLifetime = 2 * time.Second
	// maxOpenAttempts bounds the attempts tracked.
	maxOpenAttempts = 1 << 16
	// promptShareSmoothing and cacheTrustSmoothing are the weights of a new
	// observation in the moving averages of the prompt share and the cache trust.
	promptShareSmoothing = 0.02
	cacheTrustSmoothing  = 0.2
	// minCacheTrust keeps the predictions of the prefix index in use, so that it is
	// noticed when they become right again.
	minCacheTrust = 0.1
)

// openAttempt is an attempt that was sent and has not ended.
type openAttempt struct {
	target        state.TargetID
	shared        *sharedState
	cost          requestCost
	sentAt        time.Time
	subtracted    bool // its cost is no longer counted in shared
	isProbe       bool
	indexedBlocks int // leading blocks that the prefix index had for the target when the attempt was sent
	blocks        []uint64
}

// trackedTarget is the owner's record of one target.
type trackedTarget struct {
	view        target
	member      state.Member
	incarnation state.Incarnation
	health      health
	unreported  []*openAttempt // attempts that no figures include yet
	// minReportDelay is the smallest difference seen between the arrival of figures
	// and their Taken time: the clock difference plus the shortest delay of a
	// report.
	minReportDelay     time.Duration
	connectRequestedAt time.Time // last call of Connector.Connect
	// published is the view in the latest snapshot.
	published *target
	// wasInSubset is set while the target is leaving if it belonged to the subset
	// before. The owner keeps asking for a session to such a target, because a
	// process that was restarted in place is recognised only by its new
	// incarnation.
	wasInSubset bool
}

// owner holds the state of all targets. All its methods run on one goroutine.
type owner struct {
	placer       *Placer
	targets      map[state.TargetID]*trackedTarget
	openAttempts map[state.AttemptID]*openAttempt
	entryCount   int // entries in the instance list that are not leaving
	promptShares map[state.Service]float64
	reported     []*openAttempt // to be subtracted once the figures that include them are published
	needsPublish bool           // the state has changed since the latest snapshot
	sorted       []*trackedTarget
	needsSort    bool // the set of targets may have changed since sorted was set
}

func newOwner(p *Placer) *owner {
	return &owner{
		placer:       p,
		targets:      make(map[state.TargetID]*trackedTarget),
		openAttempts: make(map[state.AttemptID]*openAttempt),
		promptShares: make(map[state.Service]float64),
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
			o.apply(o.placer.mailbox.takeAll()...)
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
	if o.needsPublish {
		o.publish()
	}
	o.subtractReported()
}

// subtractReported subtracts the attempts that the published figures include from
// the counters. It runs after publish: in the reverse order, their work would be
// counted nowhere for a moment.
func (o *owner) subtractReported() {
	for _, a := range o.reported {
		a.subtract()
	}
	o.reported = o.reported[:0]
}

// subtract removes the cost of the attempt from the counters of its target,
// unless that has been done.
func (a *openAttempt) subtract() {
	if !a.subtracted {
		a.subtracted = true
		a.shared.addCost(a.cost, -1)
	}
}

func (e membersEvent) apply(o *owner) {
	o.needsPublish = true
	o.needsSort = true
	o.entryCount = 0
	present := make(map[state.TargetID]bool)
	for _, m := range e.members {
		if m.Role == state.EntryRole && !m.Leaving {
			o.entryCount++
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
	o.updateSubsets()
}

// setMember records a row of the instance list that names a target.
func (o *owner) setMember(m state.Member) {
	t := o.targets[m.Target]
	if t == nil {
		t = &trackedTarget{view: target{id: m.Target, cacheTrust: 1, shared: new(sharedState)}}
		o.targets[m.Target] = t
	}
	if t.member.Address != m.Address {
		t.health = health{} // another process: failures of the earlier one say nothing about it
		o.setAddress(m, t.view.inSubset)
	}
	t.member = m
	t.view.service, t.view.domain = m.Service, m.Domain
	o.updateLeaving(t, time.Now())
}

func (o *owner) setAddress(m state.Member, keepOpen bool) {
	if c := o.placer.cfg.Connector; c != nil {
		c.SetAddress(m, keepOpen)
	}
}

// updateLeaving combines the instance list with what the side process has
// announced: a target is leaving as soon as either says so.
func (o *owner) updateLeaving(t *trackedTarget, now time.Time) {
	if t.member.Leaving || t.health.leaving {
		t.view.shared.markLeaving(now)
		return
	}
	t.view.shared.leavingSince.Store(0)
}

func (e sessionOpenedEvent) apply(o *owner) {
	t := o.targets[e.target]
	if t == nil {
		return
	}
	o.needsPublish = true
	if t.incarnation != e.incarnation {
		t.incarnation = e.incarnation
		t.health.leaving = false
		t.view.figures = nil
		o.updateLeaving(t, e.at)
	}
	t.minReportDelay = math.MaxInt64
	t.view.connected = true
	t.health.recordSessionOpened()
	if e.status != nil {
		o.recordStatus(t, e.status, e.at)
	}
	o.updateSubsets()
}

func (e statusEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil && e.status != nil {
		o.recordStatus(t, e.status, e.at)
	}
}

func (o *owner) recordStatus(t *trackedTarget, s *state.Status, at time.Time) {
	o.recordFigures(t, &s.Figures, at)
	if s.Leaving && !t.health.leaving {
		targetLeavingEvent{target: t.view.id, at: at}.apply(o)
	}
	o.placer.prefixes.add(t.view.id, s.Cached)
	o.placer.prefixes.remove(t.view.id, s.Evicted)
}

func (e figuresEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil && e.figures != nil {
		o.recordFigures(t, e.figures, e.at)
	}
}

// recordFigures stores load figures that arrived at the given time, and moves the
// attempts that they include from t.unreported to o.reported. The clock of the
// target may differ, so the time at which the figures were taken is estimated
// from their arrival: minus the time by which they took longer than the fastest
// report of the session.
func (o *owner) recordFigures(t *trackedTarget, f *state.LoadFigures, at time.Time) {
	old := t.view.figures
	if old != nil && f.Taken.Before(old.Taken) && at.Sub(t.view.figuresReceived) < figuresLifetime {
		return // newer figures have arrived earlier on another stream
	}
	o.needsPublish = true
	copied := *f
	t.view.figures, t.view.figuresReceived = &copied, at
	delay := at.Sub(f.Taken)
	t.minReportDelay = min(t.minReportDelay, delay)
	extraDelay := min(delay-t.minReportDelay, figuresLifetime)
	includedUntil := at.Add(-extraDelay - minIncludedAge)
	t.unreported = slices.DeleteFunc(t.unreported, func(a *openAttempt) bool {
		if a.subtracted || a.sentAt.After(includedUntil) {
			return a.subtracted
		}
		o.reported = append(o.reported, a)
		return true
	})
}

func (e targetLeavingEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil {
		t.health.leaving = true
		o.updateLeaving(t, e.at)
		o.needsPublish = true
		o.updateSubsets()
	}
}

func (e sessionLostEvent) apply(o *owner) {
	t := o.targets[e.target]
	if t == nil {
		return
	}
	t.view.connected = false
	o.needsPublish = true
	if t.health.recordSessionLost(e.at) {
		o.logEjected(t, "session lost", zap.Error(e.err))
	}
	o.updateSubsets()
}

func (e sessionClosedEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil {
		t.view.connected = false
		o.needsPublish = true
	}
}

func (e sessionRequestedEvent) apply(o *owner) {
	if t := o.targets[e.target]; t != nil {
		o.connect(t, time.Now())
	}
}

func (e attemptSentEvent) apply(o *owner) {
	t := o.targets[e.open.target]
	if t == nil || len(o.openAttempts) >= maxOpenAttempts {
		state.Assert(len(o.openAttempts) < maxOpenAttempts, state.BoundedState, "too many open attempts")
		e.open.subtract()
		return
	}
	o.openAttempts[e.attempt] = e.open
	t.unreported = append(t.unreported, e.open)
	o.updatePromptShare(t.view.service, e.open.cost)
}

// updatePromptShare updates the moving average of the share of prompt tokens in
// the work sent to a service.
func (o *owner) updatePromptShare(s state.Service, c requestCost) {
	total := float64(c.promptTokens + c.outputTokens)
	if total <= 0 {
		return
	}
	share, ok := o.promptShares[s]
	if !ok {
		share = defaultPromptShare
	}
	o.promptShares[s] = share + promptShareSmoothing*(float64(c.promptTokens)/total-share)
}

func (e attemptEndedEvent) apply(o *owner) {
	a := o.openAttempts[e.attempt]
	if a == nil {
		return // not tracked, for example because it was never sent
	}
	delete(o.openAttempts, e.attempt)
	a.subtract()
	if a.isProbe {
		a.shared.probeState.Store(0)
	}
	if e.outcome.NotRun {
		o.placer.prefixes.remove(a.target, a.blocks[a.indexedBlocks:])
	}
	t := o.targets[a.target]
	if t == nil || t.view.shared != a.shared {
		return
	}
	t.unreported = slices.DeleteFunc(t.unreported, func(u *openAttempt) bool { return u == a })
	o.recordOutcome(t, a, e)
}

// recordOutcome updates the health and the cache trust of the target from the
// outcome of an attempt.
func (o *owner) recordOutcome(t *trackedTarget, a *openAttempt, e attemptEndedEvent) {
	wasEjected := t.health.ejected
	switch {
	case e.outcome.Complete:
		t.health.recordCompletion()
		t.updateCacheTrust(a.indexedBlocks, e.outcome.Usage.CachedTokens)
	case e.outcome.Unknown:
		if t.health.recordUnknownOutcome(a.isProbe, e.at) {
			o.logEjected(t, "attempts ended unknown", zap.String("reason", string(e.outcome.Reason)))
		}
	}
	if wasEjected != t.health.ejected || t.health.ejected {
		o.needsPublish = true
		o.updateSubsets()
	}
}

// updateCacheTrust updates the moving average of the share of the blocks predicted
// by the prefix index that the engine reports as cached. A share below 1 means
// that the engine evicts blocks earlier than the index does.
func (t *trackedTarget) updateCacheTrust(predictedBlocks, cachedTokens int) {
	if predictedBlocks == 0 {
		return
	}
	confirmed := min(1, float64(cachedTokens)/float64(predictedBlocks*blockTokens))
	t.view.cacheTrust = max(minCacheTrust, t.view.cacheTrust+cacheTrustSmoothing*(confirmed-t.view.cacheTrust))
}

func (o *owner) logEjected(t *trackedTarget, cause string, detail zap.Field) {
	o.placer.cfg.Log.Warn("target ejected", zap.String("target", string(t.view.id)),
		zap.String("cause", cause), zap.Duration("backoff", t.health.backoff()), detail)
}

// updateSubsets recomputes, for each service, the targets to which the entry keeps
// sessions.
func (o *owner) updateSubsets() {
	members := make(map[state.Service][]subsetMember)
	for _, t := range o.targets {
		if t.view.shared.isLeaving() {
			t.wasInSubset = t.wasInSubset || t.view.inSubset
			continue
		}
		t.wasInSubset = false
		m := subsetMember{target: t.view.id, domain: t.view.domain, ejected: t.health.ejected}
		members[t.view.service] = append(members[t.view.service], m)
	}
	cfg := o.placer.cfg
	selected := make(map[state.TargetID]bool)
	for _, list := range members {
		for id := range selectSubset(cfg.Entry, cfg.Domain, list) {
			selected[id] = true
		}
	}
	now := time.Now()
	for id, t := range o.targets {
		if t.view.inSubset == selected[id] {
			continue
		}
		t.view.inSubset = selected[id]
		o.needsPublish = true
		o.setAddress(t.member, selected[id])
		if selected[id] {
			o.connect(t, now)
		}
	}
}

// reconnect asks for the missing sessions to targets that are in the subset, or
// were until they began to leave.
func (o *owner) reconnect(now time.Time) {
	for _, t := range o.targets {
		if t.view.inSubset || t.wasInSubset {
			o.connect(t, now)
		}
	}
}

// connect asks for a session to t unless t has one or is in backoff, or one was
// asked for less than minBackoff ago.
func (o *owner) connect(t *trackedTarget, now time.Time) {
	c := o.placer.cfg.Connector
	inBackoff := t.health.ejected && now.Before(t.health.backoffEnd)
	if c == nil || t.view.connected || inBackoff || now.Sub(t.connectRequestedAt) < minBackoff {
		return
	}
	t.connectRequestedAt = now
	c.Connect(t.view.id)
}

// publish stores a new snapshot.
func (o *owner) publish() {
	o.needsPublish = false
	s := &snapshot{
		services: make(map[state.Service]*serviceView),
		targets:  make(map[state.TargetID]*target, len(o.targets)),
	}
	for _, t := range o.targetsByName() {
		view := t.publishedView()
		s.targets[view.id] = view
		if view.connected && !view.inSubset {
			s.onDemandSessions++
		}
		service := s.services[view.service]
		if service == nil {
			service = &serviceView{}
			s.services[view.service] = service
		}
		service.targets = append(service.targets, view)
	}
	for name, service := range s.services {
		o.summariseService(name, service)
	}
	o.placer.snapshot.Store(s)
}

// publishedView returns the view of t for the next snapshot. It reuses the view
// published before if nothing has changed since, because a report about one of
// 600 targets changes only one view.
func (t *trackedTarget) publishedView() *target {
	view := t.view
	view.ejected, view.backoffEnd = t.health.ejected, t.health.backoffEnd
	if t.published == nil || *t.published != view {
		changed := view // a copy, so that view itself stays on the stack
		t.published = &changed
	}
	return t.published
}

// targetsByName returns the targets ordered by name. It sorts them again only
// when the set of targets may have changed.
func (o *owner) targetsByName() []*trackedTarget {
	if len(o.sorted) != len(o.targets) || o.needsSort {
		o.needsSort = false
		o.sorted = slices.SortedFunc(maps.Values(o.targets), func(a, b *trackedTarget) int { return cmp.Compare(a.view.id, b.view.id) })
	}
	return o.sorted
}

// defaultPromptShare is used before the entry has sent anything to a service.
const defaultPromptShare = 0.5

// summariseService fills in the values that concern a service as a whole.
func (o *owner) summariseService(name state.Service, v *serviceView) {
	var prefill, decode []float64
	for _, t := range v.targets {
		if f := t.figures; f != nil && f.PrefillRate > 0 {
			prefill = append(prefill, f.PrefillRate)
		}
		if f := t.figures; f != nil && f.DecodeRate > 0 {
			decode = append(decode, f.DecodeRate)
		}
	}
	v.medianRates = tokenRates{prefill: median(prefill, assumedPrefillRate), decode: median(decode, assumedDecodeRate)}
	v.promptShare = defaultPromptShare
	if share, ok := o.promptShares[name]; ok {
		v.promptShare = share
	}
	// Each entry sends to the share of the targets that is in its subset.
	subsetShare := min(1, float64(subsetSize)/float64(len(v.targets)))
	v.sendersPerTarget = max(1, float64(o.entryCount)*subsetShare)
}

// median returns the median of values, the upper one for an even number of them,
// or fallback when there are none.
func median(values []float64, fallback float64) float64 {
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[len(values)/2]
}
