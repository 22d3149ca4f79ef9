// Package soak runs the decision code of entries, side processes, bundles and
// orders against fakes at its interfaces, with random faults drawn by rapid and
// the clock of synctest. Ghost state in the fakes records what really happened
// and is compared with what was reported.
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
	soakSeed     = flag.Uint64("soak.seed", 1, "first seed of the runs")
	soakTries    = flag.Int("soak.tries", 1, "times that each case is run; more than 1 to replay a failure")
	soakDuration = flag.Duration("soak.duration", 0, "run the properties in turns for this long, each turn with the next seed; 0 runs each once")
)

// shrinkTries is how often a case is run while a failure is shrunk. Which of two
// simultaneous events comes first is not drawn by rapid, so a case that failed
// once may pass.
const shrinkTries = 10

// roundChecks is the number of cases that one turn of a long run makes.
const roundChecks = 20

// tally counts what the runs tried and how it ended.
var tally struct {
	sync.Mutex
	counts map[string]int
}

func count(name string, n int) {
	tally.Lock()
	defer tally.Unlock()
	tally.counts[name] += n
}

func summary() string {
	tally.Lock()
	defer tally.Unlock()
	var b strings.Builder
	for _, name := range sortedKeys(tally.counts) {
		fmt.Fprintf(&b, "  %-32s %d\n", name, tally.counts[name])
	}
	return b.String()
}

// checksGiven tells that the number of cases was given on the command line.
var checksGiven bool

// current is the ghost of the running case. state.SetViolationHandler has no other way
// to reach it.
var current atomic.Pointer[ghost]

func TestMain(m *testing.M) {
	flag.Parse()
	tally.counts = make(map[string]int)
	state.SetViolationHandler(func(inv state.Invariant, detail string) {
		g := current.Load()
		if g != nil && (inv != state.GracefulStop || !g.crashed.Load()) {
			g.fail("invariant %s: %s", inv, detail)
		}
	})
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.shrinktime": "20s", "rapid.seed": fmt.Sprint(*soakSeed)} {
		if !set[name] {
			flag.Set(name, value)
		}
	}
	checksGiven = set["rapid.checks"]
	os.Exit(m.Run())
}

// check runs a property in a synctest bubble for each case. The property
// reports failures to the ghost, because a failed bubble could not be shrunk.
func check(t *testing.T, name string, checks int, draw func(rt *rapid.T) func(g *ghost)) {
	if !checksGiven {
		flag.Set("rapid.checks", fmt.Sprint(checks))
	}
	seed := flag.Lookup("rapid.seed").Value.String()
	defer func() {
		if t.Failed() {
			t.Logf("to replay: go test ./internal/soak -count=1 -run '^%s$' -rapid.seed=%s -rapid.checks=%s -soak.tries=%d",
				name, seed, flag.Lookup("rapid.checks").Value, shrinkTries)
		}
	}()
	tries := *soakTries
	rapid.Check(quiet{t, name}, func(rt *rapid.T) {
		run := draw(rt)
		for range tries {
			g := newGhost()
			current.Store(g)
			if left := bubble(t, func() { run(g) }); left != "" {
				g.fail("goroutines are left:\n%s", left)
			}
			current.Store(nil)
			if faults := g.faultList(); len(faults) > 0 {
				tries = max(tries, shrinkTries)
				rt.Fatalf("%s", strings.Join(faults, "\n"))
			}
		}
	})
}

// maxStacks bounds the stacks reported of goroutines that are left.
const maxStacks = 3

// bubble runs f under synctest and returns the stacks of the goroutines that are
// blocked when it has returned. They stay blocked until the test process ends.
func bubble(t *testing.T, f func()) (left string) {
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
			if strings.Contains(s, "synctest bubble") && len(stacks) < maxStacks {
				stacks = append(stacks, s)
			}
		}
		left = strings.Join(stacks, "\n\n")
	}()
	synctest.Test(t, func(*testing.T) { f() })
	return ""
}

// quiet drops the line that rapid logs when a check has passed, of which a long
// run makes hundreds, and puts the test of the property into rapid's advice.
type quiet struct {
	*testing.T
	test string
}

func (q quiet) Logf(format string, args ...any) {
	q.Helper()
	if !strings.HasPrefix(format, "[rapid] OK") {
		q.T.Logf(format, args...)
	}
}

func (q quiet) Errorf(format string, args ...any) {
	q.Helper()
	text := fmt.Sprintf(format, args...)
	q.T.Error(strings.ReplaceAll(text, q.Name(), q.test))
}

// properties are the properties that a long run takes in turns.
var properties = []struct {
	name   string
	checks int // in one run of the tests
	draw   func(rt *rapid.T) func(g *ghost)
}{
	{"Requests", 250, drawRequests},
	{"Bundles", 150, drawBundles},
	{"Orders", 150, drawOrders},
}

// Guards against requests that run twice, are reported wrongly, are lost or
// hang under any combination of faults.
func TestRequests(t *testing.T) { check(t, t.Name(), properties[0].checks, properties[0].draw) }

// Guards against a bundle that is reverted, differs between processes, or has
// another fate than its operator was told.
func TestBundles(t *testing.T) { check(t, t.Name(), properties[1].checks, properties[1].draw) }

// Guards against orders of a superseded process and against a target that is
// left without its models.
func TestOrders(t *testing.T) { check(t, t.Name(), properties[2].checks, properties[2].draw) }

// TestSoak takes the properties in turns until the duration is over.
func TestSoak(t *testing.T) {
	if *soakDuration == 0 {
		t.Skip("runs with -soak.duration only")
	}
	end := time.Now().Add(*soakDuration)
	seed := *soakSeed
	defer func() { t.Logf("seeds from %d up to but not including %d\n%s", *soakSeed, seed, summary()) }()
	for time.Now().Before(end) {
		flag.Set("rapid.seed", fmt.Sprint(seed))
		seed++
		for _, p := range properties {
			check(t, "Test"+p.name, roundChecks, p.draw)
		}
	}
}
