package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// What the users tolerate: from toldTime after an entry got a rejection that states a pause,
// until its end, at most toleratedInPause requests of the entry reach the target.
const (
	toldTime         = 500 * time.Millisecond
	toleratedInPause = 2
)

// statingTargets are targets that state pauses, or that they leave, in their responses. They
// implement TargetClient.
type statingTargets struct {
	runningTargets
	mu     sync.Mutex
	random *rand.Rand
	// stated returns what a target states now.
	stated func(state.TargetID) state.Statement
	// told holds, by entry and target, the statements that the entry has received.
	told    map[entryAndTarget][]toldStatement
	arrived map[entryAndTarget][]time.Time
	// sentAt is when callers sent the requests that have arrived, in the same order.
	sentAt map[entryAndTarget][]time.Time
	calls  map[state.RequestID]time.Time // when callers sent them
	served int
	faulty bool // some responses are broken off
}

type entryAndTarget struct {
	entry  int
	target state.TargetID
}

type toldStatement struct {
	at time.Time
	state.Statement
}

// clientOf is the TargetClient of one entry.
type clientOf struct {
	*statingTargets
	entry int
}

// Send implements TargetClient. Opening the connection takes some time.
func (c clientOf) Send(ctx context.Context, f *Forward) (Exchange, error) {
	c.mu.Lock()
	dial := time.Duration(c.random.Int64N(int64(30 * time.Millisecond)))
	c.mu.Unlock()
	time.Sleep(dial)
	if !f.Holds() {
		return nil, ErrGrantWithdrawn
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := entryAndTarget{c.entry, f.Target.ID}
	c.arrived[key] = append(c.arrived[key], time.Now())
	c.sentAt[key] = append(c.sentAt[key], c.calls[f.Call.ID])
	x := &statingExchange{client: c, ctx: ctx, key: key, wait: time.Duration(20+c.random.IntN(60)) * time.Millisecond, events: 4}
	x.stated = c.stated(f.Target.ID)
	if x.stated.Pause > 0 {
		x.wait = time.Millisecond
	} else if c.faulty && c.random.IntN(20) == 0 {
		x.breaksAt = c.random.IntN(4) + 1
	}
	return x, nil
}

// statingExchange is a request at one of statingTargets.
type statingExchange struct {
	client   clientOf
	ctx      context.Context
	key      entryAndTarget
	stated   state.Statement
	wait     time.Duration
	events   int // still to come
	breaksAt int // number of events still to come at which the response is broken off; 0: none
	unread   string
}

// Head implements Exchange. The entry knows what the target states when it returns.
func (x *statingExchange) Head() (*state.Response, error) {
	select {
	case <-time.After(x.wait):
	case <-x.ctx.Done():
		return nil, x.ctx.Err()
	}
	if x.breaksAt == 4 {
		return nil, syscall.ECONNRESET
	}
	c := x.client
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told[x.key] = append(c.told[x.key], toldStatement{at: time.Now(), Statement: x.stated})
	if x.stated.Pause > 0 {
		return &state.Response{Status: 503, NotRun: true, Stated: x.stated}, nil
	}
	c.served++
	return &state.Response{Status: 200, HasSignature: true, Stated: x.stated}, nil
}

func (x *statingExchange) Read(p []byte) (int, error) {
	if x.stated.Pause > 0 || x.events == 0 && x.unread == "" {
		return 0, io.EOF
	}
	if x.unread == "" {
		if x.events == x.breaksAt {
			return 0, syscall.ECONNRESET
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-x.ctx.Done():
			return 0, x.ctx.Err()
		}
		x.unread = fmt.Sprintf("id: %d\ndata: x\n\n", 5-x.events)
		x.events--
	}
	n := copy(p, x.unread)
	x.unread = x.unread[n:]
	return n, nil
}

func (x *statingExchange) Close(bool) {}

// maxInPause returns the highest number of requests that a target got from an entry from
// toldTime after a rejection that states a pause until its end.
func (c *statingTargets) maxInPause() int {
	most := 0
	for key, told := range c.told {
		for _, s := range told {
			if s.Pause == 0 {
				continue
			}
			n := 0
			for _, at := range c.arrived[key] {
				if at.After(s.at.Add(toldTime)) && at.Before(s.at.Add(s.Pause)) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// statingFleet is a number of entries before statingTargets.
type statingFleet struct {
	*statingTargets
	entries []*Service
	group   sync.WaitGroup
	sent    int
}

var nineTargets = []string{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"}

func newStatingFleet(seed uint64, entries int) *statingFleet {
	f := &statingFleet{statingTargets: &statingTargets{
		random: rand.New(rand.NewPCG(seed, 5)), told: make(map[entryAndTarget][]toldStatement), arrived: make(map[entryAndTarget][]time.Time),
		sentAt: make(map[entryAndTarget][]time.Time), calls: make(map[state.RequestID]time.Time),
		stated: func(state.TargetID) state.Statement { return state.Statement{} },
	}}
	for i := range entries {
		s := newSeededService(clientOf{f.statingTargets, i}, seed*100+uint64(i))
		resumed := route("resumed", "/resumed/", state.StreamingRoute, true, 3)
		once := route("once", "/once/", state.NonIdempotentRoute, false, 1)
		s.SetConfiguration(&state.Configuration{Version: 1, Routes: []state.Route{resumed, once}})
		f.entries = append(f.entries, s)
	}
	f.list(nineTargets...)
	return f
}

// list lists targets. The last character of an identifier determines the address.
func (f *statingFleet) list(ids ...string) {
	var list []state.TargetRecord
	for _, id := range ids {
		list = append(list, state.TargetRecord{ID: state.TargetID(id), Service: "s", Address: "address-" + id[len(id)-1:], Slots: 6})
	}
	for _, s := range f.entries {
		s.cfg.Scheduler.SetTargets(list)
	}
}

// run sends requests to random entries.
func (f *statingFleet) run(t *testing.T, d time.Duration, perSecond float64) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / perSecond)) {
		f.mu.Lock()
		f.calls[state.RequestID(fmt.Sprint(f.sent+1))] = time.Now()
		s, path := f.entries[f.random.IntN(len(f.entries))], []string{"/resumed/x", "/once/x"}[f.random.IntN(2)]
		f.mu.Unlock()
		f.sent++
		call := &state.Call{ID: state.RequestID(fmt.Sprint(f.sent)), Host: "h", Path: path}
		f.group.Go(func() { s.Serve(t.Context(), call, time.Now(), &recordingResponder{}) })
	}
}

// statedFor returns a function that states s at the targets while their turn lasts.
func statedFor(s state.Statement, targets ...state.TargetID) func(state.TargetID) state.Statement {
	return func(id state.TargetID) state.Statement {
		for _, t := range targets {
			if t == id {
				return s
			}
		}
		return state.Statement{}
	}
}

// Guards against requests to a target that has turned this entry away and stated a pause:
// first ones, those that waited, repeated and resumed ones and probes of ejected targets. On
// the users' site, an engine got 25 requests within 3 s.
func TestPauseOfATargetIsKept(t *testing.T) {
	for _, entries := range []int{3, 12, 60} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStatingFleet(1, entries)
				f.faulty = true
				const perSecond = 150
				f.run(t, 5*time.Second, perSecond)
				f.stated = statedFor(state.Statement{Pause: 3 * time.Second}, "t0", "t1")
				f.run(t, 9*time.Second, perSecond)
				f.stated = statedFor(state.Statement{})
				f.run(t, 4*time.Second, perSecond)
				f.group.Wait()
				if n := f.maxInPause(); n > toleratedInPause {
					t.Errorf("a target got %d requests from one entry within the pause that it stated, tolerated %d", n, toleratedInPause)
				}
				if share := float64(f.served) / float64(f.sent); share < 0.9 {
					t.Errorf("%.2f of the requests began, want 0.9: other targets go on", share)
				}
			})
		})
	}
}

// drainTime is the time after a response in which a target says that it leaves from which on
// no request that callers send may reach the target.
const drainTime = 2 * time.Second

// afterLeaving returns the number of requests that reached targets from entries which had
// known for drainTime, when the caller sent the request, that the target leaves.
func (c *statingTargets) afterLeaving() int {
	n := 0
	for key, told := range c.told {
		var leavesAt time.Time
		for _, s := range told {
			if s.Leaving && (leavesAt.IsZero() || s.at.Before(leavesAt)) {
				leavesAt = s.at
			}
		}
		for _, sentAt := range c.sentAt[key] {
			if !leavesAt.IsZero() && sentAt.After(leavesAt.Add(drainTime)) {
				n++
			}
		}
	}
	return n
}

// Guards against requests to a target that says in its responses that it leaves, while the
// list of targets does not say so, and against keeping them from its successor.
func TestTargetThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for _, entries := range []int{3, 12, 60} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStatingFleet(2, entries)
				f.faulty = true
				const perSecond = 150
				f.run(t, 3*time.Second, perSecond)
				f.stated = statedFor(state.Statement{Leaving: true}, "t0", "t1")
				f.run(t, 4*time.Second, perSecond)
				f.list(nineTargets[1:]...) // loses t0 for a moment
				f.list(nineTargets...)
				f.run(t, 6*time.Second, perSecond)
				f.list(append([]string{"successor-0"}, nineTargets[1:]...)...)
				f.run(t, 4*time.Second, perSecond)
				f.group.Wait()
				if n := f.afterLeaving(); n > 0 {
					t.Errorf("%d requests reached targets %s after they had said that they leave, or later", n, drainTime)
				}
				successor := 0
				for key, arrived := range f.arrived {
					if key.target == "successor-0" {
						successor += len(arrived)
					}
				}
				if successor == 0 {
					t.Error("the successor at the address of a target that left got no request")
				}
				if share := float64(f.served) / float64(f.sent); share < 0.9 {
					t.Errorf("%.2f of the requests began, want 0.9: other targets go on", share)
				}
			})
		})
	}
}
