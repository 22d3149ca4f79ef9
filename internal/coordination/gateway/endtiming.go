package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// eventTimes are when the events of a response were read, whose end is compared with them: a server that
// finishes a response ends it right behind the last event, and one whose handlers are cancelled at any time
// between two events.
type eventTimes struct {
	firstAt, lastAt time.Time // zero before the first event
	// readyAt is when the read behind the last event began. The entry does not read while it writes to
	// the caller.
	readyAt time.Time
	events  int
}

// add records that an event was read.
func (t *eventTimes) add() {
	t.lastAt = time.Now()
	if t.events == 0 {
		t.firstAt = t.lastAt
	}
	t.events++
}

// gap returns the mean time between two events, or 0 if it is not known.
func (t *eventTimes) gap() time.Duration {
	if t.events < 2 {
		return 0
	}
	return t.lastAt.Sub(t.firstAt) / time.Duration(t.events-1)
}

// lateSampleInterval is the number of events of a stream of which one is a sample of how late they are read.
const lateSampleInterval = 4

// sampleDelay records for the log of ends how late the event that was read last may have been read.
func (a *attempt) sampleDelay(ex Exchange) {
	if a.times.events%lateSampleInterval != 1 {
		return
	}
	if e := endTimeOf(ex); e.known {
		arrived := e.earliest.Add(e.latest.Sub(e.earliest) / 2)
		a.request.service.targets.ReadLate(max(0, a.times.lastAt.Sub(arrived)))
	}
}

// endTime says when the last data of a response, its end as a rule, was read, and when it may have arrived.
type endTime struct {
	readAt, earliest, latest time.Time
	known                    bool // earliest and latest are known
}

// endTimeOf returns when the end of a response came, which has just been read.
func endTimeOf(ex Exchange) endTime {
	e := endTime{readAt: time.Now()}
	if w, ok := ex.(ConnectionWatcher); ok {
		e.earliest, e.latest, e.known = w.Received()
	}
	return e
}

// arrivedAt returns the earliest time at which the end may have arrived. known is false if that is not known;
// at is the time at which it was read then.
func (e *endTime) arrivedAt() (at time.Time, known bool) {
	if e.known {
		return e.earliest, true
	}
	return e.readAt, false
}

// endArrivedAt is endTime.arrivedAt of a response that has just been read.
func endArrivedAt(ex Exchange) (at time.Time, known bool) {
	e := endTimeOf(ex)
	return e.arrivedAt()
}

// receivedAt returns the earliest time at which the last data of a response may have arrived, if that
// is known.
func receivedAt(ex Exchange) (at time.Time, known bool) {
	e := endTimeOf(ex)
	return e.earliest, e.known
}

// timing returns how the end of a response followed its last event. It is unknown where the entry, which was
// paused or wrote to the caller, may have read the event or the end late.
func (t *eventTimes) timing(e *endTime) targetend.Timing {
	if t.events == 0 {
		return targetend.TimingUnknown
	}
	timing := targetend.TimingOf(e.readAt.Sub(t.lastAt))
	readLate := e.known && e.readAt.After(e.latest)
	mayHaveWaited := timing != targetend.WithLastEvent && targetend.TimingOf(e.readAt.Sub(t.readyAt)) != timing
	mayBeEarlier := timing == targetend.BetweenEvents && e.known && !e.earliest.After(t.lastAt)
	if readLate || mayHaveWaited || mayBeEarlier {
		return targetend.TimingUnknown
	}
	return timing
}

// recordEndTiming records the timing of the end of a stream, which was read. Where only the end of the
// connection marks it, there is none: a process that is killed ends its connections too.
func (a *attempt) recordEndTiming(head *state.Response, ex Exchange) {
	a.end = endTimeOf(ex)
	if head.EndsWithConnection {
		return
	}
	a.timing = a.times.timing(&a.end)
	a.timingWeight = a.request.service.targets.TimingWeight(a.grant.Target.Service, a.timing, a.times.gap())
}

// learnTiming records the timing of the end of a stream that was whole.
func (a *attempt) learnTiming() {
	a.request.service.targets.Learn(a.grant.Target.Service, a.timing, a.times.gap())
}

// logTiming describes how the end of a response followed its last event.
func (a *attempt) logTiming() []zap.Field {
	t, e := &a.times, &a.end
	if t.events == 0 || e.readAt.IsZero() {
		return nil
	}
	fields := []zap.Field{zap.Stringer("timing", a.timing), zap.Float64("timing_weight", float64(a.timingWeight)), zap.Duration("end_after_event", e.readAt.Sub(t.lastAt)), zap.Duration("end_waited_for", e.readAt.Sub(t.readyAt)), zap.Duration("event_gap", t.gap())}
	if e.known {
		fields = append(fields, zap.Duration("end_arrived_after_event", e.earliest.Sub(t.lastAt)), zap.Duration("end_unread", e.readAt.Sub(e.latest)))
	}
	return fields
}
