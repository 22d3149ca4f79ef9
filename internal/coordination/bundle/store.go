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
	// Signers are the signers of the first bundle and of anchors.
	Signers state.Signers
	// Retention is how long the log service retains records of the stream.
	Retention time.Duration
	Logger    *zap.Logger
}

// Store keeps the bundle in effect. It implements peer.Bundles and is safe for
// concurrent use.
type Store struct {
	cfg     Config
	current atomic.Pointer[Accepted] // in effect; nil for none

	mu       sync.Mutex
	fold     *Fold
	atEnd    bool // the stream was read to its end since the start or the last gap
	progress logstream.Position
	subs     map[chan *state.Bundle]struct{}
	refused  state.BundleID // last offer refused; a peer repeats it with each message
}

// NewStore returns a store without a bundle.
func NewStore(cfg Config) *Store {
	return &Store{cfg: cfg, fold: NewFold(cfg.Signers), subs: make(map[chan *state.Bundle]struct{})}
}

// Run tails the stream and re-appends checkpoints until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	checkpoints := make(chan struct{})
	go func() {
		defer close(checkpoints)
		s.runCheckpoints(ctx)
	}()
	tailer := logstream.Tailer{
		Log: s.cfg.Log, Stream: Stream, Logger: s.cfg.Logger,
		Fold: s.apply, Gap: s.gap, Progress: s.advance,
	}
	err := tailer.Run(ctx)
	cancel()
	<-checkpoints
	return err
}

// Accepted returns the version in effect, 0 for none.
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

// Offer takes a bundle that an authenticated peer has in effect. The peer has
// read the stream to its end, so the bundle is put into effect here even while
// the log is unavailable.
func (s *Store) Offer(offered state.AcceptedBundle) {
	if offered.Version == 0 || offered.Version < s.Accepted() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := ID(offered.Document)
	if id == s.refused {
		return
	}
	a, err := newAccepted(offered)
	if err != nil {
		s.refused = id
		s.cfg.Logger.Warn("bundle offered by a peer ignored", zap.Uint64("version", offered.Version), zap.Error(err))
		return
	}
	s.fold.Adopt(a, a.Offset+1)
	s.install(a, "peer")
	s.installHead()
}

// Subscribe returns a channel that carries the bundle in effect and each later
// one. A receiver that is slow gets only the newest. The function ends the
// subscription.
func (s *Store) Subscribe() (<-chan *state.Bundle, func()) {
	ch := make(chan *state.Bundle, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.Current(); b != nil {
		ch <- b
	}
	s.subs[ch] = struct{}{}
	return ch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subs, ch)
	}
}

func (s *Store) apply(r logstream.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.fold.Apply(r)
	s.cfg.Logger.Debug("bundle record", zap.Uint64("offset", d.Offset), zap.Stringer("kind", d.Kind),
		zap.Uint64("version", d.Version), zap.String("bundle", string(d.ID)), zap.Bool("accepted", d.Changed), zap.Error(d.Err))
	s.installHead()
}

func (s *Store) gap(_ uint64, page logstream.Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fold.Gap(page.First)
	s.atEnd = false
}

func (s *Store) advance(p logstream.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress = p
	if s.atEnd || !p.AtEnd() {
		return
	}
	s.atEnd = true
	s.installHead()
	if s.current.Load() == nil {
		s.cfg.Logger.Warn("no bundle in effect: the stream has neither a first bundle nor a usable checkpoint nor an anchor")
	} else if !s.fold.Connected() {
		s.cfg.Logger.Warn("proposals are not judged: records were lost to retention before they were read; a checkpoint, a peer's newer bundle or an anchor is needed")
	}
}

// installHead puts the head of the fold into effect once the stream was read to
// its end. s.mu is held.
func (s *Store) installHead() {
	if head := s.fold.Head(); head != nil && s.atEnd && s.fold.Connected() {
		s.install(head, "log")
	}
}

// install puts a into effect if it supersedes the bundle in effect. s.mu is
// held.
func (s *Store) install(a *Accepted, source string) {
	old := s.current.Load()
	if !a.supersedes(old) {
		return
	}
	state.Assert(old == nil || a.Version > old.Version, state.BundleMonotone,
		fmt.Sprintf("version %d replaced by another bundle of version %d", oldVersion(old), a.Version))
	s.current.Store(a)
	s.cfg.Logger.Info("bundle in effect", zap.Uint64("version", a.Version), zap.String("bundle", string(a.ID)),
		zap.Uint64("offset", a.Offset), zap.String("source", source))
	for ch := range s.subs {
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

func oldVersion(a *Accepted) uint64 {
	if a == nil {
		return 0
	}
	return a.Version
}

// checkpointFresh is how recently the end of the stream must have been read for
// a checkpoint. A poll of a slow log takes up to twice the wait.
const checkpointFresh = 10 * logstream.PollWait

// Fractions of the retention time.
const (
	checkpointAge   = 4  // a checkpoint older than retention/4 is repeated
	checkpointDelay = 16 // after a random delay of up to retention/16, so that usually one process does
	checkpointCheck = 64 // how often the age is checked
)

// runCheckpoints appends a checkpoint whenever the stream has had none for a
// quarter of the retention time.
func (s *Store) runCheckpoints(ctx context.Context) {
	ticker := time.NewTicker(max(s.cfg.Retention/checkpointCheck, time.Millisecond))
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
		delay := time.NewTimer(rand.N(s.cfg.Retention/checkpointDelay + 1))
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

// checkpointDue returns the checkpoint to append. A process that has not read
// the end of the stream lately leaves it to others.
func (s *Store) checkpointDue() (rec *Record, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := s.fold.Head()
	if head == nil || head.ID != s.currentID() || !s.atEnd || !s.fold.Connected() || time.Since(s.progress.AsOf) > checkpointFresh {
		return nil, false
	}
	rec = &Record{Kind: Checkpoint, Document: head.Document, Signatures: head.Signatures, Accepted: head.Offset, Through: s.fold.Next()}
	return rec, time.Since(s.fold.Checkpointed()) > s.cfg.Retention/checkpointAge
}

func (s *Store) appendCheckpoint(ctx context.Context, rec *Record) {
	data, err := rec.Marshal()
	if err == nil {
		// A checkpoint whose fate is unknown is not repeated under the same id; the
		// next check finds out whether it is in the stream.
		_, err = s.cfg.Log.Append(ctx, Stream, logstream.Entry{ID: logstream.NewID(), Data: data})
	}
	if err != nil && ctx.Err() == nil {
		s.cfg.Logger.Warn("bundle checkpoint not appended", zap.Uint64("accepted_offset", rec.Accepted), zap.Error(err))
	}
}
