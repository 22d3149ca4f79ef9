// Package peer carries sessions between entries and side processes over QUIC
// with mutual TLS.
//
// A session is one QUIC connection from a UDP port of its own. A connection
// that goes silent is never repaired: the entry opens a new one from a new port
// with the next session number, which fences the old one at the side process.
package peer

import "time"

// Timeouts of a session.
const (
	// ActiveSilence is the time without any message after which a session with
	// open attempts is given up.
	ActiveSilence = 1500 * time.Millisecond
	// IdleSilence is the same for a session without open attempts.
	IdleSilence = 15 * time.Second
	// StatusInterval is how often a side process reports on an active session.
	StatusInterval = 500 * time.Millisecond
	// HeartbeatInterval is how often either side sends on an idle session.
	HeartbeatInterval = 5 * time.Second
	// IdleClose is the time after which an entry closes a session that it has
	// not used, unless the target belongs to its subset.
	IdleClose = 60 * time.Second
	// handshakeTimeout bounds dialing, the TLS handshake and the exchange of
	// Hello and Welcome.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds a write to a stream that the peer does not drain.
	writeTimeout = 5 * time.Second
	// watchInterval is how often the silence of a session is checked.
	watchInterval = 100 * time.Millisecond
)

// eventBuffer is the number of attempt events read ahead of the consumer. QUIC
// flow control holds the rest back at the sender.
const eventBuffer = 32

// maxStreams bounds the attempts open on one session.
const maxStreams = 4096
