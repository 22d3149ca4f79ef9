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
	// StatusInterval is how often a side process reports on an active session
	// while it has few sessions.
	StatusInterval = 500 * time.Millisecond
	// MaxStatusInterval is the same with many sessions. It is below
	// ActiveSilence by enough that a report sent again after a packet loss still
	// arrives in time.
	MaxStatusInterval = 2 * StatusInterval
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
	// watchSlack is how much later than due the silence of a session is checked,
	// so that the check does not come a moment too early.
	watchSlack = 10 * time.Millisecond
)

// Status reports of one side process are sent less often when they would take
// more than statusShare, in bytes a second: 40 sessions then have the longest
// interval. statusCost is what one report costs with the QUIC packet and its
// acknowledgement; see docs/CAPACITY.md.
const (
	statusShare = 6000
	statusCost  = 150
)

// statusInterval returns how often each of n active sessions gets a report.
func statusInterval(n int) time.Duration {
	return min(max(time.Duration(n)*time.Second*statusCost/statusShare, StatusInterval), MaxStatusInterval)
}

// eventBuffer is the number of attempt events read ahead of the consumer. QUIC
// flow control holds the rest back at the sender.
const eventBuffer = 32

// maxStreams bounds the attempts open on one session.
const maxStreams = 4096
