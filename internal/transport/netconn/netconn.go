// Package netconn opens and accepts TCP connections that detect an unresponsive
// peer: they end with an error instead of waiting for it without limit.
package netconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// A connection fails when its peer does not acknowledge data for about silenceTimeout, or
// does not answer keep-alive probes while it is idle. The timeout is below 2 s, the time after
// which callers abandon a stream without events.
const (
	silenceTimeout = 1500 * time.Millisecond
	probeInterval  = time.Second // the least that Linux takes
	// An idle connection ends when this number of probes has no answer. One may be lost: a
	// response may be awaited on the connection. With TCP_USER_TIMEOUT, Linux ends it after the
	// first one that is older than the timeout, whatever the number.
	idleProbes    = 2
	limitedProbes = 3
)

// KeepAlive returns the keep-alive configuration of all connections. Probes detect a silent
// peer of an idle connection only: while data is unacknowledged, Linux sends none.
func KeepAlive() net.KeepAliveConfig {
	count := limitedProbes
	if infoAvailable() {
		count = idleProbes
	}
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: count}
}

// An attempt to connect that its timeout ends later than by longestDelay was held up by this
// process, which did not run, and not by the peer: the connection may have been accepted
// meanwhile. It is made once more, for delayedDialTimeout. Sound peers are at most a few
// milliseconds away. A process that has used up its processor share is held up for less.
const (
	longestDelay       = 100 * time.Millisecond
	delayedDialTimeout = 100 * time.Millisecond
)

// Dial opens a TCP connection to an IPv4 address. timeout bounds the attempt, as far as the
// process runs.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return dial(ctx, address, timeout, limitSocket)
}

func dial(ctx context.Context, address string, timeout time.Duration, control func(network, address string, c syscall.RawConn) error) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: control}
	began := time.Now()
	conn, err := d.DialContext(ctx, "tcp4", address)
	if t, ok := errors.AsType[net.Error](err); ok && t.Timeout() && ctx.Err() == nil && time.Since(began) > timeout+longestDelay {
		d.Timeout = delayedDialTimeout
		conn, err = d.DialContext(ctx, "tcp4", address)
	}
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return newConn(conn), nil
}

// ListenConfig returns the configuration of listeners whose connections detect an
// unresponsive peer.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: limitSocket}
}

// endTimeout bounds the time that a server waits at its end for requests in progress, for those
// that are expected on new connections, and then for its callers to receive what was written.
const endTimeout = 150 * time.Millisecond

// endCheckInterval is the time between checks whether a server may end.
const endCheckInterval = time.Millisecond

// Serve serves HTTP on ln until ctx ends. It then closes ln, goes on serving the open
// connections until none has a request in progress and none is new, for up to endTimeout,
// closes all connections and returns nil. It does not use http.Server.Shutdown, which closes a
// connection without a response if it reads a request afterwards. Connections are closed such
// that callers receive what was written; see servedConn.
func Serve(ctx context.Context, server *http.Server, ln net.Listener) error {
	busy := &busyConns{open: make(map[net.Conn]struct{}), hook: server.ConnState}
	server.ConnState = busy.track
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	err := server.Serve(listener{ln})
	if stop() {
		return err // ctx has not ended
	}
	end := time.Now().Add(endTimeout)
	for busy.any() && time.Now().Before(end) {
		time.Sleep(endCheckInterval)
	}
	server.Close() // fails for connections that are closed already
	for Delivering() > 0 && time.Now().Before(end) {
		time.Sleep(endCheckInterval)
	}
	return nil
}

// busyConns holds the connections of a server that are new or have a request in progress.
type busyConns struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
	hook func(net.Conn, http.ConnState) // called after the state was recorded, or nil
}

// track is the ConnState hook of the server.
func (b *busyConns) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	if state == http.StateNew || state == http.StateActive {
		b.open[c] = struct{}{}
	} else {
		delete(b.open, c)
	}
	b.mu.Unlock()
	if b.hook != nil {
		b.hook(c, state)
	}
}

func (b *busyConns) any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open) > 0
}

// limitSocket sets TCP_USER_TIMEOUT for a socket and the connections that it accepts, where
// there is no better means. An error is ignored: where the option does not exist, keep-alive
// probes detect a silent peer.
func limitSocket(_, _ string, c syscall.RawConn) error {
	if infoAvailable() {
		return nil
	}
	return c.Control(func(fd uintptr) { _ = setUserTimeout(fd, true) })
}
