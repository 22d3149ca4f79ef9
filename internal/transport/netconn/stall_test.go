package netconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readPause is the time for which a peer does not read. It is well above silenceTimeout.
	readPause = 2*silenceTimeout + 500*time.Millisecond
	// moreThanBuffers is more than the buffers of both ends of a connection on loopback take.
	moreThanBuffers = 32 << 20 // bytes
	// moreThanWindow fits in the sender's buffer, and not in the window of a receiver with
	// smallBuffer.
	moreThanWindow = 64 << 10 // bytes
	smallBuffer    = 4 << 10  // bytes
)

// listen returns a listener on loopback, whose accepted connections have a receive buffer of
// rcvBuf bytes unless that is 0.
func listen(t *testing.T, rcvBuf int) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if rcvBuf == 0 {
			return nil
		}
		var err error
		return errors.Join(c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, rcvBuf) }), err)
	}}
	ln, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// connect returns both ends of a connection that Dial opens.
func connect(t *testing.T, rcvBuf int) (dialed net.Conn, peer *net.TCPConn) {
	t.Helper()
	ln := listen(t, rcvBuf)
	dialed, err := Dial(t.Context(), ln.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return dialed, accepted.(*net.TCPConn)
}

// discardInput makes the kernel drop all packets that arrive for c, as a partition does.
func discardInput(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	var serr error
	err = raw.Control(func(fd uintptr) {
		serr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	if err := errors.Join(err, serr); err != nil {
		t.Fatal(err)
	}
}

// Guards against ending a connection whose peer acknowledges data and reads it only later, such
// as a target that reads a long body after it has begun to answer.
func TestPeerThatReadsLaterKeepsItsConnection(t *testing.T) {
	for name, c := range map[string]struct{ size, rcvBuf int }{
		"blocked write":               {moreThanBuffers, 0},
		"data in the sender's buffer": {moreThanWindow, smallBuffer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := connect(t, c.rcvBuf)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write(make([]byte, c.size))
				written <- err
			}()
			time.Sleep(readPause)
			if _, err := io.CopyN(io.Discard, peer, int64(c.size)); err != nil {
				t.Errorf("peer: %v", err)
			}
			if err := <-written; err != nil {
				t.Errorf("write: %v", err)
			}
		})
	}
}

// Guards against ending the connection of a caller that pauses while it reads a response.
func TestCallerThatPausesReadingGetsTheWholeResponse(t *testing.T) {
	for name, size := range map[string]int{"blocked write": moreThanBuffers, "data in the sender's buffer": moreThanWindow} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(size))
				w.Write(make([]byte, size))
			}))
			conn := dialWithBuffer(t, address)
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(readPause)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != int64(size) {
				t.Errorf("%d bytes, error %v; want %d", n, err, size)
			}
		})
	}
}

// Guards against waiting for a peer that does not answer at all: with data that it does not
// acknowledge, or on an idle connection.
func TestSilentPeerEndsTheConnection(t *testing.T) {
	for name, data := range map[string]int{"idle": 0, "unacknowledged": 5, "blocked write": moreThanBuffers} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkSilentPeer(t, data)
		})
	}
}

// checkSilentPeer checks that a connection ends whose peer does not answer after size bytes are
// written.
func checkSilentPeer(t *testing.T, size int) {
	t.Helper()
	conn, peer := connect(t, 0)
	discardInput(t, peer)
	began := time.Now()
	if err := conn.SetDeadline(began.Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, size))
		written <- err
	}()
	_, err := conn.Read(make([]byte, 1))
	// The kernel reports the error once: to the read, or to a write that is blocked.
	if err = errors.Join(err, <-written); !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("%v, want a timeout of the connection", err)
	}
	t.Logf("ended after %s", time.Since(began))
}

// serve serves handler on loopback until the test ends and returns the address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	config := ListenConfig()
	ln, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, &http.Server{Handler: handler}, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// dialWithBuffer connects to address with a receive buffer of smallBuffer bytes.
func dialWithBuffer(t *testing.T, address string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) }), err)
	}}
	conn, err := d.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards, where TCP_INFO does not exist, against a peer that reads later and loses its
// connection, and against waiting for a silent one.
func TestPeersWithoutTCPInfo(t *testing.T) {
	available := infoAvailable
	infoAvailable = func() bool { return false }
	defer func() { infoAvailable = available }()
	t.Run("reads later", TestPeerThatReadsLaterKeepsItsConnection)
	t.Run("caller pauses", TestCallerThatPausesReadingGetsTheWholeResponse)
	t.Run("silent", func(t *testing.T) {
		for name, data := range map[string]int{"idle": 0, "unacknowledged": 5} {
			t.Run(name, func(t *testing.T) { checkSilentPeer(t, data) })
		}
	})
}

// Guards against ending an idle connection, on which a response is awaited, because one packet
// was lost. It checks the options in effect, because a loaded machine cannot lose just one probe.
func TestOneLostProbeDoesNotEndAConnection(t *testing.T) {
	if !infoAvailable() {
		t.Skip("there is no TCP_INFO, so that TCP_USER_TIMEOUT ends connections after one probe")
	}
	config := ListenConfig()
	ln, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := Dial(t.Context(), ln.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := listener{ln}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.(*servedConn).conn.Close()
	for name, c := range map[string]*conn{"dialed": dialed.(*conn), "accepted": accepted.(*servedConn).conn} {
		var probes, userTimeout int
		var perr, uerr error
		err := c.raw.Control(func(fd uintptr) {
			probes, perr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
			userTimeout, uerr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})
		if err := errors.Join(err, perr, uerr); err != nil {
			t.Fatal(err)
		}
		if probes < 2 || userTimeout != 0 {
			t.Errorf("%s: ends after %d probes, user timeout of %d ms; want more than one and none", name, probes, userTimeout)
		}
	}
}
