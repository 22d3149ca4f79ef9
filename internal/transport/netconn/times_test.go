package netconn

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against times that depend on when this process reads: a process that was stopped would take
// what had arrived long before for recent.
func TestTimesOfTheKernel(t *testing.T) {
	if !infoAvailable() {
		t.Skip("no TCP_INFO")
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, err := Dial(t.Context(), listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, closed := ClosedAt(c); closed {
		t.Error("the connection counts as closed while it is open")
	}
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	sentBefore := time.Now()
	peer.Close()
	time.Sleep(100 * time.Millisecond)
	closed := time.Now()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	received, ok := ReceivedAt(c)
	if !ok || !received.Before(sentBefore) {
		t.Errorf("data received at %s, known %t; want a time before %s", received, ok, sentBefore)
	}
	at, ok := ClosedAt(c)
	if !ok || !at.After(received) || !at.Before(closed) {
		t.Errorf("closed at %s, known %t; want a time between %s and %s", at, ok, received, closed)
	}
}
