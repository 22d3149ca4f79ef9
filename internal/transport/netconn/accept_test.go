package netconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
)

// failingListener fails to accept while failure is set.
type failingListener struct {
	*conntest.Listener
	failure atomic.Pointer[syscall.Errno]
}

func (l *failingListener) fail(e syscall.Errno) { l.failure.Store(&e) }

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if e := l.failure.Load(); e != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", *e)}
	}
	return l.Listener.Accept()
}

// startFailingServer serves HTTP on a listener that fails with e.
func startFailingServer(t *testing.T, e syscall.Errno) (*failingListener, *observer.ObservedLogs) {
	core, lines := observer.New(zapcore.InfoLevel)
	ln := &failingListener{Listener: conntest.NewListener()}
	ln.fail(e)
	server := &http.Server{
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") }),
		ErrorLog: zap.NewStdLog(zap.New(core)),
	}
	ended := make(chan error, 1)
	go func() { ended <- Serve(t.Context(), server, RetryAccept(ln, zap.New(core))) }()
	t.Cleanup(func() {
		if err := <-ended; err != nil {
			t.Errorf("the server ended: %v", err)
		}
	})
	return ln, lines
}

// Guards against a server that takes no connections for up to 1 s after descriptors are free
// again: callers connect, are not read and give up.
func TestAcceptGoesOnAsSoonAsThereAreDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln, _ := startFailingServer(t, syscall.EMFILE)
		time.Sleep(3 * time.Second)
		ln.failure.Store(nil)
		free := time.Now()
		conn := ln.Dial()
		defer conn.Close()
		if waited := time.Since(free); waited > acceptRetryInterval {
			t.Errorf("the connection was accepted %v after descriptors were free", waited)
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	})
}

// Guards against the end of the process on an error of accept that passes, which net/http
// takes for a permanent one.
func TestErrorsThatPassDoNotEndTheServer(t *testing.T) {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ECONNABORTED, syscall.EHOSTUNREACH} {
		t.Run(e.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ln, _ := startFailingServer(t, e) // reports an end of the server
				time.Sleep(time.Second)
				ln.failure.Store(nil)
			})
		})
	}
}

// Guards against a server that never ends although its listener cannot be used.
func TestUnusableListenerEndsTheServer(t *testing.T) {
	ln := &failingListener{Listener: conntest.NewListener()}
	ln.fail(syscall.EBADF)
	if _, err := RetryAccept(ln, zap.NewNop()).Accept(); err == nil {
		t.Error("no error")
	}
}

// Guards against failed accepts that are missing from the log, are text without fields, or
// fill it.
func TestFailedAcceptsAreLoggedWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln, lines := startFailingServer(t, syscall.EMFILE)
		const failing = 10 * time.Second
		time.Sleep(failing - time.Millisecond)
		synctest.Wait()
		ln.failure.Store(nil)
		failures := int64(0)
		for _, line := range lines.All() {
			if line.Message != "accept failed" || line.ContextMap()["shortage"] != true {
				t.Errorf("line %q with %v", line.Message, line.ContextMap())
				continue
			}
			failures += line.ContextMap()["failures"].(int64)
		}
		if n, limit := lines.Len(), int(failing/acceptLogInterval); n < 2 || n > limit {
			t.Errorf("%d lines in %v, want up to %d", n, failing, limit)
		}
		if least := int64((failing - acceptLogInterval) / acceptRetryInterval); failures < least {
			t.Errorf("the lines count %d failures, want %d or more", failures, least)
		}
	})
}
