// Package origin remembers at which service and software version streams began, so that
// a caller can take a stream up through any entry and it goes on at that version. Entries
// tell each other the origins of their streams while several versions of a service
// serve, or have served lately. While there is only one, every stream of the service
// began there, and nothing needs to be told.
//
// Invariant: an origin is reported as known only if the stream cannot have begun at
// another version.
package origin

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// MaxTakeUpTime is the longest time from the first event of a stream until a caller takes
// it up. It exceeds the longest time limits of callers. After this time without
// isolation, a log knows all versions by itself.
const MaxTakeUpTime = 20 * time.Second

const (
	// maxRemembered bounds the remembered origins to a few megabytes.
	maxRemembered = 1 << 16
	// reportsEach is the number of reports that contain an origin, because a report may
	// be lost.
	reportsEach = 2
	// maxNotes bounds the origins in a report, of about 9 bytes each.
	maxNotes       = 400
	expiryInterval = time.Second // between removals of expired origins
	// maxIsolation is the time without Connected after which versions may have served
	// that are not known here.
	maxIsolation = 2 * time.Second
)

// Unsure is the software version of streams that may have begun at either of two. No target has it.
const Unsure state.SoftwareVersion = "\x00unsure"

// Origin is where a stream began.
type Origin struct {
	Service  state.Service
	Software state.SoftwareVersion
}

// Notes tell other entries of streams that began at Origin.
type Notes struct {
	_ struct{} `cbor:",toarray"`
	Origin
	Streams []uint64 // hashes of the requests that brought the first events
}

// Log remembers the origins of streams. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	services map[state.Service]*service
	// coveredSince is the time since when all versions that served are known.
	coveredSince time.Time
	// connectedAt is when Connected was called last.
	connectedAt, connectedAtTimeOfDay time.Time
	streams                           map[uint64]stream
	own                               []ownStream // in the order in which they began
	nextExpiry                        time.Time
}

// service holds the versions of a service that serve or have served lately.
type service struct {
	listed map[state.SoftwareVersion]bool
	leftAt map[state.SoftwareVersion]time.Time // of versions that are no longer listed
}

type stream struct {
	origin  Origin
	expires time.Time
}

// ownStream is a stream that began here. nearReports and farReports are the numbers of
// reports to the near and to the other entries that are still to contain it.
type ownStream struct {
	stream
	hash                    uint64
	nearReports, farReports int
}

// New returns an empty log. allKnown says that no stream can have begun before now, as at
// the first start of the whole system.
func New(now time.Time, allKnown bool) *Log {
	l := &Log{services: make(map[state.Service]*service), streams: make(map[uint64]stream), coveredSince: now, connectedAt: now, connectedAtTimeOfDay: now.Round(0)}
	if allKnown {
		l.coveredSince = now.Add(-MaxTakeUpTime)
	}
	return l
}

// Connected records that the list of targets is current or that other entries are heard,
// so that a version that serves now is known here or soon will be. It must be called at
// intervals well below maxIsolation. timeOfDay tells of times in which the instance was
// suspended, which the steady clock of now does not count.
func (l *Log) Connected(now, timeOfDay time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeOfDay = timeOfDay.Round(0) // without the steady clock's reading
	if now.Sub(l.connectedAt) > maxIsolation || timeOfDay.Sub(l.connectedAtTimeOfDay).Abs() > maxIsolation {
		l.coveredSince = now
	}
	l.connectedAt, l.connectedAtTimeOfDay = now, timeOfDay
}

// HashRequest returns the hash under which a stream is remembered.
func HashRequest(id state.RequestID) uint64 { return xxhash.Sum64String(string(id)) }

// SetTargets takes a new list of targets.
func (l *Log) SetTargets(now time.Time, records []state.TargetRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[state.Service]map[state.SoftwareVersion]bool)
	for _, r := range records {
		if listed[r.Service] == nil {
			listed[r.Service] = make(map[state.SoftwareVersion]bool)
		}
		listed[r.Service][r.Software] = true
	}
	for name := range listed {
		l.service(name)
	}
	for name, s := range l.services {
		for version := range s.listed {
			if !listed[name][version] {
				s.leftAt[version] = now
			}
		}
		s.listed = listed[name]
	}
}

func (l *Log) service(name state.Service) *service {
	s := l.services[name]
	if s == nil {
		s = &service{leftAt: make(map[state.SoftwareVersion]time.Time)}
		l.services[name] = s
	}
	return s
}

// versions returns the versions of a service at which a stream that is taken up now may
// have begun.
func (l *Log) versions(now time.Time, name state.Service) []state.SoftwareVersion {
	s := l.services[name]
	if s == nil {
		return nil
	}
	for version, at := range s.leftAt {
		if now.Sub(at) > MaxTakeUpTime {
			delete(s.leftAt, version)
		}
	}
	versions := slices.Collect(maps.Keys(s.listed))
	for version := range s.leftAt {
		if !s.listed[version] {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// covered reports whether all versions are known at which a stream that is taken up now
// may have begun.
func (l *Log) covered(now time.Time) bool {
	return now.Sub(l.coveredSince) >= MaxTakeUpTime && now.Sub(l.connectedAt) <= maxIsolation
}

// Covered reports whether all versions are known at which a stream that is taken up now
// may have begun, provided that the list of targets is.
func (l *Log) Covered(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.covered(now)
}

// Mixed returns the versions of the services of which several are known that serve or
// have served lately.
func (l *Log) Mixed(now time.Time) map[state.Service][]state.SoftwareVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mixed(now)
}

// mixed implements Mixed.
func (l *Log) mixed(now time.Time) map[state.Service][]state.SoftwareVersion {
	mixed := make(map[state.Service][]state.SoftwareVersion)
	for name := range l.services {
		if versions := l.versions(now, name); len(versions) > 1 {
			mixed[name] = versions
		}
	}
	return mixed
}

// AdoptMixed takes the result of Mixed of an entry that knew all versions lately. After
// that, all are known here too.
func (l *Log) AdoptMixed(now time.Time, mixed map[state.Service][]state.SoftwareVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, versions := range mixed {
		for _, version := range versions {
			l.service(name).leftAt[version] = now
		}
	}
	l.coveredSince = now.Add(-MaxTakeUpTime)
}

// NewNotes returns notes of the streams of requests that began at origin.
func NewNotes(origin Origin, ids ...state.RequestID) Notes {
	n := Notes{Origin: origin}
	for _, id := range ids {
		n.Streams = append(n.Streams, HashRequest(id))
	}
	return n
}

// Begin remembers that the stream of a request began here at origin. It reports whether the
// service has several versions, so that other entries are to be told before the caller
// gets an event: a next report would come too late if this entry is killed before it.
func (l *Log) Begin(now time.Time, id state.RequestID, origin Origin) (urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hash, added := HashRequest(id), stream{origin, now.Add(MaxTakeUpTime)}
	_, known := l.streams[hash]
	if l.remember(now, hash, added) {
		if known { // a report must not have an earlier origin beside this one
			l.own = slices.DeleteFunc(l.own, func(s ownStream) bool { return s.hash == hash })
		}
		l.own = append(l.own, ownStream{stream: added, hash: hash, nearReports: reportsEach, farReports: reportsEach})
	}
	return l.hasSeveralVersions(now, origin.Service)
}

// hasSeveralVersions reports whether Mixed has the service.
func (l *Log) hasSeveralVersions(now time.Time, name state.Service) bool {
	s := l.services[name]
	if s == nil || len(s.listed) <= 1 && len(s.leftAt) == 0 {
		return false
	}
	return len(l.versions(now, name)) > 1
}

// Learn remembers the origins in a report of another entry.
func (l *Log) Learn(now time.Time, notes []Notes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range notes {
		for _, hash := range n.Streams {
			l.remember(now, hash, stream{n.Origin, now.Add(MaxTakeUpTime)})
		}
	}
}

// remember adds a stream unless the log is full. It replaces one that is known, also in a full log, unless
// its origin is unsure: what was told before may arrive later.
func (l *Log) remember(now time.Time, hash uint64, s stream) bool {
	if !now.Before(l.nextExpiry) {
		l.nextExpiry = now.Add(expiryInterval)
		maps.DeleteFunc(l.streams, func(_ uint64, s stream) bool { return now.After(s.expires) })
		l.own = slices.DeleteFunc(l.own, func(s ownStream) bool {
			return now.After(s.expires) || s.nearReports == 0 && s.farReports == 0
		})
	}
	known, ok := l.streams[hash]
	if ok && known.origin.Software == Unsure || !ok && len(l.streams) >= maxRemembered {
		return false
	}
	l.streams[hash] = s
	return true
}

// Find returns where the stream of a request began, as far as it is known here. service
// is where it began if nothing else is known.
func (l *Log) Find(now time.Time, id state.RequestID, service state.Service) (origin Origin, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.streams[HashRequest(id)]; ok && id != "" && !now.After(s.expires) {
		return s.origin, true
	}
	if versions := l.versions(now, service); l.covered(now) && len(versions) == 1 {
		return Origin{service, versions[0]}, true
	}
	return Origin{}, false
}

// Unreported returns the origins that the next report to the near entries is to contain
// or, if far is set, the next report to the others.
func (l *Log) Unreported(now time.Time, far bool) []Notes {
	l.mu.Lock()
	defer l.mu.Unlock()
	byOrigin := make(map[Origin][]uint64)
	count := 0
	for s := range l.unreported(now, far) {
		byOrigin[s.origin] = append(byOrigin[s.origin], s.hash)
		*s.reportsLeft(far)--
		if count++; count == maxNotes {
			break
		}
	}
	var notes []Notes
	for origin, streams := range byOrigin {
		notes = append(notes, Notes{Origin: origin, Streams: streams})
	}
	return notes
}

// HasUnreported reports whether the next report to the near entries is to contain origins.
func (l *Log) HasUnreported(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.unreported(now, false) {
		return true
	}
	return false
}

// reportsLeft returns the number of reports that are still to contain the stream.
func (s *ownStream) reportsLeft(far bool) *int {
	if far {
		return &s.farReports
	}
	return &s.nearReports
}

// unreported returns the streams that are to be reported: those of services with several
// versions.
func (l *Log) unreported(now time.Time, far bool) iter.Seq[*ownStream] {
	mixed := l.mixed(now)
	return func(yield func(*ownStream) bool) {
		if len(mixed) == 0 {
			return
		}
		for i := range l.own {
			s := &l.own[i]
			if mixed[s.origin.Service] != nil && *s.reportsLeft(far) > 0 && !now.After(s.expires) && !yield(s) {
				return
			}
		}
	}
}
