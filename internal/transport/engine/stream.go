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

// errNotConnected stands for the interruption of a stream that Resume starts, which
// has no connection yet.
var errNotConnected = errors.New("stream not connected")

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// stream is the response stream of one request, received over successive
// connections.
type stream struct {
	client     *Client
	id         state.AttemptID
	emit       func(state.AttemptEvent)
	nextOffset uint64 // offset of the next chunk
	usage      state.Usage
	// openedElsewhere says that another process sent the request. Before chunk 0,
	// the stream then has FirstEventIdleTimeout, because the engine may still be
	// processing the prompt.
	openedElsewhere bool
}

// resumeUntilComplete resumes the stream, which was interrupted by err, until it is
// complete or has had no new chunk for ResumeTimeout. A nil err means that the
// stream is complete.
func (s *stream) resumeUntilComplete(ctx context.Context, err error) (state.Usage, error) {
	lastOffset := s.nextOffset
	deadline := time.Now().Add(s.client.cfg.ResumeTimeout)
	for {
		switch {
		case err == nil || isOutcomeKnown(err):
			return s.usage, err
		case ctx.Err() != nil:
			return s.usage, ctx.Err()
		case errors.Is(err, errEventTooLong) || time.Now().After(deadline):
			return s.usage, s.abandon(ctx, err)
		}
		if !errors.Is(err, errNotConnected) {
			s.client.cfg.Log.Warn("engine stream interrupted", zap.Stringer("attempt", s.id), zap.Uint64("from", s.nextOffset), zap.Error(err))
		}
		err = s.resume(ctx)
		if s.nextOffset > lastOffset {
			lastOffset = s.nextOffset
			deadline = time.Now().Add(s.client.cfg.ResumeTimeout)
		}
		if err != nil && !isOutcomeKnown(err) {
			pause(ctx, resumeRetryDelay)
		}
	}
}

// isOutcomeKnown reports whether err tells the outcome of the request.
func isOutcomeKnown(err error) bool {
	var targetErr *side.TargetError
	var notAdmitted *side.NotAdmittedError
	return errors.As(err, &targetErr) || errors.As(err, &notAdmitted)
}

// abandon cancels the request, so that the engine does not continue it, and returns
// err as an unknown outcome.
func (s *stream) abandon(ctx context.Context, err error) error {
	if cancelErr := s.client.Cancel(ctx, s.id); cancelErr != nil {
		s.client.cfg.Log.Warn("engine did not confirm the cancellation", zap.Stringer("attempt", s.id), zap.Error(cancelErr))
	}
	return unknownOutcome(err)
}

// timeoutError is implemented by the timeout errors of fasthttp and net.
type timeoutError interface {
	error
	Timeout() bool
}

// unknownOutcome returns the error for an unknown outcome. Its reason depends on
// whether err, the cause, is a timeout.
func unknownOutcome(err error) *side.UnknownOutcomeError {
	reason := state.ReasonStreamBroken
	if t, ok := errors.AsType[timeoutError](err); ok && t.Timeout() {
		reason = state.ReasonTargetSilent
	}
	return &side.UnknownOutcomeError{Reason: reason, Err: err}
}

// resume continues the stream on a new connection.
func (s *stream) resume(ctx context.Context) error {
	path := fmt.Sprintf("%s/events?from=%d", requestPath(s.id), s.nextOffset)
	idleTimeout := s.client.cfg.StreamIdleTimeout
	if s.openedElsewhere && s.nextOffset == 0 {
		idleTimeout = s.client.cfg.FirstEventIdleTimeout
	}
	call, err := s.client.send(ctx, idleTimeout, func(r *fasthttp.Request) {
		s.client.setRequestLine(r, fasthttp.MethodGet, path)
	})
	if errors.Is(err, side.ErrNotSent) {
		// The request itself was sent before, so side.ErrNotSent is not wrapped.
		return fmt.Errorf("resume: %v", err)
	}
	if err != nil {
		return fmt.Errorf("resume: %w", err)
	}
	return s.readStream(call, false)
}

// readStream passes on the chunks of one connection. It returns nil when the stream
// is complete. carriesRequest says that call sent the request itself rather than
// resumed its stream, so that an error status tells the request's outcome.
func (s *stream) readStream(call *httpCall, carriesRequest bool) error {
	defer call.close()
	if call.status() != fasthttp.StatusOK {
		return s.statusError(call, carriesRequest)
	}
	if s.nextOffset > 0 {
		call.conn.setProgress(s.client.cfg.StreamIdleTimeout, s.client.cfg.StallTimeout)
	}
	events := newEventReader(call.bodyReader())
	for {
		e, err := events.next()
		if err != nil {
			return fmt.Errorf("engine stream: %w", err)
		}
		expected := s.nextOffset
		complete, err := s.handleEvent(e)
		if complete || err != nil {
			return err
		}
		if s.nextOffset > expected {
			call.conn.setProgress(s.client.cfg.StreamIdleTimeout, s.client.cfg.StallTimeout)
		}
	}
}

// statusError returns the error for a response whose status is not 200.
func (s *stream) statusError(call *httpCall, carriesRequest bool) error {
	if carriesRequest {
		return requestStatusError(call)
	}
	if call.status() == fasthttp.StatusNotFound {
		return errUnknownID
	}
	return fmt.Errorf("resume: status %d", call.status())
}

// handleEvent passes on the chunk of one event and reports whether the event ended
// the stream. An event without an id counts as the next one. An event that was
// passed on before is dropped. A gap is an error, so that the stream is resumed
// from the missing event.
func (s *stream) handleEvent(e event) (complete bool, err error) {
	if !e.hasID {
		e.id = s.nextOffset
	}
	if e.id < s.nextOffset {
		return false, nil
	}
	if e.id > s.nextOffset {
		return false, fmt.Errorf("gap in the stream: event %d follows event %d", e.id, int64(s.nextOffset)-1)
	}
	if string(e.data) == doneData {
		return true, nil
	}
	if err := s.inspectChunk(e.data); err != nil {
		return false, err
	}
	s.emit(&state.Chunk{Offset: s.nextOffset, Data: e.data})
	s.nextOffset++
	return false, nil
}

// reportedFields holds the fields of a chunk that the client reads.
type reportedFields struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// inspectChunk records the usage in a chunk and returns an error that the engine
// reports inside the stream. Most chunks contain neither and are not parsed.
func (s *stream) inspectChunk(data []byte) error {
	if !bytes.Contains(data, []byte(`"usage"`)) && !bytes.Contains(data, []byte(`"error"`)) {
		return nil
	}
	var r reportedFields
	if json.Unmarshal(data, &r) != nil {
		return nil // data that is not such JSON is passed on to the caller unchanged
	}
	if len(r.Error) > 0 && string(r.Error) != "null" {
		return &side.TargetError{Detail: string(r.Error[:min(len(r.Error), maxDetailBytes)])}
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
