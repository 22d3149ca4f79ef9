package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// crashPart is the part of a prompt that crashes each engine that begins to answer it.
	crashPart = "crash"
	// An engine that has crashed is back after restartTime, under a new identifier.
	restartTime = 3 * time.Second
	// What the users tolerate: learnTime after the fifth crash, at most toleratedCrashers
	// more requests with the part reach engines.
	learnTime         = 3 * time.Second
	toleratedCrashers = 3
)

// crashEngine is one engine. It runs until it is crashed.
type crashEngine struct {
	record  state.TargetRecord
	starts  int
	crashed chan struct{} // closed when it crashes; nil while it is down
}

// crashEngines are engines that a part of a prompt crashes. They implement TargetClient.
type crashEngines struct {
	t       *testing.T
	mu      sync.Mutex
	random  *rand.Rand
	engines []*crashEngine
	// changed is called with the list of engines when it changes.
	changed func([]state.TargetRecord)
	// crashes reports whether a call crashes each engine that begins to run it.
	crashes func(*state.Call) bool
	// eventsBeforeCrash is the number of events that such a call brings before.
	eventsBeforeCrash int
	crashTimes        []time.Time // of the crashes under such calls
	// reached is when requests with the part reached engines, without those of entries that
	// were started less than learnTime before.
	reached   []time.Time
	startedAt map[state.RequestID]time.Time // of the entry, by request
	healed    bool                          // the part crashes nothing any more
	// headTime is the time to the head of a response, 0: drawn for each; eventTime is that to
	// each event, and downTime that from a crash to the restart.
	headTime, eventTime, downTime time.Duration
	// accepting says that the addresses of engines that are down accept connections and
	// reset them.
	accepting bool
}

func newCrashEngines(t *testing.T, seed uint64, n int, changed func([]state.TargetRecord)) *crashEngines {
	c := &crashEngines{t: t, random: rand.New(rand.NewPCG(seed, 3)), changed: changed, startedAt: make(map[state.RequestID]time.Time), crashes: hasCrashPart,
		eventTime: 30 * time.Millisecond, downTime: restartTime}
	for i := range n {
		c.engines = append(c.engines, &crashEngine{record: state.TargetRecord{Service: "s", Address: fmt.Sprint("engine-", i), Slots: 9}})
		c.startEngine(c.engines[i])
	}
	return c
}

func hasCrashPart(c *state.Call) bool {
	return slices.ContainsFunc(c.Prompt, func(p state.PromptPart) bool { return p.ID == crashPart })
}

// startEngine starts an engine and lists it. The caller must not hold c.mu.
func (c *crashEngines) startEngine(e *crashEngine) {
	c.mu.Lock()
	e.starts++
	e.crashed = make(chan struct{})
	e.record.ID = state.TargetID(fmt.Sprintf("%s-run-%d", e.record.Address, e.starts))
	e.record.Started = time.Now().UnixMilli()
	var list []state.TargetRecord
	for _, e := range c.engines {
		list = append(list, e.record)
	}
	c.mu.Unlock()
	c.changed(list)
}

// crash ends the engine's process, unless it has ended or been started again since.
func (c *crashEngines) crash(e *crashEngine, running chan struct{}) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.crashed != running {
		return false
	}
	close(running)
	e.crashed = nil
	time.AfterFunc(c.downTime, func() {
		if c.t.Context().Err() == nil {
			c.startEngine(e)
		}
	})
	return true
}

// crashSome crashes a number of engines for a reason that is in no request.
func (c *crashEngines) crashSome(n int) {
	for _, i := range c.random.Perm(len(c.engines))[:n] {
		c.crashEngine(c.engines[i])
	}
}

// Refuses implements TargetClient.
func (c *crashEngines) Refuses(_ context.Context, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(address).crashed == nil && !c.accepting
}

// Closes implements TargetClient.
func (c *crashEngines) Closes(_ context.Context, address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.find(address).crashed == nil
}

// IdleClosedAt implements TargetClient.
func (c *crashEngines) IdleClosedAt(state.TargetID, string) time.Time { return time.Time{} }

// CheckRunning implements TargetClient.
func (c *crashEngines) CheckRunning(ctx context.Context, target *state.TargetRecord, _ string) RunCheck {
	switch {
	case c.Refuses(ctx, target.Address):
		return RunCheck{Liveness: Ended}
	case c.Closes(ctx, target.Address):
		return RunCheck{Liveness: Unproved}
	}
	return RunCheck{Liveness: Running}
}

func (c *crashEngines) find(address string) *crashEngine {
	for _, e := range c.engines {
		if e.record.Address == address {
			return e
		}
	}
	return nil
}

// Send implements TargetClient.
func (c *crashEngines) Send(ctx context.Context, f *Forward) (Exchange, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.find(f.Target.Address)
	if e.crashed == nil && c.accepting {
		return resetExchange{}, nil
	}
	if e.crashed == nil {
		return nil, fmt.Errorf("%w: connection refused", ErrNotSent)
	}
	x := &crashExchange{ctx: ctx, engines: c, engine: e, running: e.crashed, wait: time.Duration(20+c.random.IntN(60)) * time.Millisecond, events: 8}
	if c.headTime > 0 {
		x.wait = c.headTime
	}
	x.crashes = !c.healed && c.crashes(f.Call)
	if x.crashes && time.Since(c.startedAt[f.Call.ID]) > learnTime {
		c.reached = append(c.reached, time.Now())
	}
	return x, nil
}

// resetExchange is a request on a connection that was accepted and is reset.
type resetExchange struct{}

func (resetExchange) Head() (*state.Response, error) { return nil, syscall.ECONNRESET }
func (resetExchange) Read([]byte) (int, error)       { return 0, syscall.ECONNRESET }
func (resetExchange) Close(bool)                     {}

// crashExchange is a request at a crashEngine. Its response begins after wait and has an
// event after each eventTime, unless the engine crashes.
type crashExchange struct {
	ctx     context.Context
	engines *crashEngines
	engine  *crashEngine
	running chan struct{}
	wait    time.Duration
	crashes bool
	events  int
	unread  string
}

// sleep waits, and fails if the engine crashes or the request ends meanwhile.
func (x *crashExchange) sleep(d time.Duration) error {
	select {
	case <-x.running:
		return io.ErrUnexpectedEOF
	case <-x.ctx.Done():
		return x.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (x *crashExchange) Head() (*state.Response, error) {
	return &state.Response{Status: 200, HasSignature: true}, x.sleep(x.wait)
}

func (x *crashExchange) Read(p []byte) (int, error) {
	if x.unread == "" {
		if x.events == 0 {
			return 0, io.EOF
		}
		if err := x.sleep(x.engines.eventTime); err != nil {
			return 0, err
		}
		if x.crashes && 8-x.events >= x.engines.eventsBeforeCrash {
			if x.engines.crash(x.engine, x.running) {
				x.engines.mu.Lock()
				x.engines.crashTimes = append(x.engines.crashTimes, time.Now())
				x.engines.mu.Unlock()
			}
			return 0, io.ErrUnexpectedEOF
		}
		x.unread = fmt.Sprintf("id: %d\ndata: x\n\n", 9-x.events)
		x.events--
	}
	n := copy(p, x.unread)
	x.unread = x.unread[n:]
	return n, nil
}

func (x *crashExchange) Close(bool) {}

// startedResponder records whether a response began.
type startedResponder struct {
	recordingResponder
	began bool
}

func (r *startedResponder) BeginStream(h *state.Response) error {
	r.began = true
	return r.recordingResponder.BeginStream(h)
}

func (r *startedResponder) Respond(h *state.Response, body []byte) error {
	r.began = true
	return r.recordingResponder.Respond(h, body)
}

// crashFleet is a number of entries before crashEngines.
type crashFleet struct {
	*crashEngines
	entries []*Service
	// unheard says which entries send and receive no reports.
	unheard map[int]bool
	reports int
	// reportDelay is the time that a report is on the way at most.
	reportDelay time.Duration
	// learnAfter is the number of crashes from which learnTime counts.
	learnAfter int
	// kept is what two entries have written to the store.
	kept   map[int]keptBlocks
	starts []time.Time // of the entries
	group  sync.WaitGroup
	sent   int
	// sound counts the sound requests that share customer and first part with those that
	// crash engines, by the time at which they were sent, and began those of them whose
	// response began at the first attempt.
	sound, began map[time.Duration]int
	start        time.Time
	soundMu      sync.Mutex
}

// keptBlocks are the blocks that an entry has written to the store at a time.
type keptBlocks struct {
	at     time.Time
	blocks []quarantine.BlockNote
}

func newCrashFleet(t *testing.T, seed uint64, entries, engines int) *crashFleet {
	t.Helper()
	f := &crashFleet{learnAfter: 5, reportDelay: 50 * time.Millisecond, kept: make(map[int]keptBlocks), sound: make(map[time.Duration]int), began: make(map[time.Duration]int), start: time.Now()}
	for i := range entries {
		s := newSeededService(nil, seed*100+uint64(i))
		s.cfg.Quarantine = f.newQuarantine(i, entries)
		stream := route("stream", "/stream/", state.StreamingRoute, true, 2)
		stream.Timeout, stream.Objective = 8*time.Second, 800*time.Millisecond
		once := route("once", "/once/", state.StreamingRoute, false, 1)
		once.Timeout, once.Objective = stream.Timeout, stream.Objective
		s.SetConfiguration(&state.Configuration{Version: 1, Routes: []state.Route{stream, once},
			Customers: []state.CustomerConfig{{Name: "c", Keys: []string{"key"}, PlainCost: 1}, {Name: "d", Keys: []string{"other"}, PlainCost: 1}}})
		f.entries, f.starts = append(f.entries, s), append(f.starts, time.Now().Add(-learnTime))
	}
	f.crashEngines = newCrashEngines(t, seed, engines, func(list []state.TargetRecord) {
		for _, s := range f.entries {
			s.cfg.Scheduler.SetTargets(list)
		}
	})
	for _, s := range f.entries {
		s.cfg.TargetClient = f.crashEngines
	}
	return f
}

// send sends a request with the given parts and one of its own to a random entry.
func (f *crashFleet) send(t *testing.T, key string, parts ...string) *startedResponder {
	return f.sendTo(t, f.random.IntN(len(f.entries)), "/stream/x", key, parts...)
}

// sendTo sends a request to one entry.
func (f *crashFleet) sendTo(t *testing.T, entry int, path, key string, parts ...string) *startedResponder {
	body := fmt.Append(nil, "body ", f.sent)
	return f.sendCall(t, entry, &state.Call{Path: path, APIKey: key, Body: body, HasTokenCounts: true, PromptTokens: 1000, MaxOutputTokens: 40}, parts...)
}

// sendCall sends a call to one entry, with an identifier and, if it has parts of a prompt, a
// part of its own.
func (f *crashFleet) sendCall(t *testing.T, entry int, call *state.Call, parts ...string) *startedResponder {
	f.sent++
	call.ID, call.Host, call.URI = state.RequestID(fmt.Sprint(f.sent)), "h", call.Path
	if len(parts) > 0 {
		for _, p := range append(slices.Clone(parts), fmt.Sprint("own-", f.sent)) {
			call.Prompt = append(call.Prompt, state.PromptPart{ID: p, Tokens: 100})
		}
	}
	f.mu.Lock()
	f.startedAt[call.ID] = f.starts[entry]
	f.mu.Unlock()
	out, s := &startedResponder{}, f.entries[entry]
	f.group.Go(func() { s.Serve(t.Context(), call, time.Now(), out) })
	return out
}

// blockedRequests returns how many requests the entries have refused for their prompts or
// contents.
func (f *crashFleet) blockedRequests() int64 {
	n := int64(0)
	for _, s := range f.entries {
		s.cfg.Counters.mu.Lock()
		n += s.cfg.Counters.counts["failed.not_run."+reasonPromptPart] + s.cfg.Counters.counts["failed.not_run."+reasonContent]
		s.cfg.Counters.mu.Unlock()
	}
	return n
}

// sendSound sends a sound request and counts it.
func (f *crashFleet) sendSound(t *testing.T, key string, parts ...string) {
	f.countSound(f.send(t, key, parts...))
}

// countSound counts a sound request that was sent now, and whether its response begins.
func (f *crashFleet) countSound(out *startedResponder) {
	at := time.Since(f.start).Truncate(time.Second)
	f.soundMu.Lock()
	f.sound[at]++
	f.soundMu.Unlock()
	time.AfterFunc(2*time.Second, func() {
		f.soundMu.Lock()
		defer f.soundMu.Unlock()
		if out.began {
			f.began[at]++
		}
	})
}

// beganShare returns the share of the sound requests sent from a time to another whose
// response began.
func (f *crashFleet) beganShare(from, to time.Duration) float64 {
	f.soundMu.Lock()
	defer f.soundMu.Unlock()
	sound, began := 0, 0
	for at, n := range f.sound {
		if at >= from && at < to {
			sound += n
			began += f.began[at]
		}
	}
	return float64(began) / float64(max(1, sound))
}

func entryName(i int) state.InstanceID { return state.InstanceID(fmt.Sprint("entry-", i)) }

// newQuarantine returns the quarantine of one of a number of entries.
func (f *crashFleet) newQuarantine(i, entries int) *quarantine.Ledger {
	return quarantine.New(quarantine.Config{Self: entryName(i), Others: func(time.Time) []state.InstanceID {
		var others []state.InstanceID
		for j := range entries {
			if j != i && !f.unheard[j] {
				others = append(others, entryName(j))
			}
		}
		return others
	}})
}

// Reports are sent at reportInterval, and one in lossOneIn is lost.
const (
	reportInterval = 120 * time.Millisecond
	lossOneIn      = 5
)

// wait advances the time by d, in steps between which entries exchange reports.
func (f *crashFleet) wait(d time.Duration) {
	time.Sleep(d)
	if time.Since(f.start) < time.Duration(f.reports)*reportInterval {
		return
	}
	f.reports++
	now := time.Now()
	for i := range 2 {
		if blocks := f.entries[i].cfg.Quarantine.Blocks(now); f.reports%8 == 0 && len(blocks) > 0 {
			f.kept[i] = keptBlocks{now, blocks}
		}
	}
	for i, from := range f.entries {
		report := from.cfg.Quarantine.Report(now, f.reports%8 == 0)
		for j, to := range f.entries {
			if i == j || report.Empty() || f.unheard[i] || f.unheard[j] || f.random.IntN(lossOneIn) == 0 {
				continue
			}
			time.AfterFunc(time.Duration(f.random.Int64N(int64(f.reportDelay))), func() {
				to.cfg.Quarantine.Learn(time.Now(), entryName(i), &report)
			})
		}
	}
}

// crashersAfterLearning returns how many requests with the part reached engines later than
// learnTime after the crash of number learnAfter.
func (f *crashFleet) crashersAfterLearning() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashTimes) < f.learnAfter {
		return 0
	}
	n := 0
	for _, at := range f.reached {
		if at.After(f.crashTimes[f.learnAfter-1].Add(learnTime)) {
			n++
		}
	}
	return n
}
