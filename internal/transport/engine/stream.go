package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// errInterrupted is the cause of a stream that has no connection yet.
var errInterrupted = errors.New("stream not connected")

// finalData is the data of the event that ends a stream.
const finalData = "[DONE]"

// stream is one request's stream over successive connections.
type stream struct {
	client *Client
	id     state.AttemptID
	emit   func(state.AttemptEvent)
	next   uint64 // offset of the next chunk
	usage  state.Usage
	// patient grants a stream that has not begun the time before the first byte.
	// It is set for a stream that another process opened, because the engine may
	// still compute the prompt.
	patient bool
}

// complete resumes the stream, which was interrupted by err, until it is whole
// or the limit without progress is reached. A nil err means that it is whole.
func (s *stream) complete(ctx context.Context, err error) (state.Usage, error) {
	progress := s.next
	giveUp := time.Now().Add(s.client.cfg.ResumeLimit)
	for {
		switch {
		case err == nil || settled(err):
			return s.usage, err
		case ctx.Err() != nil:
			return s.usage, ctx.Err()
		case errors.Is(err, errTooLong) || time.Now().After(giveUp):
			return s.usage, s.abandon(ctx, err)
		}
		if !errors.Is(err, errInterrupted) {
			s.client.cfg.Log.Warn("engine stream interrupted", zap.Stringer("attempt", s.id), zap.Uint64("from", s.next), zap.Error(err))
		}
		err = s.resume(ctx)
		if s.next > progress {
			progress = s.next
			giveUp = time.Now().Add(s.client.cfg.ResumeLimit)
		}
		if err != nil && !settled(err) {
			pause(ctx, resumePause)
		}
	}
}

// settled reports whether err tells the fate of the request.
func settled(err error) bool {
	var reported *side.TargetError
	var denied *side.NotAdmittedError
	return errors.As(err, &reported) || errors.As(err, &denied)
}

// abandon cancels the request, whose outcome is unknown from here on, so that
// the engine does not go on with it.
func (s *stream) abandon(ctx context.Context, err error) error {
	if cancelErr := s.client.Cancel(ctx, s.id); cancelErr != nil {
		s.client.cfg.Log.Warn("engine did not confirm the cancellation", zap.Stringer("attempt", s.id), zap.Error(cancelErr))
	}
	return unknown(err)
}

// timeout is implemented by the timeout errors of fasthttp and net.
type timeout interface {
	error
	Timeout() bool
}

// unknown classifies the cause of an unknown outcome.
func unknown(err error) *side.UnknownError {
	reason := state.ReasonStreamBroken
	if t, ok := errors.AsType[timeout](err); ok && t.Timeout() {
		reason = state.ReasonTargetSilent
	}
	return &side.UnknownError{Reason: reason, Err: err}
}

// resume continues the stream on a new connection.
func (s *stream) resume(ctx context.Context) error {
	path := fmt.Sprintf("%s/events?from=%d", requestPath(s.id), s.next)
	silence := s.client.cfg.StreamSilence
	if s.patient && s.next == 0 {
		silence = s.client.cfg.FirstByteSilence
	}
	k, err := s.client.do(ctx, silence, func(r *fasthttp.Request) {
		s.client.address(r, fasthttp.MethodGet, path)
	})
	if errors.Is(err, side.ErrNotSent) {
		// The request itself was sent before, so the caller must not see this.
		return fmt.Errorf("resume: %v", err)
	}
	if err != nil {
		return fmt.Errorf("resume: %w", err)
	}
	return s.follow(k, false)
}

// follow passes on the chunks of one connection. It returns nil when the stream
// is whole. opening says that k carries the request itself, so that an error
// status tells its fate.
func (s *stream) follow(k *call, opening bool) error {
	defer k.close()
	if k.status() != fasthttp.StatusOK {
		return s.rejected(k, opening)
	}
	events := newEventReader(k.body())
	for {
		e, err := events.next()
		if err != nil {
			return fmt.Errorf("engine stream: %w", err)
		}
		k.conn.silence.Store(int64(s.client.cfg.StreamSilence))
		whole, err := s.accept(e)
		if whole || err != nil {
			return err
		}
	}
}

func (s *stream) rejected(k *call, opening bool) error {
	if opening {
		return refusal(k)
	}
	if k.status() == fasthttp.StatusNotFound {
		return errUnknownID
	}
	return fmt.Errorf("resume: status %d", k.status())
}

// accept takes one event and reports whether it ended the stream. An event that
// was passed on before is dropped. A gap is an error, so that the stream is
// resumed from the missing event.
func (s *stream) accept(e event) (whole bool, err error) {
	if !e.ided {
		e.id = s.next
	}
	if e.id < s.next {
		return false, nil
	}
	if e.id > s.next {
		return false, fmt.Errorf("event %d follows event %d", e.id, int64(s.next)-1)
	}
	if string(e.data) == finalData {
		return true, nil
	}
	if err := s.inspect(e.data); err != nil {
		return false, err
	}
	s.emit(&state.Chunk{Offset: s.next, Data: e.data})
	s.next++
	return false, nil
}

// report holds the fields of a chunk that the client reads.
type report struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// inspect takes the usage from a chunk and returns an error that the engine
// reports inside the stream. Most chunks have neither and are not parsed.
func (s *stream) inspect(data []byte) error {
	if !bytes.Contains(data, []byte(`"usage"`)) && !bytes.Contains(data, []byte(`"error"`)) {
		return nil
	}
	var r report
	if json.Unmarshal(data, &r) != nil {
		return nil // the payload is the caller's business
	}
	if len(r.Error) > 0 && string(r.Error) != "null" {
		return &side.TargetError{Detail: string(r.Error[:min(len(r.Error), maxDetail)])}
	}
	if r.Usage != nil {
		s.usage = state.Usage{
			PromptTokens:    r.Usage.PromptTokens,
			CachedTokens:    r.Usage.Details.CachedTokens,
			GeneratedTokens: r.Usage.CompletionTokens,
		}
	}
	return nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
