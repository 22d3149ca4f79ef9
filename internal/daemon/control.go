package daemon

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/coordination/targetlist"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// configurationReadWait is how long a read of the configuration waits at the store
	// for a new record.
	configurationReadWait = 20 * time.Second
	// configurationCheckInterval is the pause between reads of the configuration that do
	// not wait. The store may leave the waiting reads of all entries unanswered. Together
	// with a report to the other entries and their fetch, it stays below the 2 s after
	// which a configuration must be in effect.
	configurationCheckInterval = 1200 * time.Millisecond
	// configurationCheck is the name of these reads in logs and metrics.
	configurationCheck = platform.ConfigurationTopic + " (check)"
	// targetReadInterval is the pause between reads of the list of targets. Together
	// with the duration of a read, it stays well below the 2 s after which a leaving
	// target must get no more work.
	targetReadInterval   = 900 * time.Millisecond
	removalCheckInterval = 250 * time.Millisecond // between checks whether pending removals are due
)

// control keeps what the entry knows from the platform's store or, during an outage
// of the store, from other entries. One goroutine runs the events that the others
// post, and only it changes the configuration, the list of targets and the bundle.
type control struct {
	p      *gatewayProcess
	events chan func(now time.Time)
	// loopEnded is closed when no further event is run.
	loopEnded chan struct{}

	// list is used by the goroutine of loop only.
	list *targetlist.List

	fetchRequests chan state.InstanceID // the entry to ask first
	mixedDue      chan struct{}         // has an element when the services with several origins may have changed

	mu sync.Mutex // guards the fields below, except the throttles
	// topics has the state of each topic by name. Only the goroutine of loop changes it.
	topics map[string]*topicState
	// storeEra is the era of the latest response of the store, 0 if it has stated none.
	// storeRestored is closed and replaced when the store has come back in another one.
	storeEra      uint64
	storeRestored chan struct{}
	reportedEra   uint64               // highest one that another entry has reported
	listCurrentAt time.Time            // latest time for which the list of targets is known to be current
	listReadAt    time.Time            // when it was last read from the store here
	next          keyedtopic.Position  // up to which the list is complete
	listAdopted   bool                 // the list came from another entry since the last read
	listHash      uint64               // of the published list
	published     []state.TargetRecord // never changed in place
	lastChange    *mesh.ListChange     // the last one that was published
	lastChangeAt  time.Time
	drained       map[state.InstanceID]map[state.Service]uint64 // see noteDrained
	// Decide when to fetch a newer version that other entries report.
	configurationFetches, bundleFetches fetchThrottle
	hasPendingRemovals                  bool // removals are pending after an outage

	// ordersListed says that the orders of roll-outs were read from the store once, and
	// plansLoaded that the plans for them are known too.
	ordersListed, plansLoaded atomic.Bool
}

// topicState is what is known of the reads of a topic.
type topicState struct {
	failedSince time.Time // zero: the last read succeeded
	answeredAt  time.Time // when the last read succeeded
	next        keyedtopic.Position
}

func newControl(p *gatewayProcess) *control {
	return &control{
		p: p, events: make(chan func(time.Time), 64), loopEnded: make(chan struct{}), fetchRequests: make(chan state.InstanceID, 1), mixedDue: make(chan struct{}, 1), list: targetlist.New(),
		topics: make(map[string]*topicState), drained: make(map[state.InstanceID]map[state.Service]uint64), storeRestored: make(chan struct{}),
	}
}

// targets returns the published list, which must not be changed.
func (c *control) targets() []state.TargetRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.published
}

// targetCount returns the number of targets in the published list.
func (c *control) targetCount() int { return len(c.targets()) }

// run follows the store's topics, exchanges entry records and handles events until ctx
// ends.
func (c *control) run(ctx context.Context) error {
	for _, seed := range c.p.settings.Seeds {
		c.p.mesh.AddAddress(netip.AddrPortFrom(seed.Addr(), c.p.settings.FirstPort))
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.loop(ctx) })
	group.Go(func() error { return c.join(ctx) })
	group.Go(func() error { return c.shareMixedServices(ctx) })
	group.Go(func() error { return c.sharePromptParts(ctx) })
	group.Go(func() error { return c.keepOwnRecords(ctx) })
	group.Go(func() error { return c.storeLevels(ctx) })
	if c.p.rollouts != nil {
		group.Go(func() error { return c.shareRollouts(ctx) })
	}
	group.Go(func() error {
		return keyedtopic.Follow(ctx, c.p.store, keyedtopic.Topic{Name: platform.ConfigurationTopic, ReadWait: configurationReadWait, Era: c.knownEra},
			&topicHandler{control: c, name: platform.ConfigurationTopic, apply: c.applyConfiguration})
	})
	group.Go(func() error {
		return keyedtopic.Follow(ctx, c.p.store, keyedtopic.Topic{Name: platform.TargetTopic, ReadInterval: targetReadInterval, SkipRead: c.skipTargetRead, ResumeFrom: c.resumeFrom},
			&topicHandler{control: c, name: platform.TargetTopic, apply: c.applyTargets})
	})
	group.Go(func() error {
		return keyedtopic.Follow(ctx, c.p.store, keyedtopic.Topic{Name: platform.ConfigurationTopic, ReadInterval: configurationCheckInterval, SkipRead: c.othersReadStore},
			&topicHandler{control: c, name: configurationCheck, apply: c.applyConfiguration})
	})
	if c.p.followsBundles {
		group.Go(func() error { return c.followBundles(ctx) })
	}
	group.Go(func() error { return c.fetchLoop(ctx) })
	return group.Wait()
}

// loop is the goroutine that runs posted events. It also publishes the list when
// pending removals may be due.
func (c *control) loop(ctx context.Context) error {
	removalCheck := time.NewTicker(removalCheckInterval)
	defer removalCheck.Stop()
	defer close(c.loopEnded)
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-c.events:
			event(time.Now())
		case now := <-removalCheck.C:
			c.publish(now)
		}
	}
}

// post hands an event to the goroutine of loop. It blocks while the queue is full, and drops
// the event once that goroutine has ended.
func (c *control) post(event func(time.Time)) {
	select {
	case c.events <- event:
	case <-c.loopEnded:
	}
}

// topicHandler implements keyedtopic.Handler for one topic. It posts the topic's records
// and failures to the goroutine of control.loop.
type topicHandler struct {
	control *control
	name    string
	apply   func(now time.Time, listed bool, records []keyedtopic.Record, next keyedtopic.Position)
}

// Listed implements keyedtopic.Handler.
func (h *topicHandler) Listed(_ time.Time, records []keyedtopic.Record, next keyedtopic.Position) {
	h.deliver(true, records, next)
}

// Changed implements keyedtopic.Handler.
func (h *topicHandler) Changed(_ time.Time, records []keyedtopic.Record, next keyedtopic.Position) {
	h.deliver(false, records, next)
}

func (h *topicHandler) deliver(listed bool, records []keyedtopic.Record, next keyedtopic.Position) {
	h.control.post(func(now time.Time) {
		h.control.topicAnswered(now, h.name, next)
		h.apply(now, listed, records, next)
	})
}

// Failed implements keyedtopic.Handler.
func (h *topicHandler) Failed(_ time.Time, err error) {
	h.control.post(func(now time.Time) { h.control.topicFailed(now, h.name, err) })
}

// topicFailed records that a read of a topic failed, and logs the first failure.
func (c *control) topicFailed(now time.Time, topic string, err error) {
	d := c.topicState(topic)
	if topic == platform.TargetTopic {
		c.list.StoreFailed()
	}
	if d.failedSince.IsZero() {
		d.failedSince = now
		c.p.counters.Add("store_lost")
		c.p.log.Warn("dependency lost", zap.String("dependency", "store"), zap.String("topic", topic), zap.Error(err))
	}
}

// topicAnswered records that a read of a topic succeeded and continues at next. It logs
// the end of an outage and a change of the store's era.
func (c *control) topicAnswered(now time.Time, topic string, next keyedtopic.Position) {
	d := c.topicState(topic)
	if before := d.next; !d.answeredAt.IsZero() && before.Era != next.Era {
		c.p.counters.Add("store_era_changed")
		c.p.log.Warn("era of the store changed", zap.String("topic", topic), zap.Uint64("from_era", before.Era), zap.Uint64("from_offset", before.Offset),
			zap.Uint64("era", next.Era), zap.Uint64("offset", next.Offset), zap.Duration("last_answer", now.Sub(d.answeredAt)))
	}
	c.observeEra(next.Era)
	if c.p.rollouts != nil {
		c.p.rollouts.StoreReached(now)
	}
	c.mu.Lock()
	d.answeredAt, d.next = now, next
	c.mu.Unlock()
	if !d.failedSince.IsZero() {
		c.p.log.Info("dependency regained", zap.String("dependency", "store"), zap.String("topic", topic),
			zap.Duration("lost_for", now.Sub(d.failedSince)))
		d.failedSince = time.Time{}
	}
	if topic == platform.TargetTopic {
		c.list.StoreAnswered(now)
		c.mu.Lock()
		c.listReadAt = now
		if now.After(c.listCurrentAt) {
			c.listCurrentAt = now
		}
		c.mu.Unlock()
	}
}

// observeEra records the era of a response of the store. In a new era, all topics are
// listed anew, because their offsets are given out again.
func (c *control) observeEra(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era == 0 || era == c.storeEra {
		return
	}
	if c.storeEra != 0 {
		c.relist()
	}
	c.storeEra = era
}

// era returns the era of the latest response of the store, 0 if it has stated none.
func (c *control) era() uint64 {
	era, _ := c.knownEra()
	return era
}

// onEraReport handles the era that another entry reports. If it is higher than the one
// known here, the waiting reads may be of an offset that was given out again.
func (c *control) onEraReport(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > max(c.storeEra, c.reportedEra) && c.storeEra != 0 {
		c.reportedEra = era
		c.relist()
	}
}

// relist ends the waiting reads of topics, which are then listed anew. The caller must
// hold c.mu.
func (c *control) relist() {
	close(c.storeRestored)
	c.storeRestored = make(chan struct{})
}

// knownEra implements keyedtopic.Topic.Era.
func (c *control) knownEra() (era uint64, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeEra, c.storeRestored
}

func (c *control) topicState(topic string) *topicState {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.topics[topic]
	if d == nil {
		d = &topicState{}
		c.topics[topic] = d
	}
	return d
}

// topicReading is the published state of the reads of a topic.
type topicReading struct {
	Era        uint64 `json:"era"`
	NextOffset uint64 `json:"next_offset"`
	AgeMillis  int64  `json:"age_ms"` // since the last answer of the store
}

// topicReadings returns the state of the reads of all topics, for the metrics.
func (c *control) topicReadings() map[string]topicReading {
	c.mu.Lock()
	defer c.mu.Unlock()
	readings := make(map[string]topicReading, len(c.topics))
	for name, t := range c.topics {
		if !t.answeredAt.IsZero() {
			readings[name] = topicReading{Era: t.next.Era, NextOffset: t.next.Offset, AgeMillis: time.Since(t.answeredAt).Milliseconds()}
		}
	}
	return readings
}
