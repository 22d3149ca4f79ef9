package standin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Fault describes a change of the faults of one stand-in. Fields that are nil or
// zero change nothing.
type Fault struct {
	// Name is "log", "instances", "weights", or the name of an engine or service.
	Name string `json:"name"`
	// Slow is a factor that divides an engine's rates and multiplies the
	// configured delays of the other stand-ins; 1 is the normal speed.
	Slow *float64 `json:"slow,omitempty"`
	// Down closes the listening socket and all connections, or opens the socket
	// again when false. Unlike with Restart, an engine keeps its state and
	// continues to run its requests.
	Down *bool `json:"down,omitempty"`
	// Silent makes the connections that are open now unresponsive, permanently:
	// they stay open, but received data is discarded and nothing is sent. New
	// connections work.
	Silent bool `json:"silent,omitempty"`
	// Restart closes all connections; an engine also loses its running and
	// finished requests and its prefix cache.
	Restart bool `json:"restart,omitempty"`
	// LoseAck is the number of successful calls from now on whose connection is
	// closed after they took effect and without a response. Only calls with an
	// effect count: POST, PUT and DELETE, and every call to a plain service.
	LoseAck *int `json:"lose_ack,omitempty"`
	// Lag replaces the lag of the instance list and of an engine's load reports
	// and cache events, and delays every call to the other stand-ins.
	Lag *state.Duration `json:"lag,omitempty"`
	// Gap replaces the share of an engine's cache events that are lost.
	Gap *float64 `json:"gap,omitempty"`
	// ErrorRate is the share of calls that get status 503 and have no effect.
	ErrorRate *float64 `json:"error_rate,omitempty"`
}

func (f *Fault) validate() error {
	isShare := func(v *float64) bool { return v == nil || *v >= 0 && *v <= 1 }
	switch {
	case f.Slow != nil && *f.Slow <= 0:
		return fmt.Errorf("slow: %g, want more than 0", *f.Slow)
	case f.LoseAck != nil && *f.LoseAck < 0:
		return fmt.Errorf("lose_ack: %d, want 0 or more", *f.LoseAck)
	case f.Lag != nil && *f.Lag < 0:
		return fmt.Errorf("lag: %s, want 0 or more", f.Lag.Std())
	case !isShare(f.Gap):
		return fmt.Errorf("gap: %g, want 0 to 1", *f.Gap)
	case !isShare(f.ErrorRate):
		return fmt.Errorf("error_rate: %g, want 0 to 1", *f.ErrorRate)
	}
	return nil
}

// faults holds the faults of one stand-in that are in effect.
type faults struct {
	mu             sync.Mutex
	rng            *rand.Rand
	slowdown       float64       // factor; 1 is the normal speed
	lag            time.Duration // negative at an engine: no fault
	eventLossShare float64       // 0 to 1
	errorRate      float64       // 0 to 1
	acksToLose     int           // calls
}

// newFaults returns a state without faults. Its random numbers depend on the
// seed and the name of the stand-in.
func newFaults(seed uint64, serverName string) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(serverName))), slowdown: 1}
}

func (f *faults) apply(change *Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if change.Slow != nil {
		f.slowdown = *change.Slow
	}
	if change.LoseAck != nil {
		f.acksToLose = *change.LoseAck
	}
	if change.Lag != nil {
		f.lag = change.Lag.Std()
	}
	if change.Gap != nil {
		f.eventLossShare = *change.Gap
	}
	if change.ErrorRate != nil {
		f.errorRate = *change.ErrorRate
	}
}

func (f *faults) slowdownFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slowdown
}

func (f *faults) currentLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

// scaled returns d multiplied by the slowdown factor.
func (f *faults) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * f.slowdownFactor())
}

// shouldFailCall decides at random whether a call gets an error response.
func (f *faults) shouldFailCall() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.errorRate > 0 && f.rng.Float64() < f.errorRate
}

// shouldDropEvent decides at random whether a cache event is lost.
func (f *faults) shouldDropEvent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eventLossShare > 0 && f.rng.Float64() < f.eventLossShare
}

// shouldLoseAck reports whether the response to this call is lost, and if so
// deducts it from the number of responses to lose.
func (f *faults) shouldLoseAck() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.acksToLose == 0 {
		return false
	}
	f.acksToLose--
	return true
}
