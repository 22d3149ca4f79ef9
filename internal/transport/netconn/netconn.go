// Package netconn opens and accepts TCP connections that detect an unresponsive
// peer: they end with an error instead of waiting for it without limit.
package netconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// A connection fails when its peer neither acknowledges data nor answers keep-alive
// probes for about silenceTimeout. The timeout is below 2 s, the time after which
// callers abandon a stream without events.
const (
	silenceTimeout = 1500 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	probeCount     = int(silenceTimeout / probeInterval)
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, for which package
// syscall has no constant.
const tcpUserTimeout = 0x12

// KeepAlive returns the keep-alive configuration of all connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
}

// Dial opens a TCP connection to an IPv4 address. timeout bounds the attempt.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return conn, nil
}

// ListenConfig returns the configuration of listeners whose connections detect an
// unresponsive peer.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

// endTimeout bounds the time that a server waits at its end for requests in progress.
const endTimeout = 150 * time.Millisecond

// Serve serves HTTP on ln until ctx ends. It then waits for requests in progress, for up to
// endTimeout, closes all connections and returns nil.
func Serve(ctx context.Context, server *http.Server, ln net.Listener) error {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		end(server)
	})
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		stop()
		return err
	}
	if !stop() {
		<-ended
	}
	return nil
}

// end ends the server. An error of Shutdown means that requests are still in progress, and
// one of Close that a connection was closed already.
func end(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}

// setUserTimeout limits how long sent data may stay unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceTimeout.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}
