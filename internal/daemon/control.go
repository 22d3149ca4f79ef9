package daemon

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cassiaramp/cassiaramp/internal/coordination/membership"
	"github.com/cassiaramp/cassiaramp/internal/coordination/registry"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// configurationWait is how long the store holds a read of the configuration.
	configurationWait = 20 * time.Second
	// targetInterval is the time between reads of the list of targets. With the
	// store's answer it stays well under the 2 s after which a leaving target must
	// get no more work.
	targetInterval = 900 * time.Millisecond
	settleInterval = 250 * time.Millisecond // between looks at removals that are pending
	// fetchAfter is how long the store is silent before another entry is asked.
	fetchAfter    = 400 * time.Millisecond
	fetchInterval = 500 * time.Millisecond
	// listReaders entries, those with the lowest names, read the list of targets
	// from the store. The others learn from them, which spares calls to the store.
	listReaders = 2
	// readerGap keeps the reads of two readers apart, so that the second one has
	// heard of a change before it reads. Otherwise both tell a change of the same
	// list, and the others can apply only one.
	readerGap = 300 * time.Millisecond
	// maxListAge is the age of the list from which on an entry reads for itself.
	maxListAge = 1500 * time.Millisecond
	// wayTime is taken off the age of what comes from other entries, which lacks the
	// time on the way.
	wayTime = 100 * time.Millisecond
	// changeTime is how long reports carry a change of the list. It covers a report
	// to each entry and some lost ones.
	changeTime = 1500 * time.Millisecond
	joinPause  = 500 * time.Millisecond // between tries to write this entry's record
	leaveTime  = 300 * time.Millisecond // for the removal of the record
)

// control owns what the entry knows from the store: one goroutine runs it, and
// others send it events.
type control struct {
	p      *gatewayProcess
	events chan func(now time.Time)

	list   *membership.List // owned by the goroutine
	stored map[string]*dependency

	fetchNow  chan state.InstanceID // the entry to ask first
	mu        sync.Mutex
	fresh     time.Time            // when the list of targets was known to be current
	read      time.Time            // when it was last read from the store here
	next      uint64               // offset in the topic up to which the list is complete
	adopted   bool                 // the list came from another entry since the last read
	hash      uint64               // of the published list
	published []state.TargetRecord // never changed in place
	change    *mesh.ListChange     // the last one that was published
	changedAt time.Time
	// What other entries have in a newer version.
	configurationBehind, bundleBehind behind
	settling                          bool // removals are pending after an outage
}

// dependency is the state of one topic at the store.
type dependency struct{ failedSince time.Time }

func newControl(p *gatewayProcess) *control {
	return &control{
		p: p, events: make(chan func(time.Time), 64), fetchNow: make(chan state.InstanceID, 1), list: membership.New(),
		stored: make(map[string]*dependency),
	}
}

// targets returns the published list, which must not be changed.
func (c *control) targets() []state.TargetRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.published
}

func (c *control) targetCount() int { return len(c.targets()) }

// snapshot is what other entries may fetch.
func (c *control) snapshot() mesh.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := mesh.Snapshot{
		Configuration: c.p.gateway.Configuration(), Targets: c.published, ListHash: c.hash, ListNext: c.next, Age: time.Since(c.fresh),
	}
	if b := c.p.rollout.Current(); b != nil {
		s.Bundle = &b.AcceptedBundle
	}
	return s
}

// have is what a fetched snapshot need not repeat.
func (c *control) have() mesh.Have {
	h := mesh.Have{Bundle: c.p.rollout.Version()}
	if config := c.p.gateway.Configuration(); config != nil {
		h.Version = config.Version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.ListHash = c.hash
	return h
}

func (c *control) run(ctx context.Context) error {
	for _, seed := range c.p.settings.Seeds {
		c.p.mesh.Learn(netip.AddrPortFrom(seed.Addr(), c.p.settings.FirstPort))
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.loop(ctx) })
	group.Go(func() error { return c.join(ctx) })
	group.Go(func() error {
		return registry.Follow(ctx, c.p.store, registry.Topic{Name: platform.ConfigurationTopic, Wait: configurationWait},
			&topicHandler{control: c, name: platform.ConfigurationTopic, apply: c.applyConfiguration})
	})
	group.Go(func() error {
		return registry.Follow(ctx, c.p.store, registry.Topic{Name: platform.TargetTopic, Interval: targetInterval, Skip: c.skipRead, Resume: c.resume},
			&topicHandler{control: c, name: platform.TargetTopic, apply: c.applyTargets})
	})
	if c.p.followsBundles {
		group.Go(func() error { return c.followBundles(ctx) })
	}
	group.Go(func() error { return c.fetch(ctx) })
	return group.Wait()
}

func (c *control) loop(ctx context.Context) error {
	settle := time.NewTicker(settleInterval)
	defer settle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.events:
			event(time.Now())
		case now := <-settle.C:
			c.publish(now)
		}
	}
}

// post hands an event to the goroutine that owns the state.
func (c *control) post(event func(time.Time)) { c.events <- event }

// topicHandler passes what a topic holds to the control goroutine.
type topicHandler struct {
	control *control
	name    string
	apply   func(now time.Time, listed bool, records []registry.Record, next uint64)
}

// Listed implements registry.Handler.
func (h *topicHandler) Listed(_ time.Time, records []registry.Record, next uint64) {
	h.answered(true, records, next)
}

// Changed implements registry.Handler.
func (h *topicHandler) Changed(_ time.Time, records []registry.Record, next uint64) {
	h.answered(false, records, next)
}

func (h *topicHandler) answered(listed bool, records []registry.Record, next uint64) {
	h.control.post(func(now time.Time) {
		h.control.regained(now, h.name)
		h.apply(now, listed, records, next)
	})
}

// Failed implements registry.Handler.
func (h *topicHandler) Failed(_ time.Time, err error) {
	h.control.post(func(now time.Time) { h.control.lost(now, h.name, err) })
}

func (c *control) lost(now time.Time, topic string, err error) {
	d := c.dependency(topic)
	if topic == platform.TargetTopic {
		c.list.Away()
	}
	if d.failedSince.IsZero() {
		d.failedSince = now
		c.p.counters.Add("store_lost")
		c.p.log.Warn("dependency lost", zap.String("dependency", "store"), zap.String("topic", topic), zap.Error(err))
	}
}

func (c *control) regained(now time.Time, topic string) {
	d := c.dependency(topic)
	if !d.failedSince.IsZero() {
		c.p.log.Info("dependency regained", zap.String("dependency", "store"), zap.String("topic", topic),
			zap.Duration("lost_for", now.Sub(d.failedSince)))
		d.failedSince = time.Time{}
	}
	if topic == platform.TargetTopic {
		c.list.Answered(now)
		c.setFresh(now)
		c.mu.Lock()
		c.read = now
		c.mu.Unlock()
	}
}

func (c *control) setFresh(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.fresh) {
		c.fresh = at
	}
}

func (c *control) dependency(topic string) *dependency {
	d := c.stored[topic]
	if d == nil {
		d = &dependency{}
		c.stored[topic] = d
	}
	return d
}

func (c *control) applyConfiguration(_ time.Time, _ bool, records []registry.Record, _ uint64) {
	for _, r := range records {
		if r.Key != platform.ConfigurationKey || len(r.Value) == 0 {
			continue
		}
		config, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			c.p.log.Error("configuration not decoded", zap.Uint64("offset", r.Offset), zap.Error(err))
			continue
		}
		c.setConfiguration(config, "store")
	}
}

func (c *control) setConfiguration(config *state.Configuration, source string) {
	old := c.p.gateway.Configuration()
	if !c.p.gateway.SetConfiguration(config) {
		return
	}
	c.logCustomers(old, config)
	c.p.log.Info("configuration in effect", zap.Int64("version", config.Version), zap.String("source", source),
		zap.Int("routes", len(config.Routes)), zap.Int("customers", len(config.Customers)))
}

// logCustomers logs the allowances that a configuration changes.
func (c *control) logCustomers(old, config *state.Configuration) {
	before := make(map[state.Customer]state.CustomerConfig)
	if old != nil {
		for _, customer := range old.Customers {
			before[customer.Name] = customer
		}
	}
	for _, customer := range config.Customers {
		was, ok := before[customer.Name]
		if ok && was.Rate == customer.Rate && was.Burst == customer.Burst && len(was.Keys) == len(customer.Keys) {
			continue
		}
		c.p.log.Info("customer allowance", zap.Int64("version", config.Version), zap.String("customer", string(customer.Name)),
			zap.Float64("rate", customer.Rate), zap.Float64("burst", customer.Burst), zap.Bool("tokens", customer.CountsTokens),
			zap.Bool("has_tier", customer.HasTier), zap.Int("tier", customer.Tier), zap.Int("keys", len(customer.Keys)))
	}
}

func (c *control) applyTargets(now time.Time, listed bool, records []registry.Record, next uint64) {
	c.mu.Lock()
	have := c.next
	c.next = max(have, next)
	c.mu.Unlock()
	if listed && next < have {
		return // a newer list was taken over meanwhile
	}
	var present []state.TargetRecord
	for _, r := range records {
		if !listed && r.Offset < have {
			continue // a list that was taken over meanwhile has it
		}
		if len(r.Value) == 0 {
			c.list.Remove(now, state.TargetID(r.Key))
			continue
		}
		t, err := platform.DecodeTarget(r.Key, r.Value)
		if err != nil {
			c.p.log.Warn("target record ignored", zap.Uint64("offset", r.Offset), zap.Error(err))
			continue
		}
		present = append(present, t)
		if !listed {
			c.list.Put(t)
		}
	}
	if listed {
		c.list.Replace(now, present)
	}
	c.publish(now)
}

// publish gives the scheduler the list when it has changed.
func (c *control) publish(now time.Time) {
	records := c.list.Targets(now)
	c.mu.Lock()
	c.settling = c.list.Settling()
	c.mu.Unlock()
	sortTargets(records)
	old := c.targets()
	if slices.Equal(old, records) {
		return
	}
	c.logTargets(old, records)
	c.mu.Lock()
	c.published = records
	c.change, c.changedAt = changeOf(c.hash, old, records), now
	c.hash = hashOf(records)
	tells := now.Sub(c.read) < maxListAge && !c.settling
	c.mu.Unlock()
	if tells {
		c.p.listChanged.Store(true)
	}
	c.p.scheduler.SetTargets(records)
}

func (c *control) logTargets(old, records []state.TargetRecord) {
	put, gone := diff(old, records)
	for _, r := range put {
		c.p.log.Info("target listed", zap.String("target", string(r.ID)), zap.String("service", string(r.Service)),
			zap.String("address", r.Address), zap.String("domain", string(r.Domain)), zap.Int("slots", r.Slots),
			zap.Bool("draining", r.Draining), zap.Int64("started", r.Started))
	}
	for _, r := range gone {
		c.p.targets.Forget(r.Address)
		c.p.log.Info("target gone", zap.String("target", string(r.ID)), zap.String("service", string(r.Service)))
	}
}

// skipRead reports whether the list of targets is known from other entries.
func (c *control) skipRead() bool {
	now := time.Now()
	lower := c.p.mesh.LowerReaders(now, c.p.settings.Instance)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch age := now.Sub(c.fresh); {
	case lower >= listReaders:
		return age < maxListAge
	case lower > 0:
		return age < readerGap+wayTime
	default:
		return false
	}
}

// tellList puts into a report the time since the list was read here and a hash of
// its content, unless it was not read lately or still holds targets that may be
// gone.
func (c *control) tellList(now time.Time, m *mesh.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settling || now.Sub(c.read) > maxListAge {
		return
	}
	m.ListAge, m.ListHash, m.ListNext = now.Sub(c.read).Milliseconds(), c.hash, c.next
	if now.Sub(c.changedAt) < changeTime {
		m.Change = c.change
	}
}

// listReported takes over that another entry has read the list from the store.
// When its content differs, the change is applied, or the list is fetched if the
// change is from another list than that known here.
func (c *control) listReported(m *mesh.Message) {
	if m.ListHash == 0 {
		return
	}
	at := time.Now().Add(-time.Duration(m.ListAge)*time.Millisecond - wayTime)
	c.mu.Lock()
	newer := at.After(c.fresh) && m.ListNext >= c.next
	same := m.ListHash == c.hash
	if newer && same {
		c.fresh = at
	}
	applies := m.Change != nil && m.Change.From == c.hash
	c.mu.Unlock()
	switch {
	case !newer || same:
	case applies:
		select {
		case c.events <- func(now time.Time) { c.applyChange(now, at, m) }:
		default: // the next report tells it again
		}
	default:
		c.askFor(m.Instance)
	}
}

// behind is something that other entries have in a newer version.
type behind struct {
	mu           sync.Mutex
	since, asked time.Time
}

const (
	// behindTime is how long the store has to deliver a configuration that another
	// entry has. A read that waits at the store was once not answered although
	// there was a newer record (CONFIG on scale-2 of tbl-plan-grown).
	behindTime = 300 * time.Millisecond
	// askPause is the time between questions to other entries for what is newer
	// there: this entry may refuse it.
	askPause = time.Second
)

// ask reports whether to ask for what has been newer elsewhere for the time given.
func (b *behind) ask(now time.Time, after time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() {
		b.since = now
	}
	if now.Sub(b.since) < after || now.Sub(b.asked) < askPause {
		return false
	}
	b.asked = now
	return true
}

// caughtUp records that nothing newer is known elsewhere.
func (b *behind) caughtUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Time{}
}

// configurationReported has the configuration fetched when another entry has had a
// newer one for a while.
func (c *control) configurationReported(now time.Time, from state.InstanceID, version int64) {
	own := c.p.gateway.Configuration()
	if own == nil {
		return // asked for at intervals already
	}
	switch {
	case version > own.Version:
		if c.configurationBehind.ask(now, behindTime) {
			c.p.log.Info("configuration is newer elsewhere", zap.String("entry", string(from)),
				zap.Int64("version", version), zap.Int64("own", own.Version))
			c.askFor(from)
		}
	case version == own.Version:
		c.configurationBehind.caughtUp()
	}
}

// askFor has the list fetched from an entry.
func (c *control) askFor(from state.InstanceID) {
	select {
	case c.fetchNow <- from:
	default: // a fetch is due already
	}
}

// applyChange takes over a change of the list that another entry read at.
func (c *control) applyChange(now, at time.Time, m *mesh.Message) {
	c.mu.Lock()
	stale := c.hash != m.Change.From || !at.After(c.fresh) || m.ListNext < c.next
	c.mu.Unlock()
	if stale {
		return
	}
	records := changed(c.targets(), m.Change)
	if hashOf(records) != m.ListHash {
		c.p.log.Warn("change of the target list does not fit", zap.String("from", string(m.Instance)))
		c.askFor(m.Instance)
		return
	}
	c.takeOver(now, at, records, m.ListNext)
}

// takeOver puts the list of another entry into effect, which was current at and is
// complete up to offset next.
func (c *control) takeOver(now, at time.Time, records []state.TargetRecord, next uint64) {
	c.mu.Lock()
	c.fresh, c.next, c.adopted = at, next, true
	c.mu.Unlock()
	c.list.Adopt(records)
	c.publish(now)
}

// resume implements registry.Topic.Resume.
func (c *control) resume() (next uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, c.adopted = c.adopted, false
	return c.next, ok
}

// join writes this entry's record and learns the others.
func (c *control) join(ctx context.Context) error {
	value, err := platform.EncodeEntry(platform.EntryRecord{Address: netip.AddrPortFrom(c.p.settings.IP, c.p.settings.FirstPort).String()})
	if err != nil {
		return err
	}
	written := false
	for ctx.Err() == nil {
		if !written {
			err = c.p.store.Put(ctx, platform.EntryTopic, string(c.p.settings.Instance), value)
			written = err == nil
		}
		if written {
			var records []registry.Record
			if records, _, err = c.p.store.Newest(ctx, platform.EntryTopic); err == nil {
				c.learn(records)
				return nil
			}
		}
		c.p.log.Warn("entry record not exchanged", zap.Bool("written", written), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(joinPause):
		}
	}
	return nil
}

func (c *control) learn(records []registry.Record) {
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		id, entry, err := platform.DecodeEntry(r.Key, r.Value)
		if err != nil {
			c.p.log.Warn("entry record ignored", zap.Error(err))
			continue
		}
		a, err := netip.ParseAddrPort(entry.Address)
		if err != nil {
			c.p.log.Warn("entry record ignored", zap.String("entry", string(id)), zap.Error(err))
			continue
		}
		c.p.mesh.Learn(a)
	}
}

// leave removes this entry's record and tells the others.
func (c *control) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	if err := c.p.mesh.Leave(&mesh.Message{Instance: c.p.settings.Instance, Incarnation: c.p.incarnation}); err != nil {
		c.p.log.Warn("leave not told", zap.Error(err))
	}
	if err := c.p.store.Put(ctx, platform.EntryTopic, string(c.p.settings.Instance), nil); err != nil {
		c.p.log.Warn("entry record not removed", zap.Error(err))
	}
}

// fetch asks other entries while the store does not answer this one.
func (c *control) fetch(ctx context.Context) error {
	tick := time.NewTicker(fetchInterval)
	defer tick.Stop()
	for {
		var first state.InstanceID
		select {
		case <-ctx.Done():
			return nil
		case first = <-c.fetchNow:
		case <-tick.C:
			if !c.needsFetch() {
				continue
			}
		}
		s, from, err := c.p.mesh.Fetch(ctx, first, c.have())
		if err != nil {
			c.p.log.Debug("snapshot not fetched", zap.Error(err))
			continue
		}
		c.post(func(now time.Time) { c.adopt(now, s, from) })
	}
}

// needsFetch asks the control goroutine.
func (c *control) needsFetch() bool {
	reply := make(chan bool, 1)
	c.post(func(now time.Time) {
		needs := c.p.gateway.Configuration() == nil || c.targetCount() == 0
		for _, d := range c.stored {
			needs = needs || !d.failedSince.IsZero() && now.Sub(d.failedSince) > fetchAfter
		}
		reply <- needs
	})
	return <-reply
}

// adopt takes over what is newer in another entry's snapshot.
func (c *control) adopt(now time.Time, s *mesh.Snapshot, from netip.AddrPort) {
	if s.Configuration != nil {
		c.setConfiguration(s.Configuration, from.String())
	}
	if s.Bundle != nil {
		accepted, err := c.p.rollout.Offer(*s.Bundle, c.p.putPolicies)
		c.bundleOffered(accepted, from.String(), err)
	}
	at := now.Add(-s.Age - wayTime)
	c.mu.Lock()
	newer := at.After(c.fresh) && s.ListNext >= c.next
	same := s.ListHash == c.hash
	if newer && same {
		c.fresh = at
	}
	c.mu.Unlock()
	if newer && !same && len(s.Targets) > 0 {
		c.takeOver(now, at, s.Targets, s.ListNext)
	}
}
