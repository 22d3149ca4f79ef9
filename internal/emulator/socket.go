package emulator

import (
	"net"
	"sync"
)

// Socket is a listening socket that stays open while the process that serves it is replaced,
// as one that a supervisor holds. Connections that come meanwhile wait for the next process.
type Socket struct {
	net.Listener
	accepted chan net.Conn
	closed   chan struct{}
	close    func() error
}

// NewSocket returns a socket that accepts from ln until it is closed.
func NewSocket(ln net.Listener) *Socket {
	s := &Socket{Listener: ln, accepted: make(chan net.Conn), closed: make(chan struct{})}
	s.close = sync.OnceValue(func() error {
		close(s.closed)
		return ln.Close()
	})
	go s.acceptAll()
	return s
}

func (s *Socket) acceptAll() {
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			return
		}
		select {
		case s.accepted <- c:
		case <-s.closed:
			resetConn(c)
		}
	}
}

// Close closes the socket. Connections that no process has accepted are reset.
func (s *Socket) Close() error { return s.close() }

// Process returns the listener of one process, which may be closed without the socket.
func (s *Socket) Process() net.Listener {
	ended := make(chan struct{})
	return &processListener{socket: s, ended: ended, end: sync.OnceFunc(func() { close(ended) })}
}

type processListener struct {
	socket *Socket
	ended  chan struct{}
	end    func()
}

func (l *processListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.socket.accepted:
		select {
		case <-l.ended: // the process would serve a connection after its end
			resetConn(c)
			return nil, net.ErrClosed
		default:
			return c, nil
		}
	case <-l.ended:
	case <-l.socket.closed:
	}
	return nil, net.ErrClosed
}

func (l *processListener) Close() error {
	l.end()
	return nil
}

func (l *processListener) Addr() net.Addr { return l.socket.Addr() }
