package faultsoak

import (
	"flag"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

var (
	processesFlag = flag.Int("faultsoak.processes", 3, "number of a deployment's engines, and of its plain targets, that are processes of their own; none with -faultsoak.proxies")
	unframedFlag  = flag.Float64("faultsoak.unframed", 0.1, "share of the streams of such targets that have neither a length nor chunks")
	endingFlag    = flag.String("faultsoak.ending", "", "play this fault of engines alone, which are then all processes of their own: kill, exit, cancel, finish, finish-cancel or pause; also cancel-linger and cancel-linger-empty, which no plan has since they break ORDER")
	lingerFlag    = flag.Duration("faultsoak.linger", 300*time.Millisecond, "how long targets accept connections behind an end with linger in its name")
	beyondFlag    = flag.String("faultsoak.beyond", emulator.BeyondNone, "answer of engines to a request that resumes a stream behind its last event: none, more, repeat, refuse or anew")
	announcedFlag = flag.Bool("faultsoak.announced", false, "with -faultsoak.ending: targets report that they leave 1.5 s before")
)

const (
	endKill   = "kill"  // by SIGKILL; the other forms of an end are those of SIGTERM
	formPause = "pause" // no end, but SIGSTOP and then SIGCONT

	minPause, maxPause = 300 * time.Millisecond, 3800 * time.Millisecond
)

var (
	plannedEndings = []string{endKill, emulator.EndExit, emulator.EndFinish, emulator.EndCancel, emulator.EndFinishCancel}
	endingForms    = append(slices.Clip(plannedEndings), emulator.EndCancelLinger, emulator.EndCancelLingerEmpty)
	beyondForms    = []string{emulator.BeyondNone, emulator.BeyondMore, emulator.BeyondRepeat, emulator.BeyondRefuse, emulator.BeyondAnew}
)

// checkEndingFlags ends the test if a flag names no form, as a run of it would show nothing.
func checkEndingFlags(t *testing.T) {
	if *endingFlag != "" && *endingFlag != formPause && !slices.Contains(endingForms, *endingFlag) || !slices.Contains(beyondForms, *beyondFlag) {
		t.Fatalf("unknown form in -faultsoak.ending=%s or -faultsoak.beyond=%s", *endingFlag, *beyondFlag)
	}
}

// ending is how the process of a target ends.
type ending struct {
	form      string
	announced bool
}

func (e ending) String() string {
	switch {
	case e.form == endKill:
		return "SIGKILL"
	case e.announced:
		return "SIGTERM, " + e.form + ", announced"
	}
	return "SIGTERM, " + e.form
}

// randomEnding returns an ending of the run's plan.
func (d *deploymentRun) randomEnding() ending {
	forms := plannedEndings
	if !d.openFaults() { // some forms of a proper end in the middle of a stream break ORDER (KNOWN-RED.txt)
		forms = forms[:3]
	}
	form := forms[d.random.IntN(len(forms))]
	return ending{form, form != endKill && d.random.IntN(2) == 0}
}

// announcedFor is the time from the report that a target leaves to its SIGTERM.
const announcedFor = 1500 * time.Millisecond

// endProcessTarget ends a target that is a process of its own and is marked as removed. Another
// one takes its place.
func (d *deploymentRun) endProcessTarget(e *engine, how ending) {
	after := time.Duration(0)
	if how.announced {
		after = announcedFor
		d.note("leaves", e.ID, time.Now())
		e.process.command(emulator.CommandDraining)
		d.world.putTargetRecord(e, "draining")
	}
	otherAddress := d.random.IntN(2) == 0 && !*inPlaceFlag
	time.AfterFunc(after, func() {
		d.impair(how.String(), e.ID, 0)
		e.end(how.form)
		recordLasts := time.Duration(0) // after the process
		if how.form == endKill || how.form == emulator.EndExit {
			recordLasts = recordLease
		}
		if otherAddress {
			d.restartEngine(e, 0, func(n *engine) { d.startProcess(n, "127.0.0.1:0") })
		}
		<-e.process.exited
		if !otherAddress {
			d.restartEngine(e, 0, func(n *engine) { d.startProcessAgain(n, e) })
		}
		time.AfterFunc(recordLasts, func() { d.world.removeRecord(e) })
	})
}

// end ends the process of a target in a form. A signal fails if the process has just ended, which
// is harmless.
func (e *engine) end(form string) {
	if form == endKill {
		e.process.Process.Kill()
		return
	}
	e.process.command(emulator.CommandEnd + form)
	e.process.Process.Signal(syscall.SIGTERM)
}

// targetStopped is what the record of a stopped process of a target says.
const targetStopped = "SIGSTOP"

// hold makes a target silent for a while. A process of its own is stopped.
func (d *deploymentRun) hold(e *engine, lasts time.Duration) {
	if e.process == nil {
		e.SilentUntil.Store(time.Now().Add(lasts).UnixNano())
		d.noteSpan("silent", e.ID, lasts)
		return
	}
	e.process.Process.Signal(syscall.SIGSTOP) // fails if it has ended, which is harmless
	time.AfterFunc(lasts, func() { e.process.Process.Signal(syscall.SIGCONT) })
	d.noteSpan(targetStopped, e.ID, lasts)
}

// Between two ends of targets with -faultsoak.ending.
const minEndingGap, maxEndingGap = 400 * time.Millisecond, 1200 * time.Millisecond

// playEndings ends or pauses engines as -faultsoak.ending says, one after the other.
func (d *deploymentRun) playEndings() {
	for begin := time.Now(); time.Since(begin) < *dayFlag; {
		if *endingFlag == formPause {
			d.hold(d.engine(), minPause+time.Duration(d.random.Int64N(int64(maxPause-minPause))))
		} else {
			d.removeEngine(nil)
		}
		time.Sleep(minEndingGap + time.Duration(d.random.Int64N(int64(maxEndingGap-minEndingGap))))
	}
}
