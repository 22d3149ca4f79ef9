package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/claim"
	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
	"github.com/cassiaramp/cassiaramp/internal/coordination/placement"
	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// leaveLimit is the time after which a leaving target may receive no new work.
const leaveLimit = 3 * time.Second

var errDead = errors.New("process is dead")

// process is a process that can be killed and paused. A pause holds up
// everything that passes between it and the outside.
type process struct {
	ctx    context.Context
	kill   context.CancelFunc
	paused atomic.Int64 // Unix nanoseconds of the end of the pause
}

// gate waits while the process is paused and fails when it is dead.
func (p *process) gate(ctx context.Context) error {
	for {
		if p.ctx.Err() != nil {
			return errDead
		}
		left := time.Until(time.Unix(0, p.paused.Load()))
		if left <= 0 {
			return ctx.Err()
		}
		select {
		case <-time.After(left):
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ctx.Done():
		}
	}
}

func (p *process) pause(d time.Duration) { p.paused.Store(time.Now().Add(d).UnixNano()) }

// processLog is the log service as a process sees it.
type processLog struct {
	*process
	log *logtest.Log
}

func (l processLog) Append(ctx context.Context, stream string, e logstream.Entry) (uint64, error) {
	if err := l.gate(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", logstream.ErrNotAppended, err)
	}
	off, err := l.log.Append(ctx, stream, e)
	if err == nil {
		err = l.gate(ctx)
	}
	return off, err
}

func (l processLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	if err := l.gate(ctx); err != nil {
		return logstream.Page{}, err
	}
	page, err := l.log.Read(ctx, stream, from, limit, wait)
	if err == nil {
		err = l.gate(ctx)
	}
	return page, err
}

type entryProcess struct {
	process
	world       *world
	name        state.InstanceID
	incarnation state.Incarnation
	service     *entry.Service
	placer      *placement.Placer
	claims      *claim.Manager
	links       map[state.TargetID]*link
	bundle      atomic.Pointer[state.Bundle]
	seq         atomic.Uint64 // attempts reserved
}

type sideProcess struct {
	process
	incarnation state.Incarnation
	service     *side.Service
	left        atomic.Int64 // Unix nanoseconds of Leave; 0 while it stays
}

// checkLeft fails when work arrives later than allowed.
func (p *sideProcess) checkLeft(what string, g *ghost) {
	if left := p.left.Load(); left != 0 && time.Since(time.Unix(0, left)) > leaveLimit {
		g.fail("%s reached a target that said %s before that it leaves", what, time.Since(time.Unix(0, left)))
	}
}

// world holds the processes of one case.
type world struct {
	ghost   *ghost
	log     logtest.Log
	engines []*engine

	mu           sync.Mutex
	incarnations state.Incarnation
	entries      []*entryProcess // nil while down
	sides        []*sideProcess  // by target; nil while down
	bundle       *state.Bundle
	over         bool // nothing is started any more
}

func targetName(slot int) state.TargetID { return state.TargetID(fmt.Sprint("t", slot)) }

// newBundle returns the bundle with the given version; shape varies its limits.
func newBundle(version uint64, shape int) *state.Bundle {
	return &state.Bundle{
		Version: version,
		Tiers:   []state.TierPolicy{{Name: "high", Timeout: 1}, {Name: "middle", Timeout: 1, Reserve: shape % 2}, {Name: "low", Timeout: 1, Reserve: shape % 2}},
		Customers: []state.CustomerPolicy{
			{Name: "c", RequestsPerSecond: 1000, Burst: 1000, Weight: 1, HighestTier: "high"},
			{Name: "d", RequestsPerSecond: 1000, Burst: 1000, Weight: 2, HighestTier: "high"},
		},
		Services: []state.ServicePolicy{{Name: "svc", Kind: state.EngineService, Models: []string{"m"}, DefaultTier: "low"}},
		Policies: map[string]state.PlacementPolicy{"p": {
			Filters: []string{"serves-model", "ready", "not-tried"},
			Scorers: []state.WeightedScorer{{Name: "predicted-delay", Weight: 1}},
			Picker:  []string{"best", "round-robin", "power-of-two"}[shape%3],
		}},
		Split: []state.PolicyShare{{Policy: "p", Share: 1}},
		Queue: state.QueuePolicy{MaxCount: 1 + shape%4, MaxTokens: 4000, MaxWindow: 2 + shape%2, TokenGap: state.Duration(100 * time.Millisecond)},
		Retry: state.RetryPolicy{
			BudgetRatio: 1, BudgetMax: 10, Placements: 4,
			BackoffBase: state.Duration(50 * time.Millisecond), BackoffMax: state.Duration(time.Second),
		},
	}
}

func newWorld(g *ghost, entries, sides, shape int) *world {
	w := &world{ghost: g, entries: make([]*entryProcess, entries), sides: make([]*sideProcess, sides), bundle: newBundle(1, shape)}
	for slot := range sides {
		w.engines = append(w.engines, newEngine(g, targetName(slot), time.Duration(20+60*slot)*time.Millisecond))
		w.startSide(slot)
	}
	for i := range entries {
		w.startEntry(i)
	}
	return w
}

func (w *world) side(slot int) *sideProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sides[slot]
}

func (w *world) entry(i int) *entryProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i]
}

// members returns the instance list.
func (w *world) members() []state.Member {
	var list []state.Member
	for slot := range w.sides {
		list = append(list, state.Member{Instance: state.InstanceID(fmt.Sprint("s", slot)), Role: state.SideRole, Address: "a", Target: targetName(slot), Service: "svc"})
	}
	return list
}

// list gives a changed instance list to one entry for a while.
func (w *world) list(ev event, change func(m []state.Member, slot int) []state.Member) {
	e := w.entry(ev.i % len(w.entries))
	if e == nil {
		return
	}
	e.placer.SetMembers(change(w.members(), ev.i/len(w.entries)%len(w.sides)))
	time.AfterFunc(ev.d, func() { e.placer.SetMembers(w.members()) })
}

func (w *world) startEntry(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries[i] != nil || w.over {
		return
	}
	w.incarnations++
	e := &entryProcess{world: w, name: state.InstanceID(fmt.Sprint("e", i)), incarnation: w.incarnations, links: make(map[state.TargetID]*link)}
	e.ctx, e.kill = context.WithCancel(context.Background())
	for slot := range w.sides {
		e.links[targetName(slot)] = &link{entry: e, slot: slot, dialing: make(chan struct{}, 1)}
	}
	e.placer = placement.New(placement.Config{Entry: e.name, Seed: uint64(i), Connector: connector{e}})
	e.claims = claim.NewManager(claim.Config{
		Log: processLog{&e.process, &w.log}, Partitions: 1, Retention: time.Hour, Logger: zap.NewNop(),
	})
	e.service = entry.New(entry.Config{
		Peers: e, Claims: e.claims, Placer: e.placer, Bundle: e.bundle.Load, MaxOpen: 24, Log: zap.NewNop(),
	})
	e.setBundle(w.bundle)
	e.placer.SetMembers(w.members())
	go e.placer.Run(e.ctx)
	go e.claims.Run(e.ctx)
	w.entries[i] = e
}

func (e *entryProcess) setBundle(b *state.Bundle) {
	e.bundle.Store(b)
	if err := e.placer.SetBundle(b); err != nil {
		e.world.ghost.fail("bundle: %v", err)
	}
}

// connector implements placement.Connector.
type connector struct{ *entryProcess }

func (connector) SetAddress(state.Member, bool) {}
func (c connector) Forget(target state.TargetID) {
	if s := c.links[target].live(); s != nil {
		s.fail(errors.New("target removed"))
	}
}
func (c connector) Connect(target state.TargetID) {
	go func() { _, _ = c.links[target].session(c.ctx) }()
}

func (w *world) startSide(slot int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sides[slot] != nil || w.over {
		return
	}
	w.incarnations++
	p := &sideProcess{incarnation: w.incarnations}
	p.ctx, p.kill = context.WithCancel(context.Background())
	p.service = side.New(side.Config{
		Instance: state.InstanceID(fmt.Sprint("s", slot)), Incarnation: p.incarnation, Target: targetName(slot), Service: "svc", Log: zap.NewNop(),
	}, &runner{engine: w.engines[slot], process: p})
	go p.service.Run(p.ctx)
	p.service.SetBundle(w.bundle)
	w.sides[slot] = p
}

func (w *world) killEntry(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries[i] != nil {
		w.entries[i].kill()
	}
	w.entries[i] = nil
}

// stopEntry stops an entry as planned: it must be drained once the deadlines of
// its open requests have passed.
func (w *world) stopEntry(i int, restart time.Duration) {
	e := w.entry(i)
	if e == nil {
		return
	}
	e.service.StopAccepting()
	go func() {
		select {
		case <-e.service.Drained():
			w.mu.Lock()
			current := w.entries[i] == e
			w.mu.Unlock()
			if current {
				w.killEntry(i)
				time.Sleep(restart)
				w.startEntry(i)
			}
		case <-time.After(maxTimeout + endGrace):
			if e.ctx.Err() == nil {
				w.ghost.fail("entry %s has %d open requests long after it was stopped", e.name, e.service.OpenRequests())
			}
		}
	}()
}

// killSide ends p if it is still the side process of the slot, after a planned
// stop or as a crash.
func (w *world) killSide(slot int, p *sideProcess, planned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p != nil && w.sides[slot] == p {
		if !planned && p.left.Load() != 0 {
			w.ghost.crashed.Store(true)
		}
		p.kill()
		w.sides[slot] = nil
	}
}

// leave stops the side process of the slot as planned.
func (w *world) leave(slot int, restart time.Duration) {
	p := w.side(slot)
	if p == nil {
		return
	}
	p.left.CompareAndSwap(0, time.Now().UnixNano())
	p.service.Leave()
	go func() {
		select {
		case <-p.service.Drained():
			w.killSide(slot, p, true)
			time.Sleep(restart)
			w.startSide(slot)
		case <-p.ctx.Done():
		}
	}()
}

// publish gives a new bundle to every process, to each after its own delay.
func (w *world) publish(shape int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := newBundle(w.bundle.Version+1, shape)
	w.bundle = b
	for _, p := range w.sides {
		if p != nil {
			p.service.SetBundle(b)
		}
	}
	for _, e := range w.entries {
		if e != nil {
			e.setBundle(b)
		}
	}
}
