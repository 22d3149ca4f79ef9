package placement

import "time"

const (
	// minBackoff and maxBackoff bound the time from an ejection to the next probe.
	minBackoff = 1 * time.Second
	maxBackoff = 30 * time.Second
	// unknownOutcomesToEject is the number of consecutive attempts with an unknown
	// outcome that ejects their target.
	unknownOutcomesToEject = 3
)

// health is what the entry has learned about a target from its own sessions and
// attempts.
type health struct {
	leaving             bool // announced by the target's side process
	ejected             bool
	ejectedForUnknowns  bool      // ejected because of attempts with an unknown outcome
	backoffEnd          time.Time // from then on an ejected target may be probed
	ejections           int       // since the last complete response; determines the backoff
	consecutiveUnknowns int       // attempts in a row that ended with an unknown outcome
}

// recordSessionLost ejects the target. It reports whether a new backoff began.
func (h *health) recordSessionLost(now time.Time) bool { return h.eject(now) }

// recordSessionOpened ends an ejection for a lost session: the handshake, and the
// status that comes with it, serve as the probe.
func (h *health) recordSessionOpened() {
	if !h.ejectedForUnknowns {
		h.ejected = false
	}
}

// recordCompletion ends any ejection and resets the backoff.
func (h *health) recordCompletion() { *h = health{leaving: h.leaving} }

// recordUnknownOutcome counts an attempt that ended with an unknown outcome and
// reports whether that began a new backoff. A failed probe ejects at once.
func (h *health) recordUnknownOutcome(isProbe bool, now time.Time) bool {
	h.consecutiveUnknowns++
	if h.consecutiveUnknowns < unknownOutcomesToEject && !isProbe {
		return false
	}
	h.ejectedForUnknowns = true
	return h.eject(now)
}

// eject ejects the target for the next backoff and reports whether it did. A
// failure during a backoff has no effect: it belongs to the same outage and does
// not lengthen the backoff.
func (h *health) eject(now time.Time) bool {
	if h.ejected && now.Before(h.backoffEnd) {
		return false
	}
	h.ejected = true
	h.ejections++
	h.backoffEnd = now.Add(h.backoff())
	return true
}

// backoff returns the current backoff. It doubles with each ejection from
// minBackoff to maxBackoff.
func (h *health) backoff() time.Duration {
	d := minBackoff
	for i := 1; i < h.ejections && d < maxBackoff; i++ {
		d *= 2
	}
	return min(d, maxBackoff)
}
