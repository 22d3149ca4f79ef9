package quarantine

import "slices"

// Accused reports whether a key of a request is blocked, or whether a target has crashed under
// it and none has answered it since. Such a request is not sent to two targets at a time.
func (l *Ledger) Accused(r Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.evidence.all) == 0 && len(l.blocks) == 0 {
		return false
	}
	return slices.ContainsFunc(r.Keys, func(p Key) bool {
		return l.blocks[p] != nil || slices.ContainsFunc(l.evidence.byKey[p], func(e *evidence) bool {
			return !e.refuted && !l.answeredSince(p, e.sentAt)
		})
	})
}
