package origin

import "time"

const (
	// maxIsolation is the time without Connected after which versions may have served
	// that are not known here.
	maxIsolation = 2 * time.Second
	// maxUnconfirmed is the time for which what is known here is taken for all that there is. It
	// exceeds the 400 ms between reports of other entries, which tell of a new version or service.
	maxUnconfirmed = 600 * time.Millisecond
)

// knowledge says how far back and how recently a log knows the versions that serve and the services to which
// routes lead.
type knowledge struct {
	// coveredSince is the time since when all versions that served, and all services to which
	// routes led, are known.
	coveredSince time.Time
	// connectedAt is when Connected was called last.
	connectedAt, connectedAtTimeOfDay time.Time
	// completeAt is the latest time at which all versions and routes by which streams began were known here.
	completeAt time.Time
	// newestReported is the highest version of a configuration that another entry has reported.
	newestReported   int64
	newestReportedAt time.Time
	// reported are the versions that were newer than the one here when they were reported.
	reported map[int64]bool
	// listAt is when the list of targets was current, newerListAt the same of a newer one that another
	// entry has.
	listAt, newerListAt time.Time
}

// Connected records that the list of targets is current or that other entries are heard,
// so that a version that serves now is known here or soon will be. It must be called at
// intervals well below maxIsolation. timeOfDay tells of times in which the instance was
// suspended, which the steady clock of now does not count. completeAt is the latest time for
// which it is known that other entries could not know of more.
func (l *Log) Connected(now, timeOfDay, completeAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeOfDay = timeOfDay.Round(0) // without the steady clock's reading
	if now.Sub(l.connectedAt) > maxIsolation || timeOfDay.Sub(l.connectedAtTimeOfDay).Abs() > maxIsolation {
		l.coveredSince = now
	}
	l.connectedAt, l.connectedAtTimeOfDay = now, timeOfDay
	if completeAt.After(l.completeAt) {
		l.completeAt = completeAt
	}
}

// ConfigurationReported records that another entry has a configuration of this version.
func (l *Log) ConfigurationReported(now time.Time, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version >= l.newestReported || now.Sub(l.newestReportedAt) > MaxTakeUpTime {
		l.newestReported, l.newestReportedAt = version, now
	}
	if l.routes.byKey != nil && version > l.routes.version && len(l.reported) < maxConfigurations {
		if l.reported == nil {
			l.reported = make(map[int64]bool)
		}
		l.reported[version] = true
	}
}

// skipsReported reports whether another entry has reported a configuration between the one here and the given
// one, which is to take effect.
func (l *Log) skipsReported(version int64) (skips bool) {
	for v := range l.reported {
		if v <= version {
			skips = skips || v < version
			delete(l.reported, v)
		}
	}
	return skips
}

// NewerListReported records that another entry has a list of targets that differs from the one here and
// was current at a time, which is later than that of the one here.
func (l *Log) NewerListReported(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.newerListAt) {
		l.newerListAt = at
	}
}

// ListCurrent records that the list of SetTargets was current at a time.
func (l *Log) ListCurrent(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.listAt) {
		l.listAt = at
	}
}

// infers reports whether the only origin that is known here is that of any stream that is taken up now. An
// entry that lags behind others does not know of streams that began there at a new version or service.
func (l *Log) infers(now time.Time) bool {
	behind := l.routes.version < l.newestReported && now.Sub(l.newestReportedAt) <= MaxTakeUpTime ||
		l.listAt.Before(l.newerListAt) && now.Sub(l.newerListAt) <= MaxTakeUpTime
	return l.covered(now) && now.Sub(l.completeAt) <= maxUnconfirmed && !behind
}

// covered reports whether all origins are known at which a stream that is taken up now
// may have begun.
func (l *Log) covered(now time.Time) bool {
	return now.Sub(l.coveredSince) >= routeTime && now.Sub(l.connectedAt) <= maxIsolation
}

// Covered reports whether all origins are known at which a stream that is taken up now
// may have begun, provided that the list of targets and the configuration are.
func (l *Log) Covered(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.covered(now)
}
