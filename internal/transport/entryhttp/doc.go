// Package entryhttp is the HTTP server in front of package entry, for callers of a
// deployment with side processes: chat completions, completions and models in the form
// of the OpenAI API, and plain services passed through. The server for callers on the
// users' platform is package gatewayhttp.
//
// A response is buffered as long as its HTTP status can still change, and is
// streamed from then on. A stream that cannot be completed ends with a closed
// connection, and an event stream with an error event before that.
package entryhttp

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
)

// Limits of a caller's connection, request and response.
const (
	// maxBodyBytes bounds a request body. It leaves 64 KiB of a protocol frame
	// for the other fields of a dispatch.
	maxBodyBytes = protocol.MaxFrameBytes - 64<<10
	// maxHeaderBytes bounds the request line and headers.
	maxHeaderBytes = 16 << 10
	// maxAssembledBytes bounds the chunks of a response that is assembled from a
	// stream.
	maxAssembledBytes = 16 << 20
	// maxPlainBufferBytes is how much of a plain service's response body is
	// buffered before the response is streamed.
	maxPlainBufferBytes = 64 << 10
	// maxConcurrentRejections bounds the connections above the connection limit
	// that are being sent an error response. Others are closed without one.
	maxConcurrentRejections = 64
	// maxIdempotencyKeyBytes bounds the Idempotency-Key header.
	maxIdempotencyKeyBytes = 255
	// maxTimeout bounds the Cassiaramp-Timeout header.
	maxTimeout = time.Hour

	// readTimeout bounds the time in which one request arrives with its body.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests of a connection.
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds the time that the connection takes to accept
	// maxWriteBytes. A larger write is split, so a caller that reads slowly is
	// not cut off.
	writeTimeout = 10 * time.Second
	// maxWriteBytes is the largest piece that is written under one deadline.
	maxWriteBytes = 16 << 10
	// maxDrainedBytes is the largest unread body of a rejected request that is
	// drained to keep the connection open. It equals fasthttp's limit
	// (maxUnreadStreamBodySize).
	maxDrainedBytes = 256 << 10
	// lingerTime and lingerBytes bound what is read from a connection after the
	// response to a rejected request, before the connection is closed.
	lingerTime  = time.Second
	lingerBytes = 4 * maxBodyBytes
	// keepAliveInterval is the time without output after which an event stream
	// gets a comment, so that a caller that is gone is detected.
	keepAliveInterval = 5 * time.Second
	// plainBufferTime is how long a plain service's response is buffered after its
	// status has arrived.
	plainBufferTime = 100 * time.Millisecond
)

// HTTP headers of the caller interface.
const (
	headerRequestID      = "Cassiaramp-Request-Id"
	headerOutcome        = "Cassiaramp-Outcome"
	headerTier           = "Cassiaramp-Tier"
	headerIdempotent     = "Cassiaramp-Idempotent"
	headerTimeout        = "Cassiaramp-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	headerPrefix         = "Cassiaramp-"
)
