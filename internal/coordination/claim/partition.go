package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// maxBatch is the number of claims in one record.
	maxBatch = 256
	// maxInFlight bounds the unacknowledged appends of one partition, so that one
	// silent connection does not delay every claim.
	maxInFlight = 4
	// maxQueue bounds the claims that wait for an append.
	maxQueue = 4096
)

// partition appends to and folds one claim stream.
type partition struct {
	stream string
	limit  int
	cfg    Config
	pace   *pace
	wake   chan struct{} // holds a token while queue may be non-empty

	mu      sync.Mutex
	fold    *Fold // nil before the tailer has found its start
	next    uint64
	ready   bool // read to the end once
	queue   []*pending
	batches map[string][]*pending // in flight, by record id
}

// pending is a claim whose place in the log is not known yet.
type pending struct {
	ctx   context.Context
	claim state.Claim
	done  chan outcome // buffered
}

type outcome struct {
	result state.ClaimResult
	err    error
}

func newPartition(cfg Config, stream string, limit int, pace *pace) *partition {
	return &partition{stream: stream, limit: limit, cfg: cfg, pace: pace, wake: make(chan struct{}, 1), batches: make(map[string][]*pending)}
}

func (p *partition) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

func (p *partition) lookup(key string) (state.Claim, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fold == nil {
		return state.Claim{}, false
	}
	c, ok, _ := p.fold.Lookup(key, time.Now())
	return c, ok
}

// claim queues c and waits for its place in the log.
func (p *partition) claim(ctx context.Context, c state.Claim) (state.ClaimResult, error) {
	w := &pending{ctx: ctx, claim: c, done: make(chan outcome, 1)}
	result, decided, err := p.enqueue(w)
	if decided || err != nil {
		return result, err
	}
	select {
	case <-ctx.Done():
		return state.ClaimResult{}, unavailable(p.stream, "no result: %v", ctx.Err())
	case out := <-w.done:
		return out.result, out.err
	}
}

// enqueue queues w. It decides at once a claim whose key is held already: every
// record in the log before it has been folded far enough to defeat it.
func (p *partition) enqueue(w *pending) (result state.ClaimResult, decided bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fold != nil {
		holder, ok, doubt := p.fold.Lookup(w.claim.Key, time.Now())
		if doubt {
			return state.ClaimResult{}, false, unavailable(p.stream, "the claims before are not all known")
		}
		if ok && !valid(&w.claim, held{claim: holder}, true) {
			return state.ClaimResult{Won: repeats(&w.claim, &holder), Holder: holder}, true, nil
		}
		if !ok && p.fold.Full() {
			return state.ClaimResult{}, false, unavailable(p.stream, "%d keys are held", p.fold.Len())
		}
	}
	if len(p.queue) >= maxQueue {
		p.queue = slices.DeleteFunc(p.queue, func(w *pending) bool { return w.ctx.Err() != nil })
	}
	if len(p.queue) >= maxQueue {
		return state.ClaimResult{}, false, unavailable(p.stream, "%d claims wait already", len(p.queue))
	}
	p.queue = append(p.queue, w)
	p.signal()
	return state.ClaimResult{}, false, nil
}

func (p *partition) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// append sends batches until ctx ends.
func (p *partition) append(ctx context.Context) error {
	slots := make(chan struct{}, maxInFlight)
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case slots <- struct{}{}:
		}
		// Claims that arrive during the wait share the record.
		if err := p.pace.wait(ctx); err != nil {
			return err
		}
		id, waiters, from := p.nextBatch()
		if len(waiters) == 0 {
			<-slots
			continue
		}
		sending.Go(func() {
			p.send(ctx, id, waiters, from)
			<-slots
		})
	}
}

// nextBatch takes claims from the queue. Claims that nobody waits for any more
// are dropped; they never reach the log.
func (p *partition) nextBatch() (id string, waiters []*pending, from uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready {
		return "", nil, 0
	}
	taken := 0
	for _, w := range p.queue {
		if len(waiters) == maxBatch {
			break
		}
		taken++
		if w.ctx.Err() == nil {
			waiters = append(waiters, w)
		}
	}
	p.queue = append([]*pending(nil), p.queue[taken:]...)
	if len(p.queue) > 0 {
		p.signal()
	}
	if len(waiters) > 0 {
		id = logstream.NewID()
		p.batches[id] = waiters
	}
	return id, waiters, p.next
}

// send appends one batch. The results come from the fold; a batch whose append
// failed or is undetermined is given up. The append ends when nobody waits for
// it any more.
func (p *partition) send(ctx context.Context, id string, waiters []*pending, from uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for _, w := range waiters {
			<-w.ctx.Done() // at the latest after Limit
		}
		cancel()
		p.giveUp(id, unavailable(p.stream, "the appended record was not read in time"))
	}()
	b := batch{Claims: make([]state.Claim, len(waiters))}
	for i, w := range waiters {
		b.Claims[i] = w.claim
	}
	data, err := cbor.Marshal(&b)
	if err != nil {
		p.giveUp(id, unavailable(p.stream, "encode: %v", err))
		return
	}
	res := logstream.Append(ctx, p.cfg.Log, p.stream, from, logstream.Entry{ID: id, Data: data})
	p.pace.observe(res.Attempts)
	if res.Outcome == logstream.Appended {
		return
	}
	if p.giveUp(id, unavailable(p.stream, "append is %s: %v", res.Outcome, res.Err)) {
		p.cfg.Logger.Warn("claims not decided", zap.String("stream", p.stream), zap.Int("claims", len(waiters)),
			zap.Stringer("append", res.Outcome), zap.Error(res.Err))
	}
}

// giveUp ends the wait for a batch. It reports whether the batch was open.
func (p *partition) giveUp(id string, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiters, open := p.batches[id]
	for _, w := range waiters {
		w.done <- outcome{err: err}
	}
	delete(p.batches, id)
	return open
}

// tail folds the stream until ctx ends.
func (p *partition) tail(ctx context.Context) error {
	t := logstream.Tailer{
		Log: p.cfg.Log, Stream: p.stream, Logger: p.cfg.Logger,
		Start: p.start, Fold: p.apply, Gap: p.gap, Progress: p.progress,
	}
	return t.Run(ctx)
}

// start finds the offset from which two horizons are read: the claims of the
// last one are decided by those of the one before.
func (p *partition) start(ctx context.Context) (uint64, error) {
	page, err := p.cfg.Log.Read(ctx, p.stream, 0, 1, 0)
	if err != nil {
		return 0, err
	}
	start, bound, err := p.seek(ctx, page)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold = NewFold(p.limit)
	p.next = start
	switch {
	case start > page.First:
		p.fold.StartLate(bound)
	case start > 0:
		p.fold.Gap(p.completeAt(page.End))
	}
	return start, nil
}

// seek returns the first offset to read. All records before it that are still
// retained are older than bound.
func (p *partition) seek(ctx context.Context, page logstream.Page) (start uint64, bound time.Time, err error) {
	if page.End == page.First {
		return page.First, bound, nil
	}
	last, err := p.cfg.Log.Read(ctx, p.stream, page.End-1, 1, 0)
	if err != nil {
		return 0, bound, err
	}
	if len(last.Records) == 0 {
		return page.First, bound, nil
	}
	bound = last.Records[0].Time.Add(-2 * (Horizon + horizonSlack))
	start, err = logstream.SeekTime(ctx, p.cfg.Log, p.stream, page.First, page.End, bound)
	return start, bound, err
}

// completeAt returns the offset from which on forgotten records do not matter.
// end is the end of the stream: what is appended later is younger than what was
// forgotten by more than the retention time.
func (p *partition) completeAt(end uint64) uint64 {
	if p.cfg.Retention < Horizon {
		return never
	}
	return end
}

func (p *partition) gap(_ uint64, page logstream.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = page.First
	p.fold.Gap(p.completeAt(page.End))
}

func (p *partition) apply(r logstream.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = r.Offset + 1
	results, err := p.fold.Apply(r)
	if err != nil {
		p.cfg.Logger.Error("claim record ignored", zap.String("stream", p.stream), zap.Error(err))
		return
	}
	waiters := p.batches[r.ID]
	delete(p.batches, r.ID)
	for i, w := range waiters {
		w.done <- p.outcome(results[i])
	}
}

func (p *partition) outcome(r Result) outcome {
	if !r.Decided {
		return outcome{err: unavailable(p.stream, "the claims before are not all known")}
	}
	return outcome{result: r.ClaimResult}
}

func (p *partition) progress(pos logstream.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready && pos.AtEnd() {
		p.ready = true
		p.signal()
	}
}
