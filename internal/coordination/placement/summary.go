package placement

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Summary is this entry's view of one target, for the expvar "targets".
type Summary struct {
	Service           state.Service `json:"service"`
	InSubset          bool          `json:"subset"` // the entry keeps a session to it
	Connected         bool          `json:"connected"`
	Leaving           bool          `json:"leaving"`
	Ejected           bool          `json:"ejected"`
	Outstanding       int           `json:"outstanding"`   // requests queued, running and sent since the figures
	FiguresAgeSeconds float64       `json:"figures_age_s"` // -1 when there are no figures
}

// Summaries returns the state of all targets, for expvar.Func.
func (p *Placer) Summaries() map[state.TargetID]Summary {
	now := time.Now()
	out := make(map[state.TargetID]Summary)
	for id, t := range p.snapshot.Load().targets {
		s := Summary{
			Service: t.service, InSubset: t.inSubset, Connected: t.connected, Leaving: t.shared.isLeaving(),
			Ejected: t.ejected, Outstanding: t.outstanding(now), FiguresAgeSeconds: -1,
		}
		if t.figures != nil {
			s.FiguresAgeSeconds = now.Sub(t.figuresReceived).Seconds()
		}
		out[id] = s
	}
	return out
}
