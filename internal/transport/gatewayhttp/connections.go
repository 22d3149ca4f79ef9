package gatewayhttp

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

const (
	// aboveBoundShare is the number of connections that are accepted above the bound while
	// none is idle, as a fraction of the bound, at least 1. A request on them is refused as
	// not run: its caller tries another entry at once, while one whose connection waits to be
	// accepted does so only after a second, or, if the request may not be repeated, never.
	aboveBoundShare = 1.0 / 16
	// roomCheckInterval is the time between searches for idle connections to close while no
	// further connection is accepted.
	roomCheckInterval = 10 * time.Millisecond
	// shortageCloses is the number of idle connections that are closed when one cannot be
	// accepted for lack of a descriptor.
	shortageCloses = 8
	// boundLogInterval is the least time between two log lines about the bound.
	boundLogInterval = time.Second
	// reasonConnections is the reason of a refusal because all connections that callers may
	// have are in use. connectionsRetryAfter goes with it: other entries may have room.
	reasonConnections     = "connections"
	connectionsRetryAfter = 200 * time.Millisecond
)

// connections tracks the connections of callers and bounds their number, so that descriptors
// are left for targets, the store and other entries.
type connections struct {
	bound  int // 0: none
	log    *zap.Logger
	logged rate.Sometimes
	closed chan struct{} // has an element if a connection was closed lately

	mu         sync.Mutex
	open       int
	idle       list.List                  // of idleConnection, idle for longest first
	idleOf     map[net.Conn]*list.Element // in idle
	aboveBound map[net.Conn]struct{}      // accepted above the bound, without a request yet
}

// idleConnection is a connection without a request.
type idleConnection struct {
	conn  net.Conn
	since time.Time
}

func (c *connections) init(bound int, log *zap.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound, c.log, c.logged = bound, log, rate.Sometimes{Interval: boundLogInterval}
	c.closed = make(chan struct{}, 1)
	c.idleOf, c.aboveBound = make(map[net.Conn]*list.Element), make(map[net.Conn]struct{})
}

// count returns the number of open connections and of idle ones.
func (c *connections) count() (open, idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, len(c.idleOf)
}

// track is the ConnState hook of the server.
func (c *connections) track(conn net.Conn, st http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.idleOf[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.idleOf, conn)
	}
	switch st {
	case http.StateNew:
		c.open++
		if c.bound > 0 && c.open > c.bound && len(c.idleOf) == 0 {
			c.aboveBound[conn] = struct{}{}
		}
	case http.StateIdle:
		c.idleOf[conn] = c.idle.PushBack(idleConnection{conn, time.Now()})
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.aboveBound, conn)
		select {
		case c.closed <- struct{}{}:
		default:
		}
	}
}

// isAboveBound reports whether the first request of conn is to be refused, because it was
// accepted above the bound and there is still no room for it.
func (c *connections) isAboveBound(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, above := c.aboveBound[conn]
	delete(c.aboveBound, conn)
	return above && c.open > c.bound
}

// closeIdle closes connections that have been idle for at least limit.
func (c *connections) closeIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLongestIdle(len(c.idleOf), func(i idleConnection) bool { return now.Sub(i.since) >= limit })
}

// closeLongestIdle closes up to n connections, those that have been idle for longest first, as
// long as they meet the condition. It sets a read deadline in the past, on which net/http
// closes a connection unless it has just read a request from it. Closing the connection here
// could cut a request that is already being handled. c.mu is held.
func (c *connections) closeLongestIdle(n int, condition func(idleConnection) bool) {
	for e := c.idle.Front(); e != nil && n > 0; e, n = e.Next(), n-1 {
		i := e.Value.(idleConnection)
		if !condition(i) {
			return
		}
		if err := i.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.log.Debug("idle connection not closed", zap.Error(err))
		}
	}
}

func always(idleConnection) bool { return true }

// makeRoom closes idle connections if the next one would exceed the bound, and reports whether
// it may be accepted.
func (c *connections) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bound == 0 || c.open < c.bound {
		return true
	}
	c.logged.Do(func() {
		c.log.Warn("bound of callers' connections reached", zap.Int("bound", c.bound), zap.Int("open", c.open), zap.Int("idle", len(c.idleOf)))
	})
	c.closeLongestIdle(c.open-c.bound+1, always)
	return c.open < c.bound+max(1, int(aboveBoundShare*float64(c.bound)))
}

// relieveShortage closes some idle connections, because there is no descriptor for another one.
func (c *connections) relieveShortage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logged.Do(func() {
		c.log.Warn("no descriptor for a caller's connection", zap.Int("bound", c.bound), zap.Int("open", c.open), zap.Int("idle", len(c.idleOf)))
	})
	c.closeLongestIdle(shortageCloses, always)
}

// boundedListener accepts connections only while there is room for them. Others wait in the
// queue of the listener, where they hold no descriptor.
type boundedListener struct {
	net.Listener
	connections *connections
	done        chan struct{} // closed by Close
	closeOnce   func()
}

func newBoundedListener(ln net.Listener, c *connections) *boundedListener {
	l := &boundedListener{Listener: ln, connections: c, done: make(chan struct{})}
	l.closeOnce = sync.OnceFunc(func() { close(l.done) })
	return l
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for !l.connections.makeRoom() {
		select {
		case <-l.done:
			return nil, net.ErrClosed
		case <-l.connections.closed:
		case <-time.After(roomCheckInterval):
		}
	}
	conn, err := l.Listener.Accept()
	if netconn.IsShortage(err) {
		l.connections.relieveShortage()
	}
	return conn, err
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.closeOnce()
	return l.Listener.Close()
}
