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
	if _, closed := ClosedBy(c); closed {
		t.Error("the connection counts as closed while it is open")
	}
	sent := time.Now()
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	closing := time.Now()
	peer.Close()
	time.Sleep(100 * time.Millisecond)
	closed := time.Now()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	earliest, latest, ok := Received(c)
	if !ok || !earliest.Before(sent) || latest.Before(sent) || !latest.Before(closing) {
		t.Errorf("data received between %s and %s, known %t; sent at %s, long before %s", earliest, latest, ok, sent, closing)
	}
	at, ok := ClosedBy(c)
	if !ok || at.Before(closing) || !at.Before(closed) {
		t.Errorf("closed by %s, known %t; want a time between %s and %s", at, ok, closing, closed)
	}
}
