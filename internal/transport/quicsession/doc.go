// Package quicsession carries sessions between entries and side processes over QUIC
// with mutual TLS. It connects no entries with each other; package mesh does that.
//
// A session is one QUIC connection, opened by the entry from a UDP port of its own.
// The first stream is the control stream; each attempt has a stream of its own. When a
// connection goes silent, the entry does not try to recover it: it opens a new one from
// a new port with the next session number, which fences the old session at the side
// process.
package quicsession

import "time"

// Timeouts of a session.
const (
	// ActiveSilenceTimeout is the time without any message after which an entry gives
	// up a session with open attempts.
	ActiveSilenceTimeout = 1500 * time.Millisecond
	// IdleSilenceTimeout is the same for a session without open attempts. It is also
	// the idle timeout of the QUIC connection.
	IdleSilenceTimeout = 15 * time.Second
	// StatusInterval is how often a side process reports its status on a session with
	// open attempts while it has few sessions.
	StatusInterval = 500 * time.Millisecond
	// MaxStatusInterval is the same with many sessions. It is far enough below
	// ActiveSilenceTimeout for a report that is retransmitted after a packet loss to
	// arrive in time.
	MaxStatusInterval = 2 * StatusInterval
	// HeartbeatInterval is how often an entry sends a heartbeat, and how often a side
	// process reports its status on a session without open attempts.
	HeartbeatInterval = 5 * time.Second
	// IdleCloseTimeout is the time without open attempts after which an entry closes a
	// session. The sessions to the targets of its subset are kept open.
	IdleCloseTimeout = 60 * time.Second
	// handshakeTimeout bounds dialing, the TLS handshake and the exchange of Hello and
	// Welcome.
	handshakeTimeout = 2 * time.Second
	// writeTimeout bounds a write to a stream that the peer does not read from. A side
	// process also waits this long for the first message of an attempt stream and, after
	// the last event, for the entry's end of the stream.
	writeTimeout = 5 * time.Second
	// watchSlack is added to the time until the next check of a session, so that the
	// check does not run just before the timeout has passed.
	watchSlack = 10 * time.Millisecond
)

// A side process lengthens the interval of its status reports when all of them together
// would exceed statusBudget. From 40 sessions on the interval is MaxStatusInterval, so
// with more than 40 active sessions the reports exceed the budget. See docs/CAPACITY.md.
const (
	statusBudget = 6000 // bytes per second
	statusSize   = 150  // bytes of one report with its QUIC packet and the acknowledgement
)

// statusInterval returns the time between two reports on a session with open attempts
// when the side process has n sessions.
func statusInterval(n int) time.Duration {
	return min(max(time.Duration(n)*time.Second*statusSize/statusBudget, StatusInterval), MaxStatusInterval)
}

// maxEventsReadAhead bounds the events of an attempt that are buffered before the
// consumer takes them. QUIC flow control then stops the sender.
const maxEventsReadAhead = 32

// maxStreams bounds the open streams of one session: the control stream and one for
// each open attempt.
const maxStreams = 4096
