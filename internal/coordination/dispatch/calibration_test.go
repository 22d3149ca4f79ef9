package dispatch

import (
	"testing"
	"time"
)

// A quick and a slow target, one of them beyond its slots. Guards against errors of predictions
// that are counted for the wrong class, and against requests that were cut off at their deadline,
// which are the worst errors, missing from the table.
func TestCalibrationTellsSpeedAndLoadApart(t *testing.T) {
	s, c := newTestScheduler()
	observeResponses(s, "t1", 10*time.Millisecond, 5*time.Millisecond)
	observeResponses(s, "t2", 80*time.Millisecond, 40*time.Millisecond)
	for range 3 {
		r := allowOnly(c.request(true), "t1")
		r.Route = "chat"
		acquire(t, s, r)
	}
	slow := allowOnly(c.request(true), "t2")
	slow.Route, slow.Deadline = "chat", c.at.Add(time.Second)
	g := acquire(t, s, slow)
	c.at = c.at.Add(3 * g.Predicted)
	s.ResponseStarted(g)
	c.at = slow.Deadline
	s.Release(g, Silent)
	for _, grant := range s.targets["t1"].grants() {
		s.ResponseStarted(grant)
		s.Release(grant, Served)
	}
	rows := make(map[[2]string]int64)
	for _, row := range s.Calibration() {
		if row.Service != "s" || row.Route != "chat" {
			t.Errorf("row %+v of another service or route", row)
		}
		rows[[2]string{row.Speed, row.Load}] += row.End.Count
		if row.Speed == speedSlow && (row.Start.Over2 != 1 || row.Cut != 1) {
			t.Errorf("row %+v, want one start above twice the prediction and one cut", row)
		}
	}
	if rows[[2]string{speedQuick, loadIdle}] != 2 || rows[[2]string{speedQuick, loadFull}] != 1 || len(rows) != 3 {
		t.Errorf("ends by speed and load: %v", rows)
	}
}

// grants returns the open grants of this entry at the target.
func (t *target) grants() []*Grant {
	var out []*Grant
	for g := range t.openGrants {
		out = append(out, g)
	}
	return out
}
