package targetend

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// retention is how long what a target did is remembered. Ends that are asked for are a few
	// hundred milliseconds old, and targets finish their streams within seconds.
	retention = 10 * time.Second
	// maxEnds bounds the ends that are remembered for each target.
	maxEnds = 32
)

// Log knows what this entry has seen of its targets: the streams that they write for it, and since when
// they accept no connections. It is safe for concurrent use. The zero value is an empty log.
type Log struct {
	mu      sync.Mutex
	targets map[state.TargetID]*target
	sweptAt time.Time
	timings map[state.Service]*serviceEnds // at ends that were whole
	late    float64                        // mean delay of the reads of events, ns
}

// target is what is known of one target.
type target struct {
	open map[*Stream]bool
	// ends are when the last responses ended. The oldest come first.
	ends []end
	// refusesSince is when the target was first known to refuse connections or to close its idle ones;
	// zero if it was not. refusedAt is when that was last seen.
	refusesSince, refusedAt time.Time
}

// end is the end of one stream.
type end struct {
	stream *Stream // nil if it was not recorded
	at     time.Time
	timing Weight
}

// Stream is a stream that has begun.
type Stream struct {
	log    *Log
	target state.TargetID
	// received returns the earliest time at which the last data may have arrived, if that is known.
	received func() (time.Time, bool)
	unread   atomic.Bool
}

// SetRead says whether the response is being read. It is not while the entry writes to the caller: the end
// of the response may have arrived then. s may be nil.
func (s *Stream) SetRead(read bool) {
	if s != nil {
		s.unread.Store(!read)
	}
}

// Begin records a stream of a target, whose request was sent at sentAt. received returns the earliest
// time at which its last data may have arrived, if that is known.
func (l *Log) Begin(id state.TargetID, sentAt time.Time, received func() (time.Time, bool)) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &Stream{log: l, target: id, received: received}
	t := l.use(id, time.Now())
	t.runs(sentAt)
	t.open[s] = true
	return s
}

// Runs records that a target has run a request that was sent at sentAt, whose response is no stream.
func (l *Log) Runs(id state.TargetID, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil {
		t.runs(sentAt)
	}
}

// runs must be called with the lock of the log held.
func (t *target) runs(sentAt time.Time) {
	if sentAt.After(t.refusedAt) {
		t.refusesSince = time.Time{} // it runs requests again
	}
}

// End records that the response of the stream has ended, which arrived at the given time. s may be nil.
func (s *Stream) End(at time.Time) { s.EndTimed(at, 0) }

// EndTimed is End where the timing of the end has a weight.
func (s *Stream) EndTimed(at time.Time, timing Weight) {
	if s == nil {
		return
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	t := s.log.use(s.target, time.Now())
	if !t.open[s] {
		return
	}
	delete(t.open, s)
	t.addEnd(end{s, at, timing})
}

// Ended records that a target has ended a response that was not recorded as a stream, which arrived at
// the given time.
func (l *Log) Ended(id state.TargetID, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.use(id, time.Now()).addEnd(end{at: at})
}

// addEnd must be called with the lock of the log held.
func (t *target) addEnd(e end) {
	if t.ends = append(t.ends, e); len(t.ends) > maxEnds {
		t.ends = t.ends[1:]
	}
}

// Leave forgets a stream whose response has not ended. s may be nil.
func (s *Stream) Leave() {
	if s == nil {
		return
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	delete(s.log.use(s.target, time.Now()).open, s)
}

// Refuses records that a target refuses connections, or has closed its idle ones, since the given time.
func (l *Log) Refuses(id state.TargetID, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	t := l.use(id, now)
	if t.refusesSince.IsZero() || now.Sub(t.refusedAt) > retention || since.Before(t.refusesSince) {
		t.refusesSince = since
	}
	t.refusedAt = now
}

// Accepts records that a target accepts connections.
func (l *Log) Accepts(id state.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil {
		t.refusesSince = time.Time{}
	}
}

// Seen returns what this entry has seen of a target, without the stream except, which may be nil.
func (l *Log) Seen(id state.TargetID, except *Stream) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := Report{Earliest: now, Latest: now}
	t := l.targets[id]
	if t == nil {
		return r
	}
	for s := range t.open {
		if s == except || s.unread.Load() {
			continue
		}
		age := unknownAge
		if at, known := s.received(); known {
			age = now.Sub(at)
		}
		r.Open = append(r.Open, age)
	}
	for _, e := range t.ends {
		if (e.stream == nil || e.stream != except) && now.Sub(e.at) < retention {
			r.Ended = append(r.Ended, now.Sub(e.at))
			r.EndedTimings = append(r.EndedTimings, e.timing)
		}
	}
	if !t.refusesSince.IsZero() && now.Sub(t.refusedAt) < retention {
		r.Refusing = max(1, now.Sub(t.refusesSince))
	}
	return r
}

// use returns what is known of a target, to be changed, and forgets targets that have not been used for
// the retention time. The caller must hold l.mu.
func (l *Log) use(id state.TargetID, now time.Time) *target {
	if now.Sub(l.sweptAt) > retention {
		l.sweptAt = now
		for id, t := range l.targets {
			if t.isOutdated(now) {
				delete(l.targets, id)
			}
		}
	}
	t := l.targets[id]
	if t == nil {
		if l.targets == nil {
			l.targets = make(map[state.TargetID]*target)
		}
		t = &target{open: make(map[*Stream]bool)}
		l.targets[id] = t
	}
	return t
}

// isOutdated reports whether nothing of what is known of the target counts any more.
func (t *target) isOutdated(now time.Time) bool {
	return len(t.open) == 0 && now.Sub(t.refusedAt) > retention && (len(t.ends) == 0 || now.Sub(t.ends[len(t.ends)-1].at) > retention)
}
