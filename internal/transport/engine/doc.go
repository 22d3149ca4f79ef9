// Package engine is the HTTP client with which a side process calls its target, an
// engine or a plain service. Client implements side.Runner for engines, whose streams
// can be resumed and cancelled, and for plain services, whose calls can be neither
// resumed nor cancelled. Entries that send requests directly to targets use package
// upstream.
//
// Each call uses a TCP connection of its own. On a reused connection, a request
// has an unknown outcome if the target closes the idle connection at the same
// moment. A stream that has gone silent can be resumed only on another connection.
package engine

import "time"

// Limits of a call.
const (
	// FirstEventIdleTimeout bounds the time without a received byte until the
	// first event of a stream. It also applies throughout a call to a plain
	// service.
	FirstEventIdleTimeout = 10 * time.Second
	// StreamIdleTimeout bounds the time without a received byte after the first
	// event of a stream.
	StreamIdleTimeout = 2 * time.Second
	// StallTimeout bounds the time without an event after the first one, while other bytes
	// arrive, such as comments that keep the connection alive. An engine that is short of
	// memory may pause a stream for many seconds.
	StallTimeout = 30 * time.Second
	// ResumeTimeout bounds the time without a new chunk during which an interrupted
	// stream is resumed. It allows for two connections that run into
	// StreamIdleTimeout.
	ResumeTimeout = 4 * time.Second
	// connectTimeout bounds the TCP connection setup.
	connectTimeout = time.Second
	// writeTimeout bounds a write to a target that does not read.
	writeTimeout = 5 * time.Second
	// shortCallTimeout bounds calls with a short response: listing requests,
	// cancelling a request, reading the load and a page of cache events.
	shortCallTimeout = 2 * time.Second
	// resumeRetryDelay is the delay after a failed attempt to resume a stream.
	resumeRetryDelay = 100 * time.Millisecond
	// pollInterval is how often load and cache events are polled.
	pollInterval = 500 * time.Millisecond
)

// Sizes in bytes, unless stated otherwise.
const (
	// maxChunkBytes bounds the data of a chunk, as the peer protocol does.
	maxChunkBytes = 64 << 10
	// maxDetailBytes bounds the part of an error body that is passed on.
	maxDetailBytes = 4 << 10
	// maxShortResponseBytes bounds the body of a short response.
	maxShortResponseBytes = 8 << 20
	// maxHeaderBytes bounds the status line and headers of a response.
	maxHeaderBytes = 16 << 10
	// maxCachePagesPerPoll bounds the number of pages of cache events read in one
	// poll.
	maxCachePagesPerPoll = 16
)
