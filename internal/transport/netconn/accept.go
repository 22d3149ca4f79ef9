package netconn

import (
	"context"
	"errors"
	"expvar"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// acceptRetryInterval is the time until a failed accept is tried again. The HTTP servers
	// would wait for up to 1 s, in which callers connect and are not read although there are
	// free descriptors again.
	acceptRetryInterval = 10 * time.Millisecond
	// acceptLogInterval is the least time between two log lines about failed accepts.
	acceptLogInterval = time.Second
)

// acceptFailures counts the failed accepts of all listeners.
var acceptFailures = expvar.NewInt("accept_failures")

// Listen listens on an IPv4 address for connections that detect an unresponsive peer. Accept
// is as with RetryAccept.
func Listen(ctx context.Context, address string, log *zap.Logger) (net.Listener, error) {
	config := ListenConfig()
	ln, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return RetryAccept(ln, log), nil
}

// RetryAccept returns a listener whose Accept fails only if ln is closed or cannot be used. It
// logs other errors, such as a lack of descriptors, and tries again.
func RetryAccept(ln net.Listener, log *zap.Logger) net.Listener {
	return &retryingListener{Listener: ln, log: log, logged: rate.Sometimes{Interval: acceptLogInterval}}
}

type retryingListener struct {
	net.Listener
	log    *zap.Logger
	logged rate.Sometimes

	mu       sync.Mutex
	failures int // accepts that failed and are not in the log yet
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || endsListener(err) {
			return c, err
		}
		l.logFailure(err)
		time.Sleep(acceptRetryInterval)
	}
}

// logFailure counts a failed accept, and logs it unless another one was logged lately.
func (l *retryingListener) logFailure(err error) {
	acceptFailures.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	l.logged.Do(func() {
		l.log.Warn("accept failed", zap.String("listen", l.Addr().String()), zap.Bool("shortage", IsShortage(err)),
			zap.Int("failures", l.failures), zap.Duration("again_after", acceptRetryInterval), zap.Error(err))
		l.failures = 0
	})
}

// endsListener reports whether no later accept can succeed. Other errors of the system call
// concern a single connection or pass.
func endsListener(err error) bool {
	var errno syscall.Errno
	return !errors.As(err, &errno) || slices.Contains([]syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK}, errno)
}

// IsShortage reports whether err shows that this process or its machine is short of
// descriptors, local ports or memory for sockets. Such an error says nothing about the peer.
func IsShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) &&
		slices.Contains([]syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}, errno)
}
