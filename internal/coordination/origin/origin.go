// Package origin remembers at which service and software version streams began, so that
// a caller can take a stream up through any entry and it goes on there. Entries tell each
// other the origins of their streams while there are several at which streams of a route
// may have begun: several versions of a service serve, the route leads to several services,
// or either was so lately. While there is only one, nothing needs to be told.
//
// Invariant: an origin is reported as known only if the stream cannot have begun at
// another one.
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
// it up. It exceeds the longest time limits of callers.
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
	routes   routeHistory
	knowledge
	streams    map[uint64]stream
	own        []ownStream // in the order in which they began
	nextExpiry time.Time
}

// service holds the versions of a service that serve or have served lately.
type service struct {
	listed map[state.SoftwareVersion]bool
	leftAt map[state.SoftwareVersion]time.Time // of versions that are no longer listed
	// shared says that a route of streams leads to this and to other services. sharedAt is when one did so
	// last, or was moved to or from the service.
	shared   bool
	sharedAt time.Time
	// adoptedAt is when another entry last stated, in a report or in the store, that it knew a version, or
	// otherServices.
	adoptedAt map[state.SoftwareVersion]time.Time
}

// otherServices stands among the versions of a service for the other services of its routes.
const otherServices state.SoftwareVersion = "\x00other services"

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
	l := &Log{
		services: make(map[state.Service]*service), streams: make(map[uint64]stream),
		knowledge: knowledge{coveredSince: now, connectedAt: now, connectedAtTimeOfDay: now.Round(0), completeAt: now},
	}
	if allKnown {
		l.coveredSince = now.Add(-routeTime)
	}
	return l
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
		s = &service{leftAt: make(map[state.SoftwareVersion]time.Time), adoptedAt: make(map[state.SoftwareVersion]time.Time)}
		l.services[name] = s
	}
	return s
}

// versions returns the versions of a service at which a stream that is taken up now may have begun there:
// those that this entry has seen and, if adopted is set, those that other entries have stated.
func (s *service) versions(now time.Time, adopted bool) []state.SoftwareVersion {
	maps.DeleteFunc(s.leftAt, func(_ state.SoftwareVersion, at time.Time) bool { return now.Sub(at) > MaxTakeUpTime })
	versions := slices.Collect(maps.Keys(s.listed))
	versions = slices.AppendSeq(versions, maps.Keys(s.leftAt))
	if adopted {
		versions = slices.AppendSeq(versions, maps.Keys(s.adopted(now)))
		versions = slices.DeleteFunc(versions, func(v state.SoftwareVersion) bool { return v == otherServices })
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// alternatives returns the versions and, if the service shares routes or did lately, otherServices.
func (s *service) alternatives(now time.Time, adopted bool) []state.SoftwareVersion {
	versions := s.versions(now, adopted)
	if s.sharesLately(now) || adopted && s.adoptedShared(now) {
		versions = append(versions, otherServices)
	}
	return versions
}

// adopted returns what other entries stated lately.
func (s *service) adopted(now time.Time) map[state.SoftwareVersion]time.Time {
	maps.DeleteFunc(s.adoptedAt, func(_ state.SoftwareVersion, at time.Time) bool { return now.Sub(at) > routeTime })
	return s.adoptedAt
}

// sharesLately reports whether a route of streams leads to this and to other services, or did in the time
// in which a stream may be taken up.
func (s *service) sharesLately(now time.Time) bool {
	return s.shared || !s.sharedAt.IsZero() && now.Sub(s.sharedAt) <= routeTime
}

// adoptedShared is sharesLately as far as other entries have said so.
func (s *service) adoptedShared(now time.Time) bool {
	_, ok := s.adopted(now)[otherServices]
	return ok
}

// areSeveral reports whether a stream may have begun elsewhere than at a version of these alternatives.
func areSeveral(alternatives []state.SoftwareVersion) bool {
	return len(alternatives) > 1 || slices.Contains(alternatives, otherServices)
}

// isMixed reports whether Mixed has the service.
func (s *service) isMixed(now time.Time) bool {
	if len(s.listed) <= 1 && len(s.leftAt) == 0 && len(s.adoptedAt) == 0 && !s.shared && s.sharedAt.IsZero() {
		return false
	}
	return areSeveral(s.alternatives(now, true))
}

// Mixed returns the services whose streams other entries are told of, with their versions: several serve
// or have served lately, or routes of streams lead or led to other services too.
func (l *Log) Mixed(now time.Time) map[state.Service][]state.SoftwareVersion {
	return l.mixed(now, true)
}

// ObservedMixed is Mixed without what other entries have stated, which would be passed on for ever.
func (l *Log) ObservedMixed(now time.Time) map[state.Service][]state.SoftwareVersion {
	return l.mixed(now, false)
}

func (l *Log) mixed(now time.Time, adopted bool) map[state.Service][]state.SoftwareVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	mixed := make(map[state.Service][]state.SoftwareVersion)
	for name, s := range l.services {
		if alternatives := s.alternatives(now, adopted); areSeveral(alternatives) {
			mixed[name] = alternatives
		}
	}
	return mixed
}

// AdoptMixed takes the result of Mixed of an entry that knew all origins lately. After
// that, all are known here too, unless that has ended since began, when the result was read.
func (l *Log) AdoptMixed(began time.Time, mixed map[state.Service][]state.SoftwareVersion) {
	l.LearnMixed(began, mixed)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.coveredSince.After(began) {
		l.coveredSince = began.Add(-routeTime)
	}
}

// LearnMixed takes the result of ObservedMixed of another entry, which may have seen what was not written
// yet when AdoptMixed was called.
func (l *Log) LearnMixed(now time.Time, mixed map[state.Service][]state.SoftwareVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, versions := range mixed {
		for _, version := range versions {
			l.service(name).adoptedAt[version] = now
		}
	}
}

// NewNotes returns notes of the streams of requests that began at origin.
func NewNotes(origin Origin, ids ...state.RequestID) Notes {
	n := Notes{Origin: origin}
	for _, id := range ids {
		n.Streams = append(n.Streams, HashRequest(id))
	}
	return n
}

// Begin remembers that the stream of a request began here at origin. It reports whether there are others
// at which streams of the service's routes may begin, so that other entries are to be told before the caller
// gets an event: a next report would come too late if this entry is killed before it.
func (l *Log) Begin(now time.Time, id state.RequestID, origin Origin) (urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beginHere(now, id, origin)
	s := l.services[origin.Service]
	return s != nil && s.isMixed(now)
}

// Found remembers an origin that was found out for a stream that a caller takes up here, and reports it as
// if the stream had begun here. The caller may take it up again before it gets an event, when those that knew
// the origin have ended, or when it is no longer the only one.
func (l *Log) Found(now time.Time, id state.RequestID, origin Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.remembered(now, id); !known && id != "" {
		l.beginHere(now, id, origin)
	}
}

// beginHere remembers an origin that reports are to contain.
func (l *Log) beginHere(now time.Time, id state.RequestID, origin Origin) {
	hash, added := HashRequest(id), stream{origin, now.Add(MaxTakeUpTime)}
	_, known := l.streams[hash]
	if l.remember(now, hash, added) {
		if known { // a report must not have an earlier origin beside this one
			l.own = slices.DeleteFunc(l.own, func(s ownStream) bool { return s.hash == hash })
		}
		l.own = append(l.own, ownStream{stream: added, hash: hash, nearReports: reportsEach, farReports: reportsEach})
	}
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

// Question asks where the stream of a request began.
type Question struct {
	// Request brought the first event; empty if it is not known. It is not part of the JSON encoding, which
	// would replace bytes that are not UTF-8.
	Request    state.RequestID `json:"-"`
	Candidates []Origin        // origins at which the asking entry knows that the stream may have begun
	// ConfigVersion is that of the routes from which Candidates are.
	ConfigVersion int64
}

// Find returns where the stream of a request of a path began, as far as it is known here. If it is not,
// the question is what other entries can be asked.
func (l *Log) Find(now time.Time, id state.RequestID, path Path) (origin Origin, question Question, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if origin, ok := l.remembered(now, id); ok {
		return origin, question, true
	}
	question = Question{Request: id, Candidates: l.candidates(now, path), ConfigVersion: l.routes.version}
	if l.infers(now) && len(question.Candidates) == 1 && !l.services[question.Candidates[0].Service].adoptedShared(now) {
		return question.Candidates[0], question, true
	}
	return Origin{}, question, false
}

// Answer answers the question of another entry. An entry that has just started knows the origins at which
// streams may begin now, but not whether there were others lately. Nothing is inferred if the two entries
// have different configurations.
func (l *Log) Answer(now time.Time, q Question) (origin Origin, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if origin, ok := l.remembered(now, q.Request); ok {
		return origin, true
	}
	if len(q.Candidates) != 1 || !l.infers(now) || l.routes.version != q.ConfigVersion {
		return Origin{}, false
	}
	sole := q.Candidates[0]
	s := l.services[sole.Service]
	if s == nil || !slices.Equal(s.alternatives(now, true), []state.SoftwareVersion{sole.Software}) {
		return Origin{}, false
	}
	return sole, true
}

// remembered returns the origin of a stream that began here or that another entry has told of.
func (l *Log) remembered(now time.Time, id state.RequestID) (origin Origin, ok bool) {
	s, ok := l.streams[HashRequest(id)]
	if !ok || id == "" || now.After(s.expires) {
		return Origin{}, false
	}
	return s.origin, true
}

// candidates returns the origins at which a stream of the path that is taken up now may have begun, as far
// as the configurations and lists of targets are known here.
func (l *Log) candidates(now time.Time, path Path) (origins []Origin) {
	for _, name := range l.routes.services(now, path) {
		if s := l.services[name]; s != nil {
			for _, version := range s.versions(now, true) {
				origins = append(origins, Origin{name, version})
			}
		}
	}
	return origins
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

// unreported returns the streams that are to be reported: those of the services of Mixed.
func (l *Log) unreported(now time.Time, far bool) iter.Seq[*ownStream] {
	mixed := make(map[state.Service]bool)
	for name, s := range l.services {
		if s.isMixed(now) {
			mixed[name] = true
		}
	}
	return func(yield func(*ownStream) bool) {
		if len(mixed) == 0 {
			return
		}
		for i := range l.own {
			s := &l.own[i]
			if mixed[s.origin.Service] && *s.reportsLeft(far) > 0 && !now.After(s.expires) && !yield(s) {
				return
			}
		}
	}
}
