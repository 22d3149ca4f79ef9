package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// playTwice plays a load without hedges and with a share of 0.05, and returns both fleets.
func playTwice(t *testing.T, entries, targets int, prepare func(f *simFleet) load) (without, with *simFleet) {
	t.Helper()
	var fleets []*simFleet
	for _, share := range []float64{0, 0.05} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(1, entries, targets, share)
			f.play(t, prepare(f))
			f.checkEnd(t)
			f.checkLimit(t)
			if f.failed > 0 {
				t.Errorf("share %g: %d requests were not answered", share, f.failed)
			}
			fleets = append(fleets, f)
		})
	}
	return fleets[0], fleets[1]
}

// Guards against callers that wait for a target which pauses for a second now and then although
// others are idle.
func TestHedgeOfTargetThatPauses(t *testing.T) {
	without, with := playTwice(t, 5, 12, func(f *simFleet) load {
		l := load{perSecond: 150, length: 30 * time.Second, route: "plain", at: make(map[time.Duration]func())}
		for i := 2; i < 30; i++ {
			target := f.targets[f.ids[i%len(f.ids)]]
			l.at[time.Duration(i)*time.Second] = func() { target.pausedUntil = time.Now().Add(time.Second) }
		}
		return l
	})
	if w, h := without.quantile(0.99), with.quantile(0.99); h > w/2 {
		t.Errorf("99th percentile %s with hedges and %s without, want half or less", h, w)
	}
}
