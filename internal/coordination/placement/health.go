package placement

import "time"

const (
	// firstBackoff and lastBackoff bound the time for which a target is ejected.
	firstBackoff = 1 * time.Second
	lastBackoff  = 30 * time.Second
	// unknownLimit is the number of attempts in a row that end unknown and eject
	// their target.
	unknownLimit = 3
)

// health is what direct evidence says about a target.
type health struct {
	leaving   bool // the side process said so
	ejected   bool
	byUnknown bool // ejected for attempts that ended unknown
	probeFrom time.Time
	level     int // ejections since the last complete response
	unknowns  int // attempts in a row that ended unknown
}

// sessionLost ejects the target. It returns false when that changes nothing.
func (h *health) sessionLost(now time.Time) bool { return h.eject(now) }

// sessionOpened ends an ejection for a lost session: the handshake and the
// status in it are the probe.
func (h *health) sessionOpened() {
	if !h.byUnknown {
		h.ejected = false
	}
}

// completed ends any ejection.
func (h *health) completed() { *h = health{leaving: h.leaving} }

// unknown counts an attempt that ended unknown and reports whether it ejected
// the target. A failed probe ejects at once.
func (h *health) unknown(probe bool, now time.Time) bool {
	h.unknowns++
	if h.unknowns < unknownLimit && !probe {
		return false
	}
	h.byUnknown = true
	return h.eject(now)
}

// eject starts the next backoff. Failures during a backoff belong to the same
// outage and do not lengthen it.
func (h *health) eject(now time.Time) bool {
	if h.ejected && now.Before(h.probeFrom) {
		return false
	}
	h.ejected = true
	h.level++
	h.probeFrom = now.Add(h.backoff())
	return true
}

// backoff doubles from firstBackoff to lastBackoff.
func (h *health) backoff() time.Duration {
	d := firstBackoff
	for i := 1; i < h.level && d < lastBackoff; i++ {
		d *= 2
	}
	return min(d, lastBackoff)
}
