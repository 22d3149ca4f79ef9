// Package engine is the HTTP client of targets. Client implements side.Runner
// for engines, whose streams can be resumed and cancelled, and for plain
// services, whose calls can be neither.
//
// Each call uses a TCP connection of its own. A request on an idle connection
// that the target closes at the same moment would have an unknown outcome, and
// a stream that has gone silent can be resumed only on another connection.
package engine

import "time"

// Limits of a call.
const (
	// FirstByteSilence is the time without a byte before the first event of a
	// stream. It also applies throughout a call to a plain service.
	FirstByteSilence = 10 * time.Second
	// StreamSilence is the time without a byte once the stream has begun.
	StreamSilence = 2 * time.Second
	// ResumeLimit bounds the time without a new event in which a stream is
	// resumed. It allows two silent connections.
	ResumeLimit = 4 * time.Second
	// connectTimeout bounds the TCP handshake.
	connectTimeout = time.Second
	// writeTimeout bounds a write that the target does not accept.
	writeTimeout = 5 * time.Second
	// shortTimeout bounds calls with a short answer: list, cancel, load, cache
	// events.
	shortTimeout = 2 * time.Second
	// resumePause is the pause between two attempts to resume.
	resumePause = 100 * time.Millisecond
	// pollInterval is how often load and cache events are polled.
	pollInterval = 500 * time.Millisecond
)

// Sizes.
const (
	// maxChunk bounds the payload of a chunk, as the peer protocol does.
	maxChunk = 64 << 10
	// maxDetail bounds the part of an error body that is passed on.
	maxDetail = 4 << 10
	// maxAnswer bounds a short answer.
	maxAnswer = 8 << 20
	// headerBuffer bounds the header of a response.
	headerBuffer = 16 << 10
	// maxCachePages bounds the pages of cache events read in one poll.
	maxCachePages = 16
)
