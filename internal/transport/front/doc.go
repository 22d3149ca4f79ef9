// Package front is the HTTP server for callers: chat completions, completions
// and models in the form of the OpenAI API, and plain services passed through.
//
// A response is sent in one piece while its status can still change, and as a
// stream from then on. A stream that cannot be completed ends with an error
// event and a closed connection.
package front

import (
	"time"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
)

// Limits of a caller's connection and request.
const (
	// maxBody leaves room in a frame for the other fields of a dispatch.
	maxBody = protocol.MaxFrame - 64<<10
	// maxHeader bounds the request line and headers, in bytes.
	maxHeader = 16 << 10
	// maxWhole bounds a response that is assembled from a stream, in bytes.
	maxWhole = 16 << 20
	// maxHeld is how much of a plain service's response is held back while its
	// status can still change, in bytes.
	maxHeld = 64 << 10
	// maxRejecting bounds the connections above the limit that are told so at
	// the same time. Others are closed at once.
	maxRejecting = 64
	// maxKey bounds an Idempotency-Key, in bytes.
	maxKey = 255
	// maxTimeout bounds Cassiaramp-Timeout.
	maxTimeout = time.Hour

	// readTimeout bounds the arrival of one request with its body.
	readTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests of a connection.
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds the time without progress of a write.
	writeTimeout = 10 * time.Second
	// writePiece is the largest piece of a write that must make progress within
	// writeTimeout, in bytes.
	writePiece = 16 << 10
	// maxDrained is how much of a rejected body is read so that the connection
	// can be kept, in bytes. The HTTP library gives up at the same size.
	maxDrained = 256 << 10
	// lingerTime and lingerBytes bound what is read of a rejected request after
	// its response.
	lingerTime  = time.Second
	lingerBytes = 4 * maxBody
	// keepAliveInterval is the time after which a waiting stream gets a comment,
	// so that a caller that is gone is noticed.
	keepAliveInterval = 5 * time.Second
	// holdTime is how long a started plain response is held back.
	holdTime = 100 * time.Millisecond
)

// Headers of the caller interface.
const (
	headerRequestID  = "Cassiaramp-Request-Id"
	headerOutcome    = "Cassiaramp-Outcome"
	headerTier       = "Cassiaramp-Tier"
	headerIdempotent = "Cassiaramp-Idempotent"
	headerTimeout    = "Cassiaramp-Timeout"
	headerKey        = "Idempotency-Key"
	headerPrefix     = "Cassiaramp-"
)
