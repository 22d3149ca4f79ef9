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
	// batchInterval is the shortest time between two appends of one process to
	// one partition. Claims that arrive in between share the next record.
	batchInterval = 5 * time.Millisecond
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

func newPartition(cfg Config, stream string, limit int) *partition {
	return &partition{stream: stream, limit: limit, cfg: cfg, wake: make(chan struct{}, 1), batches: make(map[string][]*pending)}
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
	return p.fold.Lookup(key, time.Now())
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
		holder, ok := p.fold.Lookup(w.claim.Key, time.Now())
		if ok && p.fold.Complete() && !valid(&w.claim, held{claim: holder}, true) {
			return state.ClaimResult{Won: holder.Attempt == w.claim.Attempt && holder.Placement == w.claim.Placement, Holder: holder}, true, nil
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
	pause := time.NewTimer(0)
	defer pause.Stop()
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
		id, waiters, from := p.nextBatch()
		if len(waiters) == 0 {
			<-slots
			continue
		}
		sending.Go(func() {
			appended := p.send(ctx, id, waiters, from)
			<-slots
			if appended {
				p.awaitFold(id, waiters)
			}
		})
		pause.Reset(batchInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pause.C:
		}
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

// send appends one batch and reports whether it is in the log. The results come
// from the fold; a batch whose append failed or is undetermined is given up.
func (p *partition) send(ctx context.Context, id string, waiters []*pending, from uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, Limit)
	defer cancel()
	b := batch{Claims: make([]state.Claim, len(waiters))}
	for i, w := range waiters {
		b.Claims[i] = w.claim
	}
	data, err := cbor.Marshal(&b)
	if err != nil {
		p.giveUp(id, unavailable(p.stream, "encode: %v", err))
		return false
	}
	res := logstream.Append(ctx, p.cfg.Log, p.stream, from, logstream.Entry{ID: id, Data: data})
	if res.Fate != logstream.Appended {
		p.cfg.Logger.Warn("claims not decided", zap.String("stream", p.stream), zap.Int("claims", len(waiters)),
			zap.Stringer("append", res.Fate), zap.Error(res.Err))
		p.giveUp(id, unavailable(p.stream, "append is %s: %v", res.Fate, res.Err))
		return false
	}
	return true
}

// awaitFold forgets the batch when nobody waits for its results any more.
func (p *partition) awaitFold(id string, waiters []*pending) {
	for _, w := range waiters {
		<-w.ctx.Done() // ends when the caller has its result, at the latest after Limit
	}
	p.giveUp(id, unavailable(p.stream, "the appended record was not read in time"))
}

// giveUp ends the wait for a batch that is still open.
func (p *partition) giveUp(id string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.batches[id] {
		w.done <- outcome{err: err}
	}
	delete(p.batches, id)
}

// tail folds the stream until ctx ends.
func (p *partition) tail(ctx context.Context) error {
	t := logstream.Tailer{
		Log: p.cfg.Log, Stream: p.stream, Logger: p.cfg.Logger,
		Start: p.start, Fold: p.apply, Gap: p.gap, Progress: p.progress,
	}
	return t.Run(ctx)
}

// start finds the offset from which the whole horizon is read.
func (p *partition) start(ctx context.Context) (uint64, error) {
	page, err := p.cfg.Log.Read(ctx, p.stream, 0, 1, 0)
	if err != nil {
		return 0, err
	}
	start := page.First
	if page.End > page.First {
		last, err := p.cfg.Log.Read(ctx, p.stream, page.End-1, 1, 0)
		if err != nil {
			return 0, err
		}
		if len(last.Records) > 0 {
			horizon := last.Records[0].Time.Add(-Horizon - horizonSlack)
			start, err = logstream.SeekTime(ctx, p.cfg.Log, p.stream, page.First, page.End, horizon)
			if err != nil {
				return 0, err
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold = NewFold(p.limit, start == 0 || start > page.First || p.retained())
	p.next = start
	return start, nil
}

// retained reports whether records that the log service has dropped are older
// than the horizon of every claim appended later.
func (p *partition) retained() bool { return p.cfg.Retention >= Horizon+horizonSlack }

func (p *partition) gap(_, first uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = first
	if !p.retained() {
		p.fold.Gap()
	}
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
	if !r.Complete {
		return outcome{err: unavailable(p.stream, "the horizon before the claim is not known whole")}
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
