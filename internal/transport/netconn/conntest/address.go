package conntest

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"
)

const (
	// claimPort is the port that Address listens on to claim an address.
	claimPort = 7599
	// maxAddresses is the number of loopback addresses that Address tries.
	maxAddresses = 1 << 16
)

// Address returns a loopback address other than 127.0.0.1 that no other caller has, in this
// process or another, until the test ends. Programs with fixed ports, or that restart on the
// ports they had, can use it beside those of other tests.
func Address(t testing.TB) netip.Addr {
	t.Helper()
	for i := range maxAddresses {
		n := os.Getpid() + i
		a := netip.AddrFrom4([4]byte{127, 64, byte(n >> 8), byte(n)})
		ln, err := net.Listen("tcp4", net.JoinHostPort(a.String(), strconv.Itoa(claimPort)))
		if errors.Is(err, unix.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return a
	}
	t.Fatal("all loopback addresses are claimed, or a process listens on the port at all of them")
	return netip.Addr{}
}

// ClosedPort makes a TCP port of a loopback address refuse connections until the test ends; no
// process can listen on it meanwhile. Port 0 stands for any free one.
func ClosedPort(t testing.TB, ip netip.Addr, port int) netip.AddrPort {
	t.Helper()
	// A socket that is bound and does not listen holds the port.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: ip.As4()}); err != nil {
		t.Fatalf("hold port %d of %s: %v", port, ip, err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(ip, uint16(bound.(*unix.SockaddrInet4).Port))
}
