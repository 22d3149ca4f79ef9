package conntest

import (
	"errors"
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against two programs of one test that have the same address and so the same ports.
func TestAddressesDiffer(t *testing.T) {
	if a, b := Address(t), Address(t); a == b {
		t.Errorf("address %s twice", a)
	}
}

// Guards against a closed port that another process can serve.
func TestClosedPortRefusesConnections(t *testing.T) {
	for _, port := range []int{0, 9090} {
		address := ClosedPort(t, Address(t), port).String()
		if c, err := net.Dial("tcp4", address); !errors.Is(err, unix.ECONNREFUSED) {
			t.Errorf("connection %v to %s, error %v; want one that is refused", c, address, err)
		}
		if ln, err := net.Listen("tcp4", address); !errors.Is(err, unix.EADDRINUSE) {
			t.Errorf("listener %v at %s, error %v; want an address in use", ln, address, err)
		}
	}
}
