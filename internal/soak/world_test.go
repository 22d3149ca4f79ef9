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

// maxWorkAfterLeaving is how long a target that has announced that it leaves may
// still receive new work.
const maxWorkAfterLeaving = 3 * time.Second

var errProcessDead = errors.New("process is dead")

// process is the life cycle of a simulated process, which can be killed and
// paused. A paused process keeps computing, but everything that passes between it
// and its environment is held up, since that goes through waitRunnable.
type process struct {
	ctx         context.Context // ends when the process is killed
	kill        context.CancelFunc
	pausedUntil atomic.Int64 // Unix nanoseconds of the end of the pause
}

// waitRunnable waits while the process is paused. It fails when the process has
// been killed or ctx ends.
func (p *process) waitRunnable(ctx context.Context) error {
	for {
		if p.ctx.Err() != nil {
			return errProcessDead
		}
		remaining := time.Until(time.Unix(0, p.pausedUntil.Load()))
		if remaining <= 0 {
			return ctx.Err()
		}
		select {
		case <-time.After(remaining):
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ctx.Done():
		}
	}
}

func (p *process) pause(d time.Duration) { p.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

// processLog is the log service as seen by a process, whose pauses delay requests
// and responses.
type processLog struct {
	*process
	log *logtest.Log
}

func (l processLog) Append(ctx context.Context, stream string, e logstream.Entry) (uint64, error) {
	if err := l.waitRunnable(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", logstream.ErrNotAppended, err)
	}
	off, err := l.log.Append(ctx, stream, e)
	if err == nil {
		err = l.waitRunnable(ctx)
	}
	return off, err
}

func (l processLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	if err := l.waitRunnable(ctx); err != nil {
		return logstream.Page{}, err
	}
	page, err := l.log.Read(ctx, stream, from, limit, wait)
	if err == nil {
		err = l.waitRunnable(ctx)
	}
	return page, err
}

// entryProcess is an entry. It implements entry.Peers.
type entryProcess struct {
	process
	world          *world
	name           state.InstanceID
	incarnation    state.Incarnation
	service        *entry.Service
	placer         *placement.Placer
	claims         *claim.Manager
	links          map[state.TargetID]*link
	bundle         atomic.Pointer[state.Bundle]
	lastAttemptSeq atomic.Uint64 // number of the last attempt reserved
}

// sideProcess is the side process beside one target.
type sideProcess struct {
	process
	incarnation  state.Incarnation
	service      *side.Service
	leavingSince atomic.Int64 // Unix nanoseconds; 0 if it is not leaving
}

// checkNewWork reports a failure if new work arrives later than
// maxWorkAfterLeaving after the process began to leave.
func (p *sideProcess) checkNewWork(what string, g *ghost) {
	if leavingSince := p.leavingSince.Load(); leavingSince != 0 && time.Since(time.Unix(0, leavingSince)) > maxWorkAfterLeaving {
		g.fail("%s reached a target %s after it announced that it leaves", what, time.Since(time.Unix(0, leavingSince)))
	}
}

// world holds the processes of one case of the property about requests. Targets,
// their engines and their side processes share an index, called slot.
type world struct {
	ghost   *ghost
	log     logtest.Log
	engines []*engine

	mu           sync.Mutex
	incarnations state.Incarnation
	entries      []*entryProcess // nil while down
	sides        []*sideProcess  // by slot; nil while down
	bundle       *state.Bundle
	stopped      bool // no process is started any more
}

func targetName(slot int) state.TargetID { return state.TargetID(fmt.Sprint("t", slot)) }

// newBundle returns a bundle with the given version. variant selects the tiers'
// reserves, the queue limits and the picker.
func newBundle(version uint64, variant int) *state.Bundle {
	return &state.Bundle{
		Version: version,
		Tiers:   []state.TierPolicy{{Name: "high", Timeout: 1}, {Name: "middle", Timeout: 1, Reserve: variant % 2}, {Name: "low", Timeout: 1, Reserve: variant % 2}},
		Customers: []state.CustomerPolicy{
			{Name: "c", RequestsPerSecond: 1000, Burst: 1000, Weight: 1, HighestTier: "high"},
			{Name: "d", RequestsPerSecond: 1000, Burst: 1000, Weight: 2, HighestTier: "high"},
		},
		Services: []state.ServicePolicy{{Name: "svc", Kind: state.EngineService, Models: []string{"m"}, DefaultTier: "low"}},
		Policies: map[string]state.PlacementPolicy{"p": {
			Filters: []string{"serves-model", "ready", "not-tried"},
			Scorers: []state.WeightedScorer{{Name: "predicted-delay", Weight: 1}},
			Picker:  []string{"best", "round-robin", "power-of-two"}[variant%3],
		}},
		Split: []state.PolicyShare{{Policy: "p", Share: 1}},
		Queue: state.QueuePolicy{MaxCount: 1 + variant%4, MaxTokens: 4000, MaxWindow: 2 + variant%2, TokenGap: state.Duration(100 * time.Millisecond)},
		Retry: state.RetryPolicy{
			BudgetRatio: 1, BudgetMax: 10, Placements: 4,
			BackoffBase: state.Duration(50 * time.Millisecond), BackoffMax: state.Duration(time.Second),
		},
	}
}

func newWorld(g *ghost, entries, sides, variant int) *world {
	w := &world{ghost: g, entries: make([]*entryProcess, entries), sides: make([]*sideProcess, sides), bundle: newBundle(1, variant)}
	for slot := range sides {
		w.engines = append(w.engines, newEngine(g, targetName(slot), time.Duration(20+60*slot)*time.Millisecond))
		w.startSide(slot)
	}
	for i := range entries {
		w.startEntry(i)
	}
	return w
}

func (w *world) sideAt(slot int) *sideProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sides[slot]
}

func (w *world) entryAt(i int) *entryProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i]
}

// members returns the complete instance list.
func (w *world) members() []state.Member {
	var list []state.Member
	for slot := range w.sides {
		list = append(list, state.Member{Instance: state.InstanceID(fmt.Sprint("s", slot)), Role: state.SideRole, Address: "a", Target: targetName(slot), Service: "svc"})
	}
	return list
}

// changeMembers gives a changed instance list to the entry selected by the event,
// and the complete list again after the event's duration.
func (w *world) changeMembers(ev event, change func(m []state.Member, slot int) []state.Member) {
	e := w.entryAt(ev.index % len(w.entries))
	if e == nil {
		return
	}
	e.placer.SetMembers(change(w.members(), ev.index/len(w.entries)%len(w.sides)))
	time.AfterFunc(ev.duration, func() { e.placer.SetMembers(w.members()) })
}

func (w *world) startEntry(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries[i] != nil || w.stopped {
		return
	}
	w.incarnations++
	e := &entryProcess{world: w, name: state.InstanceID(fmt.Sprint("e", i)), incarnation: w.incarnations, links: make(map[state.TargetID]*link)}
	e.ctx, e.kill = context.WithCancel(context.Background())
	for slot := range w.sides {
		e.links[targetName(slot)] = &link{entry: e, slot: slot, dialToken: make(chan struct{}, 1)}
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
	if s := c.links[target].liveSession(); s != nil {
		s.fail(errors.New("target removed"))
	}
}
func (c connector) Connect(target state.TargetID) {
	go func() { _, _ = c.links[target].ensureSession(c.ctx) }()
}

func (w *world) startSide(slot int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sides[slot] != nil || w.stopped {
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

// stopEntry stops an entry as planned and starts it again after restartDelay. The
// entry must be drained once the deadlines of its open requests have passed.
func (w *world) stopEntry(i int, restartDelay time.Duration) {
	e := w.entryAt(i)
	if e == nil {
		return
	}
	e.service.StopAccepting()
	go func() {
		select {
		case <-e.service.Drained():
			w.mu.Lock()
			stillCurrent := w.entries[i] == e
			w.mu.Unlock()
			if stillCurrent {
				w.killEntry(i)
				time.Sleep(restartDelay)
				w.startEntry(i)
			}
		case <-time.After(maxRequestTimeout + endGrace):
			if e.ctx.Err() == nil {
				w.ghost.fail("entry %s still has %d open requests after the deadlines of all requests and the grace time have passed since it was stopped", e.name, e.service.OpenRequests())
			}
		}
	}()
}

// killSide ends p if it is still the side process of the slot. planned tells that
// p has drained after stopSide; otherwise this is a crash.
func (w *world) killSide(slot int, p *sideProcess, planned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p != nil && w.sides[slot] == p {
		if !planned && p.leavingSince.Load() != 0 {
			w.ghost.killedWhileLeaving.Store(true)
		}
		p.kill()
		w.sides[slot] = nil
	}
}

// stopSide stops the side process of the slot as planned and starts it again
// restartDelay after it has drained.
func (w *world) stopSide(slot int, restartDelay time.Duration) {
	p := w.sideAt(slot)
	if p == nil {
		return
	}
	p.leavingSince.CompareAndSwap(0, time.Now().UnixNano())
	p.service.Leave()
	go func() {
		select {
		case <-p.service.Drained():
			w.killSide(slot, p, true)
			time.Sleep(restartDelay)
			w.startSide(slot)
		case <-p.ctx.Done():
		}
	}()
}

// publishBundle gives the next bundle version to every running process at once.
func (w *world) publishBundle(variant int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := newBundle(w.bundle.Version+1, variant)
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
