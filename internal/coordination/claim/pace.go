package claim

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// The log service takes several hundred appends a second from all processes
// together, and a process knows neither that limit nor how many others append.
// Its rate therefore rises by paceStep with each append that succeeds at once
// and falls by the factor paceCut with each that has to be repeated.
const (
	paceStart = 40.0 // appends a second
	paceMin   = 5.0
	paceMax   = 100.0
	paceStep  = 0.5
	paceCut   = 0.7
	paceBurst = 8 // appends that need not wait after a quiet time
)

// pace limits the appends of one process over all partitions.
type pace struct {
	limiter *rate.Limiter
	mu      sync.Mutex // held while the rate is adjusted
}

func newPace() *pace { return &pace{limiter: rate.NewLimiter(paceStart, paceBurst)} }

// wait waits for the next append.
func (p *pace) wait(ctx context.Context) error { return p.limiter.Wait(ctx) }

// observe adjusts the rate after an append that took the given number of calls.
func (p *pace) observe(attempts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := float64(p.limiter.Limit())
	if attempts > 1 {
		limit = max(paceMin, limit*paceCut)
	} else {
		limit = min(paceMax, limit+paceStep)
	}
	p.limiter.SetLimit(rate.Limit(limit))
}
