package slotscmd

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Row is the use of the slots of one service in one second. Slots in use are means over the
// second; they exceed Slots when requests wait at targets.
type Row struct {
	Service       string  `json:"service"`
	Second        int     `json:"second"` // since the first line of the logs
	Slots         int     `json:"slots"`  // of targets that are listed and not leaving
	OnTime        float64 `json:"on_time"`
	Late          float64 `json:"late"`
	InVain        float64 `json:"in_vain"` // the attempt failed, or the caller got no complete response
	Refused       int     `json:"refused"`
	OverAllowance int     `json:"over_allowance"`
}

// target is what the logs tell of a target.
type target struct {
	service      string
	slots        int
	listed, gone time.Time // gone: removed or leaving; zero if it was not
}

// open is a request that was sent to a target.
type open struct {
	target, route string
	at            time.Time
}

// span is the time for which a request used a slot.
type span struct {
	open
	end      time.Time
	answered bool
	returned bool          // the caller had been refused before
	first    time.Duration // until the response began
}

// event is a request that was refused.
type event struct {
	route string
	at    time.Time
}

// usage gathers what the logs tell. Lines may come in any order, except those of one
// request.
type usage struct {
	targets       map[string]*target
	open          map[string]open // by request
	spans         []span
	refused       []event
	overAllowance []event
	objectives    map[string]time.Duration // by route
	services      map[string]string        // by route
	skipped       int                      // lines that could not be read
	first, last   time.Time
}

func newUsage() *usage {
	return &usage{
		targets: make(map[string]*target), open: make(map[string]open),
		objectives: make(map[string]time.Duration), services: make(map[string]string),
	}
}

// add reads one line.
func (u *usage) add(line []byte) {
	start := bytes.Index(line, []byte("ts="))
	if start < 0 {
		return // not a line of an entry
	}
	fields := make(map[string]string)
	d := logfmt.NewDecoder(bytes.NewReader(line[start:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, fields["ts"])
	if d.Err() != nil || err != nil || !u.addEvent(at, fields) {
		u.skipped++
		return
	}
	if u.first.IsZero() || at.Before(u.first) {
		u.first = at
	}
	if at.After(u.last) {
		u.last = at
	}
}

// addEvent records what a line says. It returns false if the line lacks something.
func (u *usage) addEvent(at time.Time, f map[string]string) bool {
	switch f["msg"] {
	case "target listed":
		return u.addTarget(at, f)
	case "target gone":
		if t := u.targets[f["target"]]; t != nil {
			t.leave(at)
		}
	case "target chosen":
		u.open[f["request"]] = open{target: f["target"], route: f["route"], at: at}
		if t := u.targets[f["target"]]; t != nil {
			u.services[f["route"]] = t.service
		}
	case "request answered", "attempt failed", "stream aborted", "caller left", "request failed":
		return u.end(at, f)
	case "placement refused":
		objective, err := time.ParseDuration(f["objective"])
		if err != nil {
			return false
		}
		u.objectives[f["route"]] = objective
		u.refused = append(u.refused, event{f["route"], at})
	case "over allowance":
		u.overAllowance = append(u.overAllowance, event{f["route"], at})
	}
	return true
}

func (u *usage) addTarget(at time.Time, f map[string]string) bool {
	slots, err := strconv.Atoi(f["slots"])
	if err != nil || f["service"] == "" {
		return false
	}
	t := u.targets[f["target"]]
	if t == nil {
		t = &target{service: f["service"], slots: slots, listed: at}
		u.targets[f["target"]] = t
	}
	if at.Before(t.listed) {
		t.listed = at
	}
	if f["draining"] == "true" {
		t.leave(at)
	}
	return true
}

// leave records that an entry saw the target leave or go.
func (t *target) leave(at time.Time) {
	if t.gone.IsZero() || at.Before(t.gone) {
		t.gone = at
	}
}

// end records the end of a request at its target.
func (u *usage) end(at time.Time, f map[string]string) bool {
	o, ok := u.open[f["request"]]
	if !ok {
		return true // it was not sent
	}
	delete(u.open, f["request"])
	s := span{open: o, end: at, answered: f["msg"] == "request answered" && f["status"] == "200", returned: f["returned"] == "true"}
	if s.answered {
		first, err := time.ParseDuration(f["first_after"])
		if err != nil {
			return false
		}
		s.first = first
	}
	u.spans = append(u.spans, s)
	return true
}

// rows returns the rows by service and second.
func (u *usage) rows() []Row {
	type key struct {
		service string
		second  int
	}
	byKey := make(map[key]*Row)
	row := func(service string, second int) *Row {
		k := key{service, second}
		if byKey[k] == nil {
			byKey[k] = &Row{Service: service, Second: second, Slots: u.slots(service, second)}
		}
		return byKey[k]
	}
	for _, s := range u.spans {
		t := u.targets[s.target]
		if t == nil {
			continue
		}
		from, to := s.at.Sub(u.first).Seconds(), s.end.Sub(u.first).Seconds()
		for second := int(from); float64(second) < to; second++ {
			used := min(to, float64(second+1)) - max(from, float64(second))
			*u.use(row(t.service, second), &s) += used
		}
	}
	for _, e := range u.refused {
		row(u.services[e.route], u.second(e.at)).Refused++
	}
	for _, e := range u.overAllowance {
		row(u.services[e.route], u.second(e.at)).OverAllowance++
	}
	var rows []Row
	for _, r := range byKey {
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Second, b.Second))
	})
	return rows
}

func (u *usage) second(at time.Time) int { return int(math.Floor(at.Sub(u.first).Seconds())) }

// use returns the field of the row to which the span counts. The objective of a route is
// known from its refusals; without any, its requests count as on time.
func (u *usage) use(r *Row, s *span) *float64 {
	objective, known := u.objectives[s.route]
	switch {
	case !s.answered:
		return &r.InVain
	case s.returned || known && s.first > objective:
		return &r.Late
	default:
		return &r.OnTime
	}
}

// slots returns the slots of the targets that are listed during the whole second.
func (u *usage) slots(service string, second int) int {
	from := u.first.Add(time.Duration(second) * time.Second)
	n := 0
	for _, t := range u.targets {
		if t.service == service && !t.listed.After(from) && (t.gone.IsZero() || t.gone.After(from.Add(time.Second))) {
			n += t.slots
		}
	}
	return n
}
