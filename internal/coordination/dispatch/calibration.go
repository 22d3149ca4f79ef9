package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/costmodel"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Speed classes of targets, by the ratio of the time to a response to that usual in the
// service. A target of which nothing is known counts as usual.
const (
	speedQuick, speedUsual, speedSlow = "quick", "usual", "slow"

	quickBelow, slowAbove = 0.8, 1.6
)

// Classes of the load of a target before the request is sent there.
const (
	loadIdle   = "idle"   // slots are free
	loadFull   = "full"   // all slots are in use
	loadBeyond = "beyond" // requests wait at the target
)

// maxCalibrationRows bounds the table: the names of routes change with the configuration.
const maxCalibrationRows = 1000

// calibrationKey names a row of the calibration table.
type calibrationKey struct {
	service            state.Service
	route, speed, load string
}

// calibration holds the rows of the calibration table.
type calibration map[calibrationKey]*calibrationTally

type calibrationTally struct {
	start, end state.PredictionErrors
	cut        int64
}

// calibrationKey returns the row for a request that is sent to t under the load l.
func (p *pool) calibrationKey(t *target, r *Request, l costmodel.Load) calibrationKey {
	key := calibrationKey{service: p.name, route: r.Route, speed: speedUsual, load: loadIdle}
	switch slowness := p.cost.Slowness(&t.cost); {
	case slowness > slowAbove:
		key.speed = speedSlow
	case slowness > 0 && slowness < quickBelow:
		key.speed = speedQuick
	}
	switch {
	case l.Open > l.Slots:
		key.load = loadBeyond
	case l.Open == l.Slots:
		key.load = loadFull
	}
	return key
}

// row returns the tally of a key, or nil if the table is full.
func (c calibration) row(key calibrationKey) *calibrationTally {
	tally := c[key]
	if tally == nil && len(c) < maxCalibrationRows {
		tally = &calibrationTally{}
		c[key] = tally
	}
	return tally
}

// observeStart records that the response to a request started after took.
func (c calibration) observeStart(g *Grant, took time.Duration) {
	if tally := c.row(g.calibrationKey); tally != nil {
		tally.start.Observe(took, g.Predicted)
	}
}

// observeEnd records how a request ended at a target. A resumed stream and one that another
// target or its caller ended early say nothing about the prediction.
func (c calibration) observeEnd(g *Grant, o Outcome, now time.Time) {
	if g.request.Resumed || o == Unused {
		return
	}
	tally := c.row(g.calibrationKey)
	switch {
	case tally == nil:
	case o == Served:
		tally.end.Observe(now.Sub(g.grantedAt), g.predictedEnd)
	case !now.Before(g.request.Deadline):
		tally.cut++
	}
}

// Calibration returns the calibration table, sorted.
func (s *Scheduler) Calibration() []state.CalibrationRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]state.CalibrationRow, 0, len(s.calibration))
	for _, k := range slices.SortedFunc(maps.Keys(s.calibration), compareCalibrationKeys) {
		t := s.calibration[k]
		rows = append(rows, state.CalibrationRow{Service: k.service, Route: k.route, Speed: k.speed, Load: k.load, Start: t.start, End: t.end, Cut: t.cut})
	}
	return rows
}

func compareCalibrationKeys(a, b calibrationKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.route, b.route), cmp.Compare(a.speed, b.speed), cmp.Compare(a.load, b.load))
}
