package faultsoak

import (
	"flag"
	"strings"
	"syscall"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

var (
	processesFlag = flag.Int("faultsoak.processes", 3, "number of a deployment's engines, and of its plain targets, that are processes of their own; none with -faultsoak.proxies")
	unframedFlag  = flag.Float64("faultsoak.unframed", 0.1, "share of the streams of such targets that have neither a length nor chunks")
	endingFlag    = flag.String("faultsoak.ending", "", "only let engines, which are then all processes of their own, end in this form: kill, exit, cancel, finish or finish-cancel")
	announcedFlag = flag.Bool("faultsoak.announced", false, "with -faultsoak.ending: targets report that they leave 1.5 s before")
)

// endKill is an end by SIGKILL. The other forms are those of SIGTERM.
const endKill = "kill"

var endingForms = []string{endKill, emulator.EndExit, emulator.EndFinish, emulator.EndCancel, emulator.EndFinishCancel}

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
	forms := endingForms
	if !d.openFaults() { // a target that ends streams properly in the middle breaks ORDER
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
	otherAddress := d.random.IntN(2) == 0
	time.AfterFunc(after, func() {
		d.impair(how.String(), e.ID, 0)
		recordLasts := time.Duration(0) // after the process
		switch how.form {
		case endKill:
			e.process.Process.Kill()
			recordLasts = recordLease
		case emulator.EndExit:
			recordLasts = recordLease
			fallthrough
		default:
			e.process.command(emulator.CommandEnd + how.form)
			e.process.Process.Signal(syscall.SIGTERM) // fails if it has just ended, which is harmless
		}
		if otherAddress {
			d.restartEngine(e, 0, func(n *engine) { d.startProcess(n, "127.0.0.1:0") })
		}
		<-e.process.exited
		if !otherAddress {
			d.restartEngine(e, 0, func(n *engine) { d.startProcess(n, e.proxyAddress) })
		}
		time.AfterFunc(recordLasts, func() { d.world.store.Put("keyed.servers", e.ID, nil) })
	})
}

// Between two ends of targets with -faultsoak.ending.
const minEndingGap, maxEndingGap = 400 * time.Millisecond, 1200 * time.Millisecond

// playEndings ends engines in the form of -faultsoak.ending, one after the other.
func (d *deploymentRun) playEndings() {
	for begin := time.Now(); time.Since(begin) < *dayFlag; {
		d.removeEngine(nil)
		time.Sleep(minEndingGap + time.Duration(d.random.Int64N(int64(maxEndingGap-minEndingGap))))
	}
}

// countEnds prints how many streams ended as complete before their last event, by the end of
// their target, and how many whole ones the entries broke off.
func (d *deploymentRun) countEnds() {
	cutByTarget, early := make(map[string]int), make(map[string]int)
	streams, whole, brokenOff, empty := 0, 0, 0, 0
	for _, a := range d.attempts {
		runs := d.runsOf(a.id)
		if a.kind.kind != "streaming" || a.status != 200 || len(runs) == 0 {
			continue
		}
		streams++
		last := runs[len(runs)-1]
		cause := "other"
		for _, r := range runs {
			if how := d.endingOf(r); how != "" && r.Outcome == emulator.RunBrokenOff {
				cause = how
			}
		}
		if cause != "other" {
			cutByTarget[cause]++
		}
		if last.Outcome == emulator.RunCompleted && !a.left {
			whole++
			if a.err != nil {
				brokenOff++
			}
		}
		if a.err == nil && a.after+a.received() < a.events {
			early[cause]++
			if a.received() == 0 {
				empty++
			}
		}
	}
	d.world.t.Logf("streams of %s, seed %d: %d, of them cut by the end of a target: %v; ended as complete before the last event: %v, %d of them without an event; whole ones: %d, of them broken off by the entry: %d",
		d.name, d.world.seed, streams, cutByTarget, early, empty, whole, brokenOff)
}

// endingOf returns how the process of a run's target ended or was told to while the run went on,
// "" if it was not.
func (d *deploymentRun) endingOf(r emulator.Run) string {
	for _, e := range d.events {
		if e.where == r.Target && strings.HasPrefix(e.what, "SIG") && !e.from.After(r.To) {
			return e.what
		}
	}
	return ""
}
