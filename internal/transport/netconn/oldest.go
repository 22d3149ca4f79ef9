package netconn

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// OldestCloser bounds the connections of an HTTP server whose requests take little time. When
// there are more than Max, it closes the oldest one, so that clients which stay connected and
// send nothing keep out nobody. Its method Track is the ConnState hook of the server.
type OldestCloser struct {
	Max int

	mu    sync.Mutex
	order list.List // of net.Conn, the oldest first
	open  map[net.Conn]*list.Element
}

// Track records that the state of a connection has changed.
func (o *OldestCloser) Track(c net.Conn, state http.ConnState) {
	if oldest := o.record(c, state); oldest != nil {
		_ = oldest.Close() // fails if it is closed already
	}
}

// record returns the connection to close, or nil.
func (o *OldestCloser) record(c net.Conn, state http.ConnState) net.Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		if o.open == nil {
			o.open = make(map[net.Conn]*list.Element)
		}
		o.open[c] = o.order.PushBack(c)
	case http.StateIdle: // its client has been served, others have not
		if e := o.open[c]; e != nil {
			o.order.MoveToFront(e)
		}
	case http.StateClosed, http.StateHijacked:
		o.remove(c)
	}
	if o.order.Len() <= o.Max {
		return nil
	}
	oldest := o.order.Front().Value.(net.Conn)
	o.remove(oldest)
	return oldest
}

func (o *OldestCloser) remove(c net.Conn) {
	if e := o.open[c]; e != nil {
		o.order.Remove(e)
		delete(o.open, c)
	}
}
