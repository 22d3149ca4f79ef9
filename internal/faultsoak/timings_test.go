package faultsoak

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

// endSigns counts the signs that the entries logged at the ends of streams, at those that their targets
// finished and at those that the end of a target cut: the rates from which docs/design/target-ends.md has
// its weights.
type endSigns struct{ whole, cut map[string]int }

func (s endSigns) String() string {
	return fmt.Sprintf("at whole ends: %v; at cut ends: %v", s.whole, s.cut)
}

var (
	endLine    = regexp.MustCompile(`msg="(request answered|end of response not proved)" request=(\S+) .*?target=(\S+) .*?timing=(\S+)`)
	othersSign = regexp.MustCompile(` weight_of_others=(\S+)`)
)

// othersSpeakForCut is the weight from which on other streams that end at the same moment decide alone.
const othersSpeakForCut = -10

// endSigns reads the logs of the entries.
func (d *deploymentRun) endSigns() endSigns {
	s := endSigns{make(map[string]int), make(map[string]int)}
	seen := make(map[[2]string]bool)
	for _, line := range d.world.logLines() {
		m := endLine.FindStringSubmatch(line)
		if m == nil || seen[[2]string{m[2], m[3]}] {
			continue
		}
		seen[[2]string{m[2], m[3]}] = true
		signs := []string{m[4]}
		if o := othersSign.FindStringSubmatch(line); o != nil {
			if w, err := strconv.ParseFloat(o[1], 64); err == nil && w <= othersSpeakForCut {
				signs = append(signs, "ended_together")
			}
		}
		d.countSigns(s, m[2], m[3], signs)
	}
	return s
}

// countSigns counts the signs of the end of a request's run at a target.
func (d *deploymentRun) countSigns(s endSigns, request, target string, signs []string) {
	for _, r := range ranOf(d.runsOf(request)) {
		ends := s.whole
		switch {
		case r.Target != target:
			continue
		case r.Outcome == emulator.RunBrokenOff && d.endingOf(r) != "":
			ends = s.cut
		case r.Outcome != emulator.RunCompleted:
			continue
		}
		for _, sign := range signs {
			ends[sign]++
		}
	}
}

// Guards against rates of signs that are counted for the wrong end.
func TestEndSignsAreCountedByTheirEnd(t *testing.T) {
	dir := t.TempDir()
	log := `level=info msg="end of response not proved" request=a target=t1 verdict=cut weight_of_others=-20.5 events=3 timing=between_events timing_weight=-9
level=info msg="request answered" request=b route=r target=t1 status=200 timing=with_last_event timing_weight=8
level=info msg="end of response not proved" request=c target=t1 verdict=whole weight_of_others=0 events=3 timing=soon_after timing_weight=-9
level=info msg="request answered" request=c route=r target=t1 status=200 timing=soon_after timing_weight=8
level=info msg="request answered" request=d route=r target=t2 status=200 timing=with_last_event timing_weight=8
`
	if err := os.WriteFile(filepath.Join(dir, "edge-1.log"), []byte(log), 0o644); err != nil {
		t.Fatal(err)
	}
	outcomes := map[string]string{"a": emulator.RunBrokenOff, "b": emulator.RunCompleted, "c": emulator.RunCompleted, "d": emulator.RunCompleted}
	d := &deploymentRun{world: &world{t: t, logDirectory: dir}, events: []event{{what: "SIGTERM, cancel", where: "t1"}}, runsOf: func(id string) []emulator.Run {
		return []emulator.Run{{Target: "t1", Outcome: outcomes[id]}}
	}}
	want := "at whole ends: map[soon_after:1 with_last_event:1]; at cut ends: map[between_events:1 ended_together:1]"
	if got := d.endSigns().String(); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
