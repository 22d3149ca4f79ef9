package emulator

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// relayDelay is the longest time by which a relay passes on data, or a close, late.
	relayDelay = 5 * time.Millisecond
	// relayDialTimeout bounds opening a connection to a target.
	relayDialTimeout = time.Second
	// relayLinger bounds how long a relay reads from a client after it has closed its own side. A
	// socket that is closed with data unread, or before data arrives, would reset the connection.
	relayLinger = 10 * time.Second
)

// Relay is a TCP relay before a target, like a service address or a sidecar: it accepts connections
// whether the target is there or not, and never resets one. A client whose target is not there, or
// whose connection to the target fails, sees its connection accepted and closed.
type Relay struct {
	target atomic.Pointer[string] // address; nil for none
}

// SetTarget sets the address to which further connections are forwarded.
func (r *Relay) SetTarget(address string) { r.target.Store(&address) }

// Serve accepts connections on ln until it is closed.
func (r *Relay) Serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go r.forward(c.(*net.TCPConn))
	}
}

// forward passes data on between a client and the target until the target, or the client, closes.
func (r *Relay) forward(client *net.TCPConn) {
	defer client.Close()
	target, err := r.dial()
	if err != nil {
		closeProperly(client)
		return
	}
	defer target.Close()
	var requests sync.WaitGroup
	requests.Go(func() {
		relayData(target, client)
		target.CloseWrite() // an error means that the target has closed the connection
	})
	relayData(client, target)
	client.CloseWrite() // an error means that the client has closed the connection
	// What the client still sends is read, and goes nowhere if the target has ended.
	client.SetReadDeadline(time.Now().Add(relayLinger))
	requests.Wait()
}

// dial opens a connection to the target.
func (r *Relay) dial() (*net.TCPConn, error) {
	address := r.target.Load()
	if address == nil {
		return nil, net.ErrClosed
	}
	c, err := net.DialTimeout("tcp4", *address, relayDialTimeout)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// relayData copies data in order, each piece up to relayDelay late, until from ends or fails. If to
// fails, it discards the rest.
func relayData(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for failed := false; ; {
		n, err := from.Read(buf)
		if !failed {
			time.Sleep(rand.N(relayDelay))
		}
		if n > 0 && !failed {
			_, writeErr := to.Write(buf[:n])
			failed = writeErr != nil
		}
		if err != nil {
			return
		}
	}
}

// closeProperly closes a connection so that its client sees no reset, also if it still sends data.
func closeProperly(c *net.TCPConn) {
	c.CloseWrite() // an error means that the client has closed the connection
	c.SetReadDeadline(time.Now().Add(relayLinger))
	io.Copy(io.Discard, c) // until the client closes the connection
	c.Close()
}
