package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Fault sets the faults of one part. Fields that are nil or zero leave the
// fault as it is.
type Fault struct {
	// Name is "log", "instances", "weights", or the name of an engine or service.
	Name string `json:"name"`
	// Slow divides an engine's rates and multiplies the delays of other parts;
	// 1 is normal.
	Slow *float64 `json:"slow,omitempty"`
	// Down closes the listener and all connections. State is kept and running
	// requests keep computing; see Restart.
	Down *bool `json:"down,omitempty"`
	// Silent stops the connections that are open now, for good: they stay open,
	// but nothing is read or written any more. New connections work.
	Silent bool `json:"silent,omitempty"`
	// Restart closes all connections; an engine also loses its running and
	// finished requests and its prefix cache.
	Restart bool `json:"restart,omitempty"`
	// LoseAck is the number of following calls with an effect (POST, PUT and
	// DELETE, and every call to a plain service) whose connection is closed
	// without a response after the effect.
	LoseAck *int `json:"lose_ack,omitempty"`
	// Lag replaces the lag of the instance list and of an engine's load figures
	// and cache events, and delays every call to the other parts.
	Lag *state.Duration `json:"lag,omitempty"`
	// Gap replaces the share of an engine's cache events that are lost.
	Gap *float64 `json:"gap,omitempty"`
	// ErrorRate is the share of calls that get status 503 and have no effect.
	ErrorRate *float64 `json:"error_rate,omitempty"`
}

func (f *Fault) validate() error {
	share := func(v *float64) bool { return v == nil || *v >= 0 && *v <= 1 }
	switch {
	case f.Slow != nil && *f.Slow <= 0:
		return fmt.Errorf("slow: %g, want more than 0", *f.Slow)
	case f.LoseAck != nil && *f.LoseAck < 0:
		return fmt.Errorf("lose_ack: %d, want 0 or more", *f.LoseAck)
	case f.Lag != nil && *f.Lag < 0:
		return fmt.Errorf("lag: %s, want 0 or more", f.Lag.Std())
	case !share(f.Gap):
		return fmt.Errorf("gap: %g, want 0 to 1", *f.Gap)
	case !share(f.ErrorRate):
		return fmt.Errorf("error_rate: %g, want 0 to 1", *f.ErrorRate)
	}
	return nil
}

// faults holds the faults in effect at one part.
type faults struct {
	mu        sync.Mutex
	rng       *rand.Rand
	slow      float64
	lag       time.Duration
	gap       float64
	errorRate float64
	loseAck   int
}

func newFaults(seed uint64, name string) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name))), slow: 1}
}

func (f *faults) set(in *Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if in.Slow != nil {
		f.slow = *in.Slow
	}
	if in.LoseAck != nil {
		f.loseAck = *in.LoseAck
	}
	if in.Lag != nil {
		f.lag = in.Lag.Std()
	}
	if in.Gap != nil {
		f.gap = *in.Gap
	}
	if in.ErrorRate != nil {
		f.errorRate = *in.ErrorRate
	}
}

func (f *faults) slowness() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow
}

func (f *faults) currentLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

// scaled returns d multiplied by the slowness.
func (f *faults) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * f.slowness())
}

// fails draws whether a call gets an error.
func (f *faults) fails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.errorRate > 0 && f.rng.Float64() < f.errorRate
}

// dropsEvent draws whether a cache event is lost.
func (f *faults) dropsEvent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gap > 0 && f.rng.Float64() < f.gap
}

// losesAck reports whether this call's response is lost, and counts it.
func (f *faults) losesAck() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAck == 0 {
		return false
	}
	f.loseAck--
	return true
}
