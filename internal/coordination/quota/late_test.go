package quota

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// All of many entries restart within a second while a customer asks for several times its
// allowance, and their processors are so short that reports are read up to a second late.
// Guards against entries that admit by what they knew a second ago, which exceeded an
// allowance on the users' largest site.
func TestLateReportsAfterRestartStayWithinTolerance(t *testing.T) {
	for seed := range uint64(4) {
		d := newDay(seed, 23, Tolerance{Window: window, Overage: 0.1, Slack: 140_000})
		c := &state.CustomerConfig{Name: "c", Rate: 485_000, Burst: 485_000}
		const restartAt = 8 * time.Second
		for d.now.Before(dayStart.Add(20 * time.Second)) {
			passed := d.now.Sub(dayStart)
			delay := 5 * time.Millisecond
			if passed > restartAt && passed < restartAt+4*time.Second {
				delay = time.Second
			}
			d.advance(0.01, delay)
			for i := range d.entries {
				at := restartAt + time.Duration(i)*time.Second/time.Duration(len(d.entries))
				if passed <= at && passed+step > at {
					d.restart(i)
				}
			}
			// The customer asks for half of its allowance, and then for 4.7 times as much as that.
			perSecond := 60.0
			if passed > 4*time.Second {
				perSecond *= 4.7
			}
			for range poisson(d.random, perSecond*step.Seconds()) {
				d.ask(Ask{Customer: c, Cost: 4_000 * d.random.ExpFloat64(), Tier: d.random.IntN(3)})
			}
		}
		allowed := (c.Rate*window.Seconds()+c.Burst)*(1+d.tolerance.Overage) + d.tolerance.Slack
		got := d.mostInWindow(dayStart)
		t.Logf("seed %d: %.3f of what is tolerated", seed, got/allowed)
		if got > allowed {
			t.Errorf("seed %d: %.0f units in a window, %.0f allowed", seed, got, allowed)
		}
	}
}
