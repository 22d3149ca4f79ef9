package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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
	crashes []time.Time // crashes for which the part is to blame
	// reached is when requests with the part reached engines.
	reached []time.Time
}

func newCrashEngines(t *testing.T, seed uint64, n int, changed func([]state.TargetRecord)) *crashEngines {
	c := &crashEngines{t: t, random: rand.New(rand.NewPCG(seed, 3)), changed: changed}
	for i := range n {
		c.engines = append(c.engines, &crashEngine{record: state.TargetRecord{Service: "s", Address: fmt.Sprint("engine-", i), Slots: 9}})
		c.startEngine(c.engines[i])
	}
	return c
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
	time.AfterFunc(restartTime, func() {
		if c.t.Context().Err() == nil {
			c.startEngine(e)
		}
	})
	return true
}

// crashSome crashes a number of engines for a reason that is in no request.
func (c *crashEngines) crashSome(n int) {
	for _, i := range c.random.Perm(len(c.engines))[:n] {
		c.mu.Lock()
		running := c.engines[i].crashed
		c.mu.Unlock()
		if running != nil {
			c.crash(c.engines[i], running)
		}
	}
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
	if e.crashed == nil {
		return nil, fmt.Errorf("%w: connection refused", ErrNotSent)
	}
	x := &crashExchange{ctx: ctx, engines: c, engine: e, running: e.crashed, wait: time.Duration(20+c.random.IntN(60)) * time.Millisecond, events: 8}
	for _, part := range f.Call.Prompt {
		x.crashes = x.crashes || part.ID == crashPart
	}
	if x.crashes {
		c.reached = append(c.reached, time.Now())
	}
	return x, nil
}

// crashExchange is a request at a crashEngine. Its response begins after wait and has an
// event every 30 ms, unless the engine crashes.
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
		if err := x.sleep(30 * time.Millisecond); err != nil {
			return 0, err
		}
		if x.crashes {
			if x.engines.crash(x.engine, x.running) {
				x.engines.mu.Lock()
				x.engines.crashes = append(x.engines.crashes, time.Now())
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

// crashFleet is a number of entries before crashEngines.
type crashFleet struct {
	*crashEngines
	entries []*Service
	group   sync.WaitGroup
	sent    int
	// sound counts the sound requests that share customer and first part with those that
	// crash engines, by the time at which they were sent, and began those of them whose
	// response began at the first attempt.
	sound, began map[time.Duration]int
	start        time.Time
	soundMu      sync.Mutex
}

func newCrashFleet(t *testing.T, seed uint64, entries, engines int) *crashFleet {
	f := &crashFleet{sound: make(map[time.Duration]int), began: make(map[time.Duration]int), start: time.Now()}
	for i := range entries {
		s := newSeededService(nil, seed*100+uint64(i))
		stream := route("stream", "/stream/", state.StreamingRoute, true, 2)
		stream.Timeout, stream.Objective = 8*time.Second, 800*time.Millisecond
		s.SetConfiguration(&state.Configuration{Version: 1, Routes: []state.Route{stream},
			Customers: []state.CustomerConfig{{Name: "c", Keys: []string{"key"}, PlainCost: 1}, {Name: "d", Keys: []string{"other"}, PlainCost: 1}}})
		f.entries = append(f.entries, s)
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
	f.sent++
	call := &state.Call{ID: state.RequestID(fmt.Sprint(f.sent)), Host: "h", Path: "/stream/x", APIKey: key, HasTokenCounts: true, PromptTokens: 1000, MaxOutputTokens: 40}
	for _, p := range append(parts, fmt.Sprint("own-", f.sent)) {
		call.Prompt = append(call.Prompt, state.PromptPart{ID: p, Tokens: 100})
	}
	out, s := &startedResponder{}, f.entries[f.random.IntN(len(f.entries))]
	f.group.Go(func() { s.Serve(t.Context(), call, time.Now(), out) })
	return out
}

// sendSound sends a sound request and counts it.
func (f *crashFleet) sendSound(t *testing.T, key string, parts ...string) {
	at := time.Since(f.start).Truncate(time.Second)
	f.soundMu.Lock()
	f.sound[at]++
	f.soundMu.Unlock()
	out := f.send(t, key, parts...)
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

// wait advances the time by d, in steps between which entries exchange reports.
func (f *crashFleet) wait(d time.Duration) {
	time.Sleep(d)
}

// crashersAfterLearning returns how many requests with the part reached engines later than
// learnTime after the fifth crash.
func (f *crashFleet) crashersAfterLearning() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 5 {
		return 0
	}
	n := 0
	for _, at := range f.reached {
		if at.After(f.crashes[4].Add(learnTime)) {
			n++
		}
	}
	return n
}

// Guards against requests with one part in their prompts that crash engine after engine.
// Learned from few crashes, the part is kept from engines by all entries, while sound
// requests of the same customer with the same other parts are served.
func TestPromptPartThatCrashesTargetsIsKeptFromThem(t *testing.T) {
	for _, c := range []struct {
		entries, engines int
		parts            []string // of the requests that crash engines, without their own
	}{
		{3, 9, []string{"shared", crashPart}},
		{5, 9, []string{"shared", crashPart}},
		{5, 9, []string{crashPart, "shared"}},
		{5, 9, []string{"shared", crashPart, "common"}},
		{23, 12, []string{"shared", crashPart}},
		{60, 24, []string{"shared", crashPart}},
	} {
		t.Run(fmt.Sprintf("%d entries, %s", c.entries, strings.Join(c.parts, ",")), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, 1, c.entries, c.engines)
				for tick := range 40 * 50 { // 40 s
					at := time.Duration(tick) * 20 * time.Millisecond
					if tick%2 == 0 {
						f.sendSound(t, "key", "shared")
					}
					if tick%10 == 0 {
						f.sendSound(t, "key", "shared", "common")
					}
					if tick%4 == 1 {
						f.send(t, "other", "different")
					}
					if at >= 10*time.Second && f.random.IntN(8) == 0 { // about 6 a second
						f.send(t, "key", c.parts...)
					}
					f.wait(20 * time.Millisecond)
				}
				f.group.Wait()
				time.Sleep(restartTime)
				t.Logf("%d crashes, %d requests with the part reached engines, %d of them %s after the fifth crash", len(f.crashes), len(f.reached), f.crashersAfterLearning(), learnTime)
				if len(f.crashes) == 0 {
					t.Fatal("no engine has crashed")
				}
				if n := f.crashersAfterLearning(); n > toleratedCrashers {
					t.Errorf("%d requests with the part reached engines %s after the fifth crash or later, tolerated %d", n, learnTime, toleratedCrashers)
				}
				before, after := f.beganShare(0, 9*time.Second), f.beganShare(20*time.Second, 38*time.Second)
				if after < before/2 {
					t.Errorf("%.2f of the sound requests were served, %.2f before; want at least half", after, before)
				}
			})
		})
	}
}
