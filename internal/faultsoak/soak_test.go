// Package faultsoak runs the real daemon as separate processes on loopback before
// an emulated platform, injects faults from outside and checks what callers and
// targets see.
//
// Faults: connections delayed, reset, silenced in one direction or refused by a
// proxy; processes stopped, paused, killed and restarted; targets that lose, tear
// or double responses, fail, drain, crash and start again under their name; a
// store that is down, slow, loses acknowledgements or forgets its history; new
// configurations and bundles. The time of day cannot be changed here without privileges.
package faultsoak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	seedFlag     = flag.Uint64("faultsoak.seed", 1, "first seed")
	seedsFlag    = flag.Int("faultsoak.seeds", 1, "number of seeds to run")
	durationFlag = flag.Duration("faultsoak.duration", 5*time.Second, "time with faults for each seed")
	entriesFlag  = flag.Int("faultsoak.entries", 3, "number of entries")
	logsFlag     = flag.String("faultsoak.logs", "", "directory that keeps the logs of the processes")
)

// failedSeeds are seeds that once failed, with the cause. They run every time.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{306, "the emulator sent a second response behind a torn one, which together had the stated length"},
}

// TestFaultSoak runs the seeds of the flags.
func TestFaultSoak(t *testing.T) {
	binary := build(t)
	for i := range *seedsFlag {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { soak(t, binary, seed, *durationFlag) })
	}
	for _, failed := range failedSeeds {
		t.Run(fmt.Sprintf("failed/seed=%d", failed.seed), func(t *testing.T) {
			t.Log("earlier cause:", failed.cause)
			soak(t, binary, failed.seed, *durationFlag)
		})
	}
}

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "cassiarampd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/cassiaramp/cassiaramp/cmd/cassiarampd").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// quietTime is without faults before the last checks: the longest time limit of
// a request, and the pauses after which ejected targets are probed.
const quietTime = 4 * time.Second

// bundlesInFaults is the number of bundles published while faults go on.
const bundlesInFaults = 3

func soak(t *testing.T, binary string, seed uint64, duration time.Duration) {
	w := newWorld(t, binary, seed)
	defer w.close()
	w.waitReady(10 * time.Second)
	stopLoad := w.startLoad()
	begin := time.Now()
	for published := 0; time.Since(begin) < duration; {
		if time.Since(begin) >= time.Duration(published)*duration/bundlesInFaults {
			w.publish()
			published++
		}
		w.fault()
		time.Sleep(time.Duration(50+w.random.IntN(400)) * time.Millisecond)
	}
	w.heal()
	time.Sleep(quietTime)
	stopLoad()
	w.waitReady(10 * time.Second)
	w.checkRecovered()
	w.checkBundles()
	w.checkLedger()
	t.Logf("seed %d: %d requests: %v; faults: %v", seed, len(w.results), w.tally(), w.faults)
}

// logDir returns where processes of a seed log to.
func logDir(t *testing.T, seed uint64) string {
	if *logsFlag == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*logsFlag, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	return dir
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x736f616b)) }
