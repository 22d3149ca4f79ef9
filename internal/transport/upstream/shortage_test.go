package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
)

// lowLimitVariable marks a process that a test has started to run itself with few descriptors.
const lowLimitVariable = "UPSTREAM_TEST_LOW_LIMIT"

// runWithLowLimit runs the test again in a process of its own, which may have 64 descriptors.
// It returns true in that process.
func runWithLowLimit(t *testing.T) bool {
	t.Helper()
	if os.Getenv(lowLimitVariable) != "" {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
		limit.Cur = 64
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
		return true
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), lowLimitVariable+"=1")
	if out, err := child.CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	return false
}

// useAllDescriptors opens files until no descriptor is left.
func useAllDescriptors(t *testing.T) (files []*os.File) {
	t.Helper()
	for {
		f, err := os.Open(os.DevNull)
		if errors.Is(err, syscall.EMFILE) {
			return files
		}
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
}

// Guards against holding it against a sound target that this entry has no descriptor for a
// connection to it, which ejects the target. The target accepts connections only when descriptors are free again: a
// call that accepts holds a descriptor until it finds no connection, so that one would become free behind the files.
func TestLackOfDescriptorsIsNotHeldAgainstTheTarget(t *testing.T) {
	if !runWithLowLimit(t) {
		return
	}
	ln := listen(t)
	address := ln.Addr().String()
	c := New()
	files := useAllDescriptors(t)
	if _, _, err := send(t, c, address, "a"); !errors.Is(err, gateway.ErrNotSent) || !errors.Is(err, gateway.ErrShortage) {
		t.Errorf("error %v; want that the request was not sent because the entry is short of descriptors", err)
	}
	if c.Refuses(t.Context(), address) || c.Closes(t.Context(), address) {
		t.Error("the target seems to have ended")
	}
	for _, f := range files[:4] {
		f.Close()
	}
	go acceptAll(ln, &atomic.Int64{}, func(c net.Conn, r *bufio.Reader) {
		for discardRequest(r) {
			respond(t, c, response("a", "ok"))
		}
	})
	if _, body, err := send(t, c, address, "a"); err != nil || body != "ok" {
		t.Errorf("with free descriptors: body %q, error %v", body, err)
	}
}

// Guards against a request that is not sent for lack of a descriptor although idle connections
// to other targets have some.
func TestIdleConnectionMakesRoomForAnother(t *testing.T) {
	if !runWithLowLimit(t) {
		return
	}
	answer := func(c net.Conn, r *bufio.Reader) {
		for discardRequest(r) {
			respond(t, c, response("a", "ok"))
		}
	}
	used, _ := startTarget(t, answer)
	other, _ := startTarget(t, answer)
	c := New()
	if _, body, err := send(t, c, used, "a"); err != nil || body != "ok" {
		t.Fatalf("body %q, error %v", body, err)
	}
	useAllDescriptors(t)
	conn, err := c.dial(t.Context(), other)
	if err != nil {
		t.Fatalf("connection to another target: %v", err)
	}
	conn.Close()
	if conn := c.popIdle(used); conn != nil {
		t.Error("the idle connection is still there")
	}
}
