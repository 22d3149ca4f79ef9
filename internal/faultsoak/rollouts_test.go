package faultsoak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

var rolloutSeeds = flag.Int("faultsoak.rollouts", 1, "number of seeds of roll-outs to run, from faultsoak.seed on")

const (
	exposureShare, exposureSlack = 0.1, 50
	rollbackTime                 = 5 * time.Second
	// manyBadResponses is the number of bad responses after which rollbackTime begins.
	manyBadResponses = 50
	rolloutSettings  = "Contracts=rollout\nBounds.ExposureShare=0.1\nBounds.ExposureSlack=50\nBounds.RollbackMs=5000\n"
	rolloutTo        = "v2"
	workTime         = 20 * time.Millisecond // for a plain response or one event
)

// rolledOut is a service whose software version is rolled out.
type rolledOut struct {
	name     string
	quality  quality
	old, new []*engine
	limit    time.Time

	mu        sync.Mutex
	reached   int       // requests that reached the service since the order, until its limit
	exposed   int       // of these, those at the new version
	bad       int       // responses of the new version that were bad
	manyBadAt time.Time // when there were manyBadResponses; zero before
	lastNewAt time.Time // of the last request at the new version
	ended     string    // state in which the roll-out has ended
	inUse     int64     // requests in progress at the old targets when it was completed
}

// quality is how good a version is.
type quality int

const (
	goodVersion quality = iota
	failingVersion
	slowVersion
)

func (q quality) String() string { return [...]string{"good", "failing", "slow"}[q] }

const (
	badShare = 0.35 // of the responses of a bad version
	// slowDelay is several times as long as responses usually take to start.
	slowDelay = 200 * time.Millisecond
)

// rolloutFaults are what happens during a roll-out. cutsOld says that requests in progress at
// old targets may be cut off when these stop.
var rolloutFaults = []struct {
	name    string
	cutsOld bool
	inject  func(w *world)
}{
	{name: "leader killed", inject: func(w *world) { w.entries[0].signal(syscall.SIGKILL) }},
	{name: "none", inject: func(*world) {}},
	{name: "entry killed", inject: func(w *world) { w.entries[len(w.entries)-1].signal(syscall.SIGKILL) }},
	{name: "entry frozen", cutsOld: true, inject: func(w *world) { w.entries[len(w.entries)-1].pause(3 * time.Second) }},
	{name: "leader frozen", cutsOld: true, inject: func(w *world) { w.entries[0].pause(3 * time.Second) }},
	{name: "entry cut off from the store", inject: func(w *world) {
		p := w.entries[len(w.entries)-1].storeProxy
		p.RefuseNew.Store(true)
		p.Reset(w.random, 1)
		time.AfterFunc(4*time.Second, p.ClearFaults)
	}},
	{name: "store down", inject: func(w *world) {
		w.store.Unavailable.Store(true)
		time.AfterFunc(2*time.Second, func() { w.store.Unavailable.Store(false) })
	}},
	{name: "store loses acknowledgements", inject: func(w *world) {
		w.store.LoseAppendResponses.Store(true)
		time.AfterFunc(3*time.Second, func() { w.store.LoseAppendResponses.Store(false) })
	}},
	{name: "all entries killed", inject: func(w *world) {
		for _, e := range w.entries {
			e.signal(syscall.SIGKILL)
		}
	}},
}

// Guards against a good version that is not completed by its limit, a bad one that is not
// reverted, requests in progress at old targets that stop on "completed", and more exposure
// than the platform allows; with faults of the entries and of the store meanwhile.
func TestRollouts(t *testing.T) {
	binary := buildDaemon(t)
	for i := range *rolloutSeeds {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runRollouts(t, binary, seed) })
	}
}

func runRollouts(t *testing.T, binary string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0x726f6c6c))
	plain, model, fault := failingVersion, goodVersion, rolloutFaults[(seed-1)%uint64(len(rolloutFaults))]
	duration := 10 * time.Second
	if seed > 1 {
		plain, model = quality(random.IntN(3)), quality(random.IntN(3))
		duration = time.Duration(8+random.IntN(6)) * time.Second
	}
	w := newRolloutWorld(t, binary, seed)
	defer w.close()
	w.waitReady(10 * time.Second)
	stopLoad := w.startLoad()
	time.Sleep(3 * time.Second) // until the times of the old version are known
	services := []*rolledOut{w.order("plain", plain, duration), w.order("model", model, duration)}
	w.countOld(services)
	inject := time.AfterFunc(time.Duration(float64(duration)*(0.3+0.6*random.Float64())), func() {
		if fault.name != "none" {
			w.recordDisruption()
		}
		fault.inject(w)
	})
	t.Logf("plain %s, model %s, %s, fault: %s", plain, model, duration, fault.name)
	var group sync.WaitGroup
	for _, s := range services {
		group.Go(func() { w.followRollout(s) })
	}
	group.Wait()
	inject.Stop()
	time.Sleep(time.Second)
	stopLoad()
	w.waitReady(10 * time.Second)
	for _, s := range services {
		w.checkRollout(s, fault.cutsOld)
	}
	w.checkStatuses(services)
	w.checkLedger()
	w.checkUncut()
}

// newRolloutWorld returns a world whose targets have the first software version and whose
// entries follow orders.
func newRolloutWorld(t *testing.T, binary string, seed uint64) *world {
	w := newEmptyWorld(t, binary, seed)
	w.extraSettings = rolloutSettings
	for i := range 6 {
		w.addEngine(fmt.Sprintf("old-%d", i), "v1", i < 3)
		w.engines[i].WorkTime = workTime
	}
	w.writeConfiguration()
	for i := range *entriesFlag {
		w.addEntry(i, w.storeAddress)
	}
	go w.repeatTargetRecords()
	return w
}

// order starts targets of the new version of a service and writes the order.
func (w *world) order(service string, q quality, duration time.Duration) *rolledOut {
	s := &rolledOut{name: service, quality: q, limit: time.Now().Add(duration)}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if e.Service == service {
			s.old = append(s.old, e)
		}
	}
	for i := range s.old {
		w.addEngine(fmt.Sprintf("new-%s-%d", service, i), rolloutTo, service == "model")
		e := w.engines[len(w.engines)-1]
		e.WorkTime = workTime
		atNew := s.atNew
		e.OnRun.Store(&atNew)
		s.new = append(s.new, e)
	}
	value, err := json.Marshal(map[string]any{"Service": service, "To": rolloutTo, "DurationS": duration.Seconds()})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("keyed.op", "rollout/"+service, value)
	return s
}

// countOld counts the requests that reach the old targets from now on.
func (w *world) countOld(services []*rolledOut) {
	for _, s := range services {
		for _, e := range s.old {
			count := func() (fails bool, delay time.Duration) {
				s.mu.Lock()
				defer s.mu.Unlock()
				if time.Now().Before(s.limit) {
					s.reached++
				}
				return false, 0
			}
			e.OnRun.Store(&count)
		}
	}
}

// atNew counts a request at the new version, and decides whether it fails or is slow.
func (s *rolledOut) atNew() (fails bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.lastNewAt = now
	if now.Before(s.limit) {
		s.reached++
		s.exposed++
	}
	isBad := s.quality != goodVersion && rand.Float64() < badShare
	if isBad {
		if s.bad++; s.bad == manyBadResponses {
			s.manyBadAt = now
		}
	}
	if isBad && s.quality == slowVersion {
		return false, slowDelay
	}
	return isBad, 0
}

// maxCompletionDelay is how long after its limit a roll-out may end: requests in progress at
// the old targets take precedence, and a silent entry is waited for.
const maxCompletionDelay = 2*routeTimeout + 2*time.Second

// followRollout waits for the end of a roll-out. On "completed" the old targets stop at once.
func (w *world) followRollout(s *rolledOut) {
	store := platform.NewStore(w.storeAddress)
	for time.Now().Before(s.limit.Add(maxCompletionDelay)) {
		time.Sleep(5 * time.Millisecond)
		statuses, _, err := store.RolloutStatuses(w.t.Context())
		status, ok := statuses[state.Service(s.name)]
		if err != nil || !ok || status.State == platform.RolloutActive {
			continue
		}
		if s.ended = status.State; s.ended == platform.RolloutCompleted {
			for _, e := range s.old {
				s.inUse += e.Running()
			}
			w.stopEngines(s.old)
		}
		return
	}
}

// stopEngines stops targets at once, without draining.
func (w *world) stopEngines(engines []*engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range engines {
		e.removed, e.record = true, nil
		e.proxy.RefuseNew.Store(true)
		e.proxy.Reset(newRandom(w.seed), 1)
		w.store.Put("keyed.servers", e.ID, nil)
	}
}

// checkRollout checks the verdict, the exposure and the end of the old targets.
func (w *world) checkRollout(s *rolledOut, cutsOld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.t.Logf("%s (%s): ended %q %s after the limit; %d of %d requests at the new version, %d bad", s.name, s.quality, s.ended, time.Since(s.limit).Round(time.Millisecond), s.exposed, s.reached, s.bad)
	want := platform.RolloutReverted
	if s.quality == goodVersion {
		want = platform.RolloutCompleted
	}
	if s.ended != want {
		w.t.Errorf("%s: the roll-out of a %s version ended %q, want %q", s.name, s.quality, s.ended, want)
	}
	if s.inUse > 0 && !cutsOld {
		w.t.Errorf("%s: %d requests were in progress at the old targets on %q", s.name, s.inUse, s.ended)
	}
	if s.quality == goodVersion {
		return
	}
	if bound := exposureShare*float64(s.reached) + exposureSlack; float64(s.exposed) > bound {
		w.t.Errorf("%s: %d of %d requests reached a bad version, want at most %.0f", s.name, s.exposed, s.reached, bound)
	}
	if late := s.lastNewAt.Sub(s.manyBadAt); !s.manyBadAt.IsZero() && late > rollbackTime {
		w.t.Errorf("%s: a request reached a bad version %s after its %dth bad response", s.name, late, manyBadResponses)
	}
}

// checkStatuses checks that the first status of each order is active and that the last one
// never changes.
func (w *world) checkStatuses(services []*rolledOut) {
	records, _, err := platform.NewStore(w.storeAddress).Read(context.Background(), platform.RolloutStatusTopic, keyedtopic.Position{}, 0)
	if err != nil {
		w.t.Error(err)
		return
	}
	for _, s := range services {
		var states []string
		for _, r := range records {
			var status platform.RolloutStatus
			if strings.TrimPrefix(r.Key, "rollout/") != s.name || json.Unmarshal(r.Value, &status) != nil {
				continue
			}
			if states = append(states, status.State); string(status.To) != rolloutTo {
				w.t.Errorf("%s: status of version %q", s.name, status.To)
			}
		}
		if len(states) != 2 || states[0] != platform.RolloutActive || states[1] != s.ended {
			w.t.Errorf("%s: states %v, want active and %s", s.name, states, s.ended)
		}
	}
}

// checkUncut reports requests that were cut off or failed without a fault around them that
// may have caused it, except at the time limit as in checkLedger. A bad version fails requests
// itself.
func (w *world) checkUncut() {
	w.mu.Lock()
	results := w.results
	w.mu.Unlock()
	cut := 0
	for _, r := range results {
		if r.err != nil && w.undisrupted(r) && !cutAtTimeout(r, w.ledger.Runs(r.id)) {
			cut++
			w.t.Errorf("%s %s at %s was cut off after %s: status %d, %v", r.route, r.id, r.entry, r.ended.Sub(r.started), r.status, r.err)
		}
	}
	w.t.Logf("%d requests: %v, %d cut off without a fault around them", len(results), w.outcomeCounts(), cut)
	if answered := w.outcomeCounts()[fmt.Sprint(http.StatusOK)]; answered < len(results)/2 {
		w.t.Errorf("only %d of %d requests were answered", answered, len(results))
	}
}
