package faultsoak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// wrongEnds counts the ends of streams that an entry judged wrongly. The keys say whether the stream may be
// resumed, and have the doubt, the reason and the timing that the entry logged for the end.
type wrongEnds struct{ passedOn, brokenOff, resumed map[string]int }

func (w wrongEnds) String() string {
	return fmt.Sprintf("cut ones passed on: %v; whole ones broken off: %v; whole ones resumed: %v", w.passedOn, w.brokenOff, w.resumed)
}

// judgedLine is the line of an end that was in doubt.
var judgedLine = regexp.MustCompile(`msg="end of response not proved" request=(\S+) .*?target=(\S+) .*?doubt=(\S+) result=(\S+) verdict=(\S+) because=(\S+) .*?events=\d+(?: timing=(\S+))?`)

// notInDoubt stands for an end of which the entry logged no judgement.
const notInDoubt = "not judged"

// wrongEnds reads the logs of the entries.
func (d *deploymentRun) wrongEnds() wrongEnds {
	judged := make(map[[2]string]string) // by request and target
	for _, line := range d.world.logLines() {
		if m := judgedLine.FindStringSubmatch(line); m != nil {
			judged[[2]string{m[1], m[2]}] = fmt.Sprintf("%s, %s, %s because %s, timing %s", m[3], m[4], m[5], m[6], m[7])
		}
	}
	w := wrongEnds{make(map[string]int), make(map[string]int), make(map[string]int)}
	for _, a := range d.attempts {
		if a.kind.kind != "streaming" || a.behindEnd() {
			continue
		}
		ran := ranOf(d.runsOf(a.id))
		ended := a.status == http.StatusOK && a.err == nil
		for i, r := range ran {
			key := judged[[2]string{a.id, r.Target}]
			if key == "" {
				key = notInDoubt
			}
			if a.kind.resumable {
				key = "resumable: " + key
			}
			whole := r.Outcome == emulator.RunCompleted && r.After < a.events
			switch {
			case r.Outcome == emulator.RunBrokenOff && d.endingOf(r) != "" && i == len(ran)-1 && ended && a.after+a.received() < a.events:
				w.passedOn[key]++
			case whole && !ended && !a.left && d.inTouch(a):
				w.brokenOff[key]++
			case whole && a.resumedBehind(ran):
				w.resumed[key]++
			}
		}
	}
	return w
}

// Guards against wrong ends that are counted under the reason of another one, or under the other error.
func TestWrongEndsAreCountedByTheirReason(t *testing.T) {
	dir := t.TempDir()
	log := `level=info msg="end of response not proved" request=a target=t1 address=x doubt=unannounced_close result=ended verdict=whole because=likely_whole weight=3 events=3 timing=with_last_event timing_weight=8
level=info msg="end of response not proved" request=b target=t1 address=x doubt=ended_together result=ended verdict=cut because=ended_together weight=-20 events=3 timing=unknown timing_weight=0
level=info msg="end of response not proved" request=c target=t1 address=x doubt=ended_together result=ended verdict=cut because=ended_together weight=-20 events=3
`
	if err := os.WriteFile(filepath.Join(dir, "edge-1.log"), []byte(log), 0o644); err != nil {
		t.Fatal(err)
	}
	at, kind, resumable := &entry{name: "edge-0"}, &requestKind{kind: "streaming"}, &requestKind{kind: "streaming", resumable: true}
	attempts := []*attempt{
		{id: "a", entry: at, kind: kind, status: http.StatusOK, events: 3},
		{id: "b", entry: at, kind: resumable, status: http.StatusOK, err: http.ErrBodyReadAfterClose, events: 3},
		{id: "c", entry: at, kind: resumable, status: http.StatusOK, events: 3},
		{id: "d", entry: at, kind: kind, status: http.StatusOK, events: 3},
	}
	runs := map[string][]emulator.Run{
		"a": {{Target: "t1", Outcome: emulator.RunBrokenOff}},
		"b": {{Target: "t1", Outcome: emulator.RunCompleted}},
		"c": {{Target: "t1", Outcome: emulator.RunCompleted}, {Target: "t2", Outcome: emulator.RunCompleted, After: 3}},
		"d": {{Target: "t2", Outcome: emulator.RunBrokenOff}}, // whose process did not end
	}
	d := &deploymentRun{world: &world{t: t, logDirectory: dir}, attempts: attempts, events: []event{{what: "SIGTERM, cancel", where: "t1"}}, runsOf: func(id string) []emulator.Run { return runs[id] }}
	want := "cut ones passed on: map[unannounced_close, ended, whole because likely_whole, timing with_last_event:1]; " +
		"whole ones broken off: map[resumable: ended_together, ended, cut because ended_together, timing unknown:1]; " +
		"whole ones resumed: map[resumable: ended_together, ended, cut because ended_together, timing :1]"
	if got := d.wrongEnds().String(); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
