package daemon

import (
	"context"
	"net/netip"
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

func (c *control) run(ctx context.Context) error {
	for _, seed := range c.p.settings.Seeds {
		c.p.mesh.AddAddress(netip.AddrPortFrom(seed.Addr(), c.p.settings.FirstPort))
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.loop(ctx) })
	group.Go(func() error { return c.join(ctx) })
	group.Go(func() error {
		return registry.Follow(ctx, c.p.store, registry.Topic{Name: platform.ConfigurationTopic, ReadWait: configurationWait},
			&topicHandler{control: c, name: platform.ConfigurationTopic, apply: c.applyConfiguration})
	})
	group.Go(func() error {
		return registry.Follow(ctx, c.p.store, registry.Topic{Name: platform.TargetTopic, ReadInterval: targetInterval, SkipRead: c.skipRead, ResumeFrom: c.resume},
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
		c.list.StoreFailed()
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
		c.list.StoreAnswered(now)
		c.mu.Lock()
		c.read = now
		if now.After(c.fresh) {
			c.fresh = now
		}
		c.mu.Unlock()
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
