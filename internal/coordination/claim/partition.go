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
	// maxBatchClaims bounds the number of claims in one record.
	maxBatchClaims = 256
	// maxInFlightAppends bounds the unacknowledged appends of one partition. There may
	// be several, so that one connection without an answer does not delay every claim.
	maxInFlightAppends = 4
	// maxQueuedClaims bounds the claims of one partition that wait for an append.
	maxQueuedClaims = 4096
)

// partition appends claims to one claim stream and folds it.
type partition struct {
	stream  string
	maxKeys int
	cfg     Config
	limiter *appendLimiter
	wake    chan struct{} // holds a token if the queue may contain claims that can be appended

	mu         sync.Mutex
	fold       *Fold  // nil until startOffset has succeeded
	nextOffset uint64 // of the next record to fold
	ready      bool   // the stream has been read to its end once
	queue      []*pendingClaim
	inFlight   map[string][]*pendingClaim // taken from the queue and not folded yet, by record ID
}

// pendingClaim is a claim whose result is not known yet, with the caller that waits for
// it.
type pendingClaim struct {
	ctx   context.Context
	claim state.Claim
	done  chan outcome // buffered, so that sending does not block
}

// outcome is the answer to a pending claim.
type outcome struct {
	result state.ClaimResult
	err    error
}

func newPartition(cfg Config, stream string, maxKeys int, limiter *appendLimiter) *partition {
	return &partition{stream: stream, maxKeys: maxKeys, cfg: cfg, limiter: limiter, wake: make(chan struct{}, 1), inFlight: make(map[string][]*pendingClaim)}
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

// claim queues c and waits until its result is known from the fold.
func (p *partition) claim(ctx context.Context, c state.Claim) (state.ClaimResult, error) {
	w := &pendingClaim{ctx: ctx, claim: c, done: make(chan outcome, 1)}
	result, decided, err := p.enqueue(w)
	if decided || err != nil {
		return result, err
	}
	select {
	case <-ctx.Done():
		return state.ClaimResult{}, unavailableError(p.stream, "wait for the result: %v", ctx.Err())
	case out := <-w.done:
		return out.result, out.err
	}
}

// enqueue queues w. A claim that cannot take its key from the holder known so far is
// decided at once, without an append: the records folded so far are enough for that.
func (p *partition) enqueue(w *pendingClaim) (result state.ClaimResult, decided bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fold != nil {
		holder, ok, inDoubt := p.fold.Lookup(w.claim.Key, time.Now())
		if inDoubt {
			return state.ClaimResult{}, false, unavailableError(p.stream, "not every earlier claim for the key is known")
		}
		if ok && !takesKey(&w.claim, keyState{claim: holder}, true) {
			return state.ClaimResult{Won: isSameClaim(&w.claim, &holder), Holder: holder}, true, nil
		}
		if !ok && p.fold.Full() {
			return state.ClaimResult{}, false, unavailableError(p.stream, "the table is full: %d keys are held", p.fold.Len())
		}
	}
	if len(p.queue) >= maxQueuedClaims {
		p.queue = slices.DeleteFunc(p.queue, func(w *pendingClaim) bool { return w.ctx.Err() != nil })
	}
	if len(p.queue) >= maxQueuedClaims {
		return state.ClaimResult{}, false, unavailableError(p.stream, "the queue is full: %d claims wait", len(p.queue))
	}
	p.queue = append(p.queue, w)
	p.wakeAppender()
	return state.ClaimResult{}, false, nil
}

// wakeAppender makes runAppends look at the queue.
func (p *partition) wakeAppender() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// runAppends appends queued claims in batches until ctx ends.
func (p *partition) runAppends(ctx context.Context) error {
	slots := make(chan struct{}, maxInFlightAppends)
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
		// Claims that are queued during the wait go into the same record.
		if err := p.limiter.wait(ctx); err != nil {
			return err
		}
		id, waiters, from := p.nextBatch()
		if len(waiters) == 0 {
			<-slots
			continue
		}
		sending.Go(func() {
			p.appendBatch(ctx, id, waiters, from)
			<-slots
		})
	}
}

// nextBatch takes a batch of claims from the queue. Claims whose callers no longer wait
// are dropped and never reach the log. from is an offset before which the batch cannot
// be in the stream.
func (p *partition) nextBatch() (id string, waiters []*pendingClaim, from uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready {
		return "", nil, 0
	}
	taken := 0
	for _, w := range p.queue {
		if len(waiters) == maxBatchClaims {
			break
		}
		taken++
		if w.ctx.Err() == nil {
			waiters = append(waiters, w)
		}
	}
	p.queue = append([]*pendingClaim(nil), p.queue[taken:]...)
	if len(p.queue) > 0 {
		p.wakeAppender()
	}
	if len(waiters) > 0 {
		id = logstream.NewID()
		p.inFlight[id] = waiters
	}
	return id, waiters, p.nextOffset
}

// appendBatch appends one batch. The results come from the fold; if the append fails or
// its result is undetermined, the claims are answered with an error. The append ends
// when no caller waits for it any more.
func (p *partition) appendBatch(ctx context.Context, id string, waiters []*pendingClaim, from uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for _, w := range waiters {
			<-w.ctx.Done() // at the latest after MaxWait
		}
		cancel()
		p.failBatch(id, unavailableError(p.stream, "the record of the claim was not read back in time"))
	}()
	b := batch{Claims: make([]state.Claim, len(waiters))}
	for i, w := range waiters {
		b.Claims[i] = w.claim
	}
	data, err := cbor.Marshal(&b)
	if err != nil {
		p.failBatch(id, unavailableError(p.stream, "encode claims: %v", err))
		return
	}
	res := logstream.Append(ctx, p.cfg.Log, p.stream, from, logstream.Entry{ID: id, Data: data})
	p.limiter.adjustRate(res.Attempts)
	if res.Outcome == logstream.Appended {
		return
	}
	if p.failBatch(id, unavailableError(p.stream, "result of the append: %s: %v", res.Outcome, res.Err)) {
		p.cfg.Logger.Warn("claims not decided", zap.String("stream", p.stream), zap.Int("claims", len(waiters)),
			zap.Stringer("append", res.Outcome), zap.Error(res.Err))
	}
}

// failBatch answers the claims of a batch with err, unless the batch has been answered
// already. It reports whether it did so.
func (p *partition) failBatch(id string, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiters, isInFlight := p.inFlight[id]
	for _, w := range waiters {
		w.done <- outcome{err: err}
	}
	delete(p.inFlight, id)
	return isInFlight
}

// runTailer folds the stream until ctx ends.
func (p *partition) runTailer(ctx context.Context) error {
	t := logstream.Tailer{
		Log: p.cfg.Log, Stream: p.stream, Logger: p.cfg.Logger,
		Start: p.startOffset, Fold: p.applyRecord, Gap: p.handleGap, Progress: p.handleProgress,
	}
	return t.Run(ctx)
}

// startOffset returns the offset at which reading starts, about two horizons before the
// end of the stream, and creates the fold. The claims of the last horizon are decided
// by those of the horizon before it.
func (p *partition) startOffset(ctx context.Context) (uint64, error) {
	page, err := p.cfg.Log.Read(ctx, p.stream, 0, 1, 0)
	if err != nil {
		return 0, err
	}
	startOffset, bound, err := p.seekStart(ctx, page)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold = NewFold(p.maxKeys)
	p.nextOffset = startOffset
	switch {
	case startOffset > page.First:
		p.fold.SkipOlderThan(bound)
	case startOffset > 0:
		p.fold.Reset(p.completeFromOffset(page.End))
	}
	return startOffset, nil
}

// seekStart returns the first offset to read. Every record before it that is still
// retained is older than bound.
func (p *partition) seekStart(ctx context.Context, page logstream.Page) (start uint64, bound time.Time, err error) {
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

// completeFromOffset returns the offset from which on records removed by retention do
// not matter to a claim. end is the end of the stream: records appended there or later
// are younger than the removed ones by more than the retention time.
func (p *partition) completeFromOffset(end uint64) uint64 {
	if p.cfg.Retention < Horizon {
		return unreachableOffset
	}
	return end
}

func (p *partition) handleGap(_ uint64, page logstream.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextOffset = page.First
	p.fold.Reset(p.completeFromOffset(page.End))
}

func (p *partition) applyRecord(r logstream.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextOffset = r.Offset + 1
	results, err := p.fold.Apply(r)
	if err != nil {
		p.cfg.Logger.Error("claim record ignored", zap.String("stream", p.stream), zap.Error(err))
		return
	}
	waiters := p.inFlight[r.ID]
	delete(p.inFlight, r.ID)
	for i, w := range waiters {
		w.done <- p.outcomeOf(results[i])
	}
}

func (p *partition) outcomeOf(r Result) outcome {
	if !r.Decided {
		return outcome{err: unavailableError(p.stream, "not every earlier claim for the key is known")}
	}
	return outcome{result: r.ClaimResult}
}

func (p *partition) handleProgress(pos logstream.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready && pos.AtEnd() {
		p.ready = true
		p.wakeAppender()
	}
}
