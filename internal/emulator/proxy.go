package emulator

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy is a TCP proxy on loopback with faults that a test turns on and off.
// Except RefuseNew, a fault applies to open connections and to new ones.
type Proxy struct {
	// TargetAddress is the address to which connections are forwarded.
	TargetAddress string
	// DelayMs delays each chunk of data in both directions, in milliseconds.
	DelayMs atomic.Int64
	// DropToTarget and DropFromTarget make one direction silent: its data is read
	// and discarded.
	DropToTarget, DropFromTarget atomic.Bool
	// CloseDelayMs is the longest time, in milliseconds, by which the close of a target's connection
	// is passed on late, and after which a connection is closed that the target refused.
	CloseDelayMs atomic.Int64
	// RefuseNew resets new connections immediately.
	RefuseNew atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{} // open connections of clients
}

// NewProxy returns a proxy that forwards to targetAddress.
func NewProxy(targetAddress string) *Proxy {
	return &Proxy{TargetAddress: targetAddress, conns: make(map[net.Conn]struct{})}
}

// Serve accepts connections on ln until it is closed.
func (p *Proxy) Serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if p.RefuseNew.Load() {
			resetConn(c)
			continue
		}
		go p.forward(c)
	}
}

// forward connects clientConn to the target and copies data in both directions
// until one of them ends; it then closes both connections.
func (p *Proxy) forward(clientConn net.Conn) {
	defer clientConn.Close()
	targetConn, err := net.DialTimeout("tcp4", p.TargetAddress, time.Second)
	if err != nil {
		p.delayClose()
		resetConn(clientConn)
		return
	}
	defer targetConn.Close()
	p.track(clientConn, true)
	defer p.track(clientConn, false)
	done := make(chan struct{}, 2)
	go p.copyData(targetConn, clientConn, &p.DropToTarget, done)
	go p.copyData(clientConn, targetConn, &p.DropFromTarget, done)
	<-done
}

// copyData copies one direction until it ends, applying the faults. If reading
// fails with anything but EOF, or data was discarded, it resets the connection to: a
// regular close would tell the receiver that it has all data.
func (p *Proxy) copyData(to, from net.Conn, drop *atomic.Bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	dropped := false // data was discarded; nothing after the gap may be forwarded
	for {
		n, err := from.Read(buf)
		if delayMs := p.DelayMs.Load(); delayMs > 0 {
			time.Sleep(time.Duration(delayMs) * time.Millisecond)
		}
		if n > 0 {
			dropped = dropped || drop.Load()
			if !dropped {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if drop == &p.DropFromTarget {
				p.delayClose()
			}
			if err != io.EOF || dropped {
				resetConn(to)
			}
			return
		}
	}
}

// delayClose waits up to CloseDelayMs.
func (p *Proxy) delayClose() {
	if delayMs := p.CloseDelayMs.Load(); delayMs > 0 {
		time.Sleep(time.Duration(rand.Int64N(delayMs)) * time.Millisecond)
	}
}

// track adds c to the open connections, or removes it if open is false.
func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

// Reset resets a random share (0 to 1) of the open connections.
func (p *Proxy) Reset(random *rand.Rand, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if random.Float64() < share {
			resetConn(c)
		}
	}
}

// ClearFaults turns all faults off. A connection that lost data in one direction
// stays silent in that direction.
func (p *Proxy) ClearFaults() {
	p.DelayMs.Store(0)
	p.CloseDelayMs.Store(0)
	p.DropToTarget.Store(false)
	p.DropFromTarget.Store(false)
	p.RefuseNew.Store(false)
}

// resetConn closes a connection so that the peer sees a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0) // an error means that the connection is already closed
	}
	c.Close()
}
