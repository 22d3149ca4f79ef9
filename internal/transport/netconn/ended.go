package netconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// The kernel may close the listener of a process that ends after its connections. A
	// connection that it accepts in between is reset within endWait. endCheckTimeout bounds the whole
	// check of whether a process has ended, which a response waits for.
	endWait         = 10 * time.Millisecond
	endCheckTimeout = 100 * time.Millisecond
)

// showsEnd reports whether an error of opening a connection shows that no process accepts
// connections at the address any more.
func showsEnd(err error) bool {
	// A connection may be accepted and reset before the call that opens it returns.
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// EndsWithin reports whether the peer ends an idle connection within the given time, and whether
// the connection is still idle and can be used.
func EndsWithin(conn net.Conn, wait time.Duration) (ended, idle bool) {
	err := conn.SetReadDeadline(time.Now().Add(wait))
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) || conn.SetReadDeadline(time.Time{}) != nil {
		return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), false
	}
	return false, true
}

// HasEnded reports whether the process that has just closed a connection at an address has ended:
// further connections are refused, or closed at once. False is no proof that it runs: another process
// may accept connections at the address. It is for targets that have no identity to ask for.
func HasEnded(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return showsEnd(err)
	}
	defer conn.Close()
	ended, _ := EndsWithin(conn, endWait)
	return ended
}

// clockMargin is above the resolution of the kernel's clock of connections, 10 ms at most.
const clockMargin = 20 * time.Millisecond

// Received returns the bounds of when the last data arrived on a connection, read or not, by the clock
// of the kernel. The end of the connection is no data. ok is false if the kernel does not tell.
func Received(c net.Conn) (earliest, latest time.Time, ok bool) {
	before := time.Now()
	info := infoOf(c)
	if info == nil {
		return time.Time{}, time.Time{}, false
	}
	// The process may be paused between the two times.
	age := time.Duration(info.Last_data_recv) * time.Millisecond
	return before.Add(-age - clockMargin), time.Now().Add(clockMargin - age), true
}

// ClosedBy returns a time by which the peer had closed an idle connection. ok is false if it has not,
// or if the kernel does not tell.
func ClosedBy(c net.Conn) (at time.Time, ok bool) {
	info := infoOf(c)
	if info == nil || info.State != unix.BPF_TCP_CLOSE_WAIT {
		return time.Time{}, false
	}
	// The segment that closes a connection is an acknowledgement too, and no other follows it.
	return time.Now().Add(clockMargin - time.Duration(info.Last_ack_recv)*time.Millisecond), true
}

// infoOf returns what TCP_INFO says about a connection, or nil.
func infoOf(c net.Conn) *unix.TCPInfo {
	watched, ok := c.(*conn)
	if !ok || !infoAvailable() {
		return nil
	}
	info, err := watched.info()
	if err != nil {
		return nil // closed by this process
	}
	return info
}
