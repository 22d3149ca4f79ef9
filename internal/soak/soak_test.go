// Package soak is a randomised test of the decision code of entries, side
// processes, bundles and orders. The code runs against in-memory fakes of its
// interfaces, on the fake clock of synctest, under loads and faults that rapid
// draws. The fakes keep ghost state, which only the checks use: it records what
// really happened and is compared with what the code reported. Package faultsoak runs
// real processes on an emulated platform of the users.
package soak

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

var (
	soakSeed     = flag.Uint64("soak.seed", 1, "first seed")
	soakTries    = flag.Int("soak.tries", 1, "number of times that each case is run; use more than 1 to replay a failure that depends on scheduling")
	soakDuration = flag.Duration("soak.duration", 0, "how long TestSoak checks the properties in turn, each round with the next seed; 0 skips it")
)

// shrinkTries is how often each case is run while rapid shrinks a failure. The
// order of simultaneous events is up to the scheduler and not drawn by rapid, so
// a case that has failed may pass when it is run again.
const shrinkTries = 10

// casesPerTurn is the number of cases that TestSoak runs of a property before it
// goes on to the next one.
const casesPerTurn = 20

// statistics counts events, faults and outcomes over all cases, by name.
var statistics struct {
	sync.Mutex
	counts map[string]int
}

func count(name string, n int) {
	statistics.Lock()
	defer statistics.Unlock()
	statistics.counts[name] += n
}

func statisticsSummary() string {
	statistics.Lock()
	defer statistics.Unlock()
	var b strings.Builder
	for _, name := range sortedKeys(statistics.counts) {
		fmt.Fprintf(&b, "  %-32s %d\n", name, statistics.counts[name])
	}
	return b.String()
}

// casesFlagSet reports whether -rapid.checks was given on the command line.
var casesFlagSet bool

// currentGhost is the ghost state of the running case. It is global because the
// handler that TestMain gives to state.SetViolationHandler is set once for the process.
var currentGhost atomic.Pointer[ghost]

func TestMain(m *testing.M) {
	flag.Parse()
	statistics.counts = make(map[string]int)
	state.SetViolationHandler(func(inv state.Invariant, detail string) {
		g := currentGhost.Load()
		if g != nil && (inv != state.GracefulStop || !g.killedWhileLeaving.Load()) {
			g.fail("invariant %s: %s", inv, detail)
		}
	})
	setFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "20s", "rapid.seed": fmt.Sprint(*soakSeed)} {
		if !setFlags[name] {
			flag.Set(name, value)
		}
	}
	casesFlagSet = setFlags["rapid.checks"]
	os.Exit(m.Run())
}

// checkProperty draws cases of a property and runs each in a synctest bubble of
// its own. The property reports failures to the ghost state instead of the
// bubble's testing.T, because rapid could not shrink a failure reported there.
func checkProperty(t *testing.T, name string, cases int, drawCase func(rt *rapid.T) func(g *ghost)) {
	if !casesFlagSet {
		flag.Set("rapid.checks", fmt.Sprint(cases))
	}
	seed := flag.Lookup("rapid.seed").Value.String()
	defer func() {
		if t.Failed() {
			t.Logf("to replay: go test ./internal/soak -count=1 -run '^%s$' -rapid.seed=%s -rapid.checks=%s -soak.tries=%d",
				name, seed, flag.Lookup("rapid.checks").Value, shrinkTries)
		}
	}()
	tries := *soakTries
	rapid.Check(quietTB{t, name}, func(rt *rapid.T) {
		run := drawCase(rt)
		for range tries {
			g := newGhost()
			currentGhost.Store(g)
			if blocked := runInBubble(t, func() { run(g) }); blocked != "" {
				g.fail("goroutines are still blocked at the end of the case:\n%s", blocked)
			}
			currentGhost.Store(nil)
			if failures := g.failureList(); len(failures) > 0 {
				tries = max(tries, shrinkTries)
				rt.Fatalf("%s", strings.Join(failures, "\n"))
			}
		}
	})
}

// maxReportedStacks is the number of blocked goroutines whose stacks are reported.
const maxReportedStacks = 3

// runInBubble runs f in a synctest bubble and returns the stacks of the goroutines
// that are blocked for ever when f has returned; it is empty if there are none.
// Such goroutines stay blocked until the test process ends.
func runInBubble(t *testing.T, f func()) (blockedStacks string) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if !strings.Contains(fmt.Sprint(r), "blocked goroutines remain") {
			panic(r)
		}
		all := make([]byte, 1<<20)
		all = all[:runtime.Stack(all, true)]
		var stacks []string
		for _, s := range strings.Split(string(all), "\n\n") {
			if strings.Contains(s, "synctest bubble") && len(stacks) < maxReportedStacks {
				stacks = append(stacks, s)
			}
		}
		blockedStacks = strings.Join(stacks, "\n\n")
	}()
	synctest.Test(t, func(*testing.T) { f() })
	return ""
}

// quietTB is the testing.T that rapid logs to. It drops the line that rapid logs
// for each check that passed, of which a long run makes hundreds. In rapid's
// advice on how to replay a failure it replaces the name of the running test,
// which may be TestSoak, by that of the property's own test.
type quietTB struct {
	*testing.T
	propertyTest string
}

func (q quietTB) Logf(format string, args ...any) {
	q.Helper()
	if !strings.HasPrefix(format, "[rapid] OK") {
		q.T.Logf(format, args...)
	}
}

func (q quietTB) Errorf(format string, args ...any) {
	q.Helper()
	text := fmt.Sprintf(format, args...)
	q.T.Error(strings.ReplaceAll(text, q.Name(), q.propertyTest))
}

// properties are the properties that TestSoak checks in turn.
var properties = []struct {
	name  string
	cases int // run by the property's own test
	draw  func(rt *rapid.T) func(g *ghost)
}{
	{"Requests", 250, drawRequests},
	{"Bundles", 150, drawBundles},
	{"Orders", 150, drawOrders},
}

// TestRequests guards against requests that run twice, are lost, hang or are
// reported wrongly under any combination of faults.
func TestRequests(t *testing.T) {
	checkProperty(t, t.Name(), properties[0].cases, properties[0].draw)
}

// TestBundles guards against a bundle version that goes back, that differs
// between processes, or whose outcome is not the one its operator was told.
func TestBundles(t *testing.T) {
	checkProperty(t, t.Name(), properties[1].cases, properties[1].draw)
}

// TestOrders guards against orders of a superseded process that are applied too
// late, and against a target that does not receive the models placed on it.
func TestOrders(t *testing.T) {
	checkProperty(t, t.Name(), properties[2].cases, properties[2].draw)
}

// TestSoak checks the properties in turn, with a new seed for each round, until
// the duration is over.
func TestSoak(t *testing.T) {
	if *soakDuration == 0 {
		t.Skip("runs only when -soak.duration is set")
	}
	end := time.Now().Add(*soakDuration)
	seed := *soakSeed
	defer func() {
		t.Logf("seeds from %d up to but not including %d\n%s", *soakSeed, seed, statisticsSummary())
	}()
	for time.Now().Before(end) {
		flag.Set("rapid.seed", fmt.Sprint(seed))
		seed++
		for _, p := range properties {
			checkProperty(t, "Test"+p.name, casesPerTurn, p.draw)
		}
	}
}
