package netconn

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCP_USER_TIMEOUT ends a connection whose peer does not acknowledge data, and also one whose
// peer acknowledges everything and does not read: Linux counts the time for which the window of
// the peer is closed, and the answers to its window probes do not reset it. Data that the peer
// would have read later is lost then. Where TCP_INFO tells both cases apart, the option is
// therefore set only while the peer is silent.
const (
	// watchInterval is the time between looks at connections with data in transit. Two of them
	// and the first retransmission, after 200 ms, fit into silenceTimeout.
	watchInterval = 500 * time.Millisecond
	// silentProbes is the number of window probes without an answer after which the peer is
	// silent. Linux answers at most two in a second, so that one or two may be unanswered.
	silentProbes = 3
	// windowBytes is what fits into the window of a peer that has read everything before.
	windowBytes = 16 << 10
)

// conn is a TCP connection that tells a silent peer from one that only does not read.
type conn struct {
	net.Conn
	raw syscall.RawConn

	mu      sync.Mutex
	limited bool // TCP_USER_TIMEOUT is set
	// unread is the number of bytes written since data was read from the peer. It is used
	// where there is no TCP_INFO.
	unread int
}

// newConn returns c, with its peer watched if c is a TCP connection.
func newConn(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c // not a connection of the kernel's
	}
	return &conn{Conn: tcp, raw: raw, limited: !infoAvailable()}
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// SetLinger is that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error { return c.Conn.(*net.TCPConn).SetLinger(seconds) }

// CloseWrite is that of net.TCPConn.
func (c *conn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !infoAvailable() {
		c.mu.Lock()
		c.unread = 0
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !infoAvailable() {
		c.limitByUnread(len(p))
		return c.Conn.Write(p)
	}
	watched.add(c) // for the time for which the write is blocked
	n, err := c.Conn.Write(p)
	watched.add(c) // until the peer has acknowledged the data
	return n, err
}

// limitByUnread sets TCP_USER_TIMEOUT unless n more bytes may fill the window of the peer.
func (c *conn) limitByUnread(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread += n
	c.limit(c.unread <= windowBytes)
}

// watch sets TCP_USER_TIMEOUT if the peer is silent, and reports whether c has data in transit.
func (c *conn) watch() bool {
	info, err := c.info()
	if err != nil {
		return false // closed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit(info.Unacked > 0 && info.Retransmits > 0 || info.Probes >= silentProbes)
	return inTransit(info)
}

// info returns what TCP_INFO says about c.
func (c *conn) info() (info *unix.TCPInfo, err error) {
	cerr := c.raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.Join(cerr, err)
}

// inTransit reports whether the peer has not acknowledged all that was written.
func inTransit(info *unix.TCPInfo) bool { return info.Unacked > 0 || info.Notsent_bytes > 0 }

// Delivered reports whether the peer has acknowledged all that was written, as far as that is
// known.
func (c *conn) Delivered() (delivered, known bool) {
	info := infoOf(c)
	return info != nil && !inTransit(info), info != nil
}

// limit sets TCP_USER_TIMEOUT to silenceTimeout or to none. c.mu is held.
func (c *conn) limit(limited bool) {
	if limited == c.limited {
		return
	}
	c.limited = limited
	// An error means that the connection is closed, or that there is no such option and only
	// keep-alive probes and the callers' own limits detect a silent peer.
	_ = c.raw.Control(func(fd uintptr) { _ = setUserTimeout(fd, limited) })
}

// setUserTimeout limits how long sent data may stay unacknowledged, or lifts that limit.
func setUserTimeout(fd uintptr, limited bool) error {
	timeout := 0
	if limited {
		timeout = int(silenceTimeout.Milliseconds())
	}
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
}

// watched are the connections that may have data in transit.
var watched watcher

// watcher looks at connections at intervals as long as they have data in transit.
type watcher struct {
	mu      sync.Mutex
	conns   map[*conn]struct{}
	running bool
}

func (w *watcher) add(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conns == nil {
		w.conns = make(map[*conn]struct{})
	}
	w.conns[c] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

// run ends when no connection has data in transit.
func (w *watcher) run() {
	for {
		time.Sleep(watchInterval)
		w.mu.Lock()
		for c := range w.conns {
			if !c.watch() {
				delete(w.conns, c)
			}
		}
		w.running = len(w.conns) > 0
		running := w.running
		w.mu.Unlock()
		if !running {
			return
		}
	}
}

// infoAvailable reports whether TCP_INFO has what watch needs. The users' platform is not known
// to have the option.
var infoAvailable = sync.OnceValue(func() bool {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return false
	}
	defer unix.Close(fd)
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	// The state and the retransmission timeout of a socket that is not connected are known.
	return err == nil && info.State == unix.BPF_TCP_CLOSE && info.Rto > 0
})
