package bundle

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Config configures a Store. All fields are required.
type Config struct {
	Log logstream.Log
	// InitialSigners sign the first bundle and anchors.
	InitialSigners state.Signers
	// Retention is how long the log service retains records of the stream.
	Retention time.Duration
	Logger    *zap.Logger
}

// Store keeps the bundle in effect in a process that reads the bundle stream and
// takes bundles from its peers. It implements quicsession.Bundles and is safe for concurrent
// use.
type Store struct {
	cfg     Config
	current atomic.Pointer[DecodedBundle] // the bundle in effect; nil if there is none

	mu          sync.Mutex
	fold        *Fold
	endReached  bool // the stream was read to its end since the start or the last gap
	position    logstream.Position
	subscribers map[chan *state.Bundle]struct{}
	lastRefused state.BundleID // last offer refused; a peer repeats its offer with each message
}

// NewStore returns a store without a bundle.
func NewStore(cfg Config) *Store {
	return &Store{cfg: cfg, fold: NewFold(cfg.InitialSigners), subscribers: make(map[chan *state.Bundle]struct{})}
}

// Run tails the stream and appends checkpoints until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	checkpoints := make(chan struct{})
	go func() {
		defer close(checkpoints)
		s.runCheckpoints(ctx)
	}()
	tailer := logstream.Tailer{
		Log: s.cfg.Log, Stream: Stream, Logger: s.cfg.Logger,
		Fold: s.applyRecord, Gap: s.handleGap, Progress: s.updatePosition,
	}
	err := tailer.Run(ctx)
	cancel()
	<-checkpoints
	return err
}

// Accepted returns the version in effect, 0 if there is none.
func (s *Store) Accepted() uint64 {
	if a := s.current.Load(); a != nil {
		return a.Version
	}
	return 0
}

// Bundle returns the bundle in effect; its version is 0 when there is none.
func (s *Store) Bundle() state.AcceptedBundle {
	if a := s.current.Load(); a != nil {
		return a.AcceptedBundle
	}
	return state.AcceptedBundle{}
}

// Current returns the bundle in effect, or nil. It must not be changed.
func (s *Store) Current() *state.Bundle {
	if a := s.current.Load(); a != nil {
		return a.Bundle
	}
	return nil
}

// Offer puts the bundle that an authenticated peer has in effect into effect here, if
// it supersedes the current one. The peer has read the stream to its end, so this
// works even while the log is unavailable.
func (s *Store) Offer(offered state.AcceptedBundle) {
	if offered.Version == 0 || offered.Version < s.Accepted() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := ID(offered.Document)
	if id == s.lastRefused {
		return
	}
	a, err := newDecodedBundle(offered)
	if err != nil {
		s.lastRefused = id
		s.cfg.Logger.Warn("bundle offered by a peer ignored", zap.Uint64("version", offered.Version), zap.Error(err))
		return
	}
	s.fold.Adopt(a, a.Offset+1)
	s.install(a, "peer")
	s.installHead()
}

// Subscribe returns a channel that carries the bundle in effect and each later one. A
// slow receiver gets only the newest bundle. The returned function ends the
// subscription.
func (s *Store) Subscribe() (<-chan *state.Bundle, func()) {
	ch := make(chan *state.Bundle, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.Current(); b != nil {
		ch <- b
	}
	s.subscribers[ch] = struct{}{}
	return ch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, ch)
	}
}

func (s *Store) applyRecord(r logstream.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.fold.Apply(r)
	s.cfg.Logger.Debug("bundle record folded", zap.Uint64("offset", d.Offset), zap.Stringer("kind", d.Kind),
		zap.Uint64("version", d.Version), zap.String("bundle", string(d.ID)), zap.Bool("accepted", d.HeadChanged), zap.Error(d.Err))
	s.installHead()
}

func (s *Store) handleGap(_ uint64, page logstream.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fold.SkipTo(page.First)
	s.endReached = false
}

func (s *Store) updatePosition(p logstream.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = p
	if s.endReached || !p.AtEnd() {
		return
	}
	s.endReached = true
	s.installHead()
	if s.current.Load() == nil {
		s.cfg.Logger.Warn("no bundle in effect: the stream has neither a first bundle nor a usable checkpoint nor an anchor")
	} else if !s.fold.HistoryComplete() {
		s.cfg.Logger.Warn("proposals are not evaluated: records were lost to retention before they were read; a checkpoint, a peer's newer bundle or an anchor is needed")
	}
}

// installHead puts the head of the fold into effect if the stream was read to its end
// and its history is complete. s.mu is held.
func (s *Store) installHead() {
	if head := s.fold.Head(); head != nil && s.endReached && s.fold.HistoryComplete() {
		s.install(head, "log")
	}
}

// install puts a into effect if it supersedes the bundle in effect. s.mu is
// held.
func (s *Store) install(a *DecodedBundle, source string) {
	old := s.current.Load()
	if !a.supersedes(old) {
		return
	}
	state.Assert(old == nil || a.Version > old.Version, state.BundleMonotone,
		fmt.Sprintf("version %d replaced by another bundle of version %d", versionOf(old), a.Version))
	s.current.Store(a)
	s.cfg.Logger.Info("bundle in effect", zap.Uint64("version", a.Version), zap.String("bundle", string(a.ID)),
		zap.Uint64("offset", a.Offset), zap.String("source", source))
	for ch := range s.subscribers {
		select {
		case <-ch:
		default:
		}
		ch <- a.Bundle
	}
}

func (s *Store) currentID() state.BundleID {
	if a := s.current.Load(); a != nil {
		return a.ID
	}
	return ""
}

func versionOf(a *DecodedBundle) uint64 {
	if a == nil {
		return 0
	}
	return a.Version
}

// maxPositionAge bounds the age of the position at which a checkpoint may be appended;
// a process whose last read of the stream is older appends none. A poll of a slow log
// takes up to twice PollWait.
const maxPositionAge = 10 * logstream.PollWait

// Divisors of the retention time.
const (
	checkpointAgeDivisor   = 4  // a checkpoint older than retention/4 is repeated
	checkpointDelayDivisor = 16 // after a random delay of up to retention/16, so that usually one process repeats it
	checkpointCheckDivisor = 64 // the age of the last checkpoint is checked each retention/64
)

// runCheckpoints appends a checkpoint whenever the stream has had none for a
// quarter of the retention time.
func (s *Store) runCheckpoints(ctx context.Context) {
	ticker := time.NewTicker(max(s.cfg.Retention/checkpointCheckDivisor, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, due := s.checkpointDue(); !due {
			continue
		}
		delay := time.NewTimer(rand.N(s.cfg.Retention/checkpointDelayDivisor + 1))
		select {
		case <-ctx.Done():
			delay.Stop()
			return
		case <-delay.C:
		}
		if rec, due := s.checkpointDue(); due {
			s.appendCheckpoint(ctx, rec)
		}
	}
}

// checkpointDue returns the checkpoint that this process can append and whether the
// last one is old enough to be repeated. A process that has not read the end of the
// stream lately leaves the checkpoint to others.
func (s *Store) checkpointDue() (rec *Record, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := s.fold.Head()
	if head == nil || head.ID != s.currentID() || !s.endReached || !s.fold.HistoryComplete() || time.Since(s.position.AsOf) > maxPositionAge {
		return nil, false
	}
	rec = &Record{Kind: Checkpoint, Document: head.Document, Signatures: head.Signatures, AcceptedOffset: head.Offset, InEffectUntil: s.fold.NextOffset()}
	return rec, time.Since(s.fold.CheckpointTime()) > s.cfg.Retention/checkpointAgeDivisor
}

func (s *Store) appendCheckpoint(ctx context.Context, rec *Record) {
	data, err := rec.Marshal()
	if err == nil {
		// An append with an unknown result is not retried under the same record ID: the
		// next check finds out whether the checkpoint is in the stream.
		_, err = s.cfg.Log.Append(ctx, Stream, logstream.Entry{ID: logstream.NewID(), Data: data})
	}
	if err != nil && ctx.Err() == nil {
		s.cfg.Logger.Warn("bundle checkpoint not appended", zap.Uint64("accepted_offset", rec.AcceptedOffset), zap.Error(err))
	}
}
