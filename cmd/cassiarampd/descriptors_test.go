package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
	"github.com/cassiaramp/cassiaramp/platform"
)

// descriptorLimitVariable holds the number of descriptors that the daemon may have in a test.
const descriptorLimitVariable = "CASSIARAMPD_TEST_DESCRIPTORS"

// lowerDescriptorLimit sets the limit of descriptors of this process, if one is given.
func lowerDescriptorLimit() {
	text := os.Getenv(descriptorLimitVariable)
	if text == "" {
		return
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// answerTimeout ends the wait for an answer that does not come.
const answerTimeout = 10 * time.Second

// get sends a request on a new connection, which it returns with the status of the answer.
func get(address, path, header string) (net.Conn, int, error) {
	var conn net.Conn
	err := error(syscall.ECONNREFUSED)
	for until := time.Now().Add(answerTimeout); errors.Is(err, syscall.ECONNREFUSED) && time.Now().Before(until); {
		if conn, err = net.Dial("tcp4", address); err != nil {
			time.Sleep(5 * time.Millisecond) // the daemon does not listen yet
		}
	}
	if err != nil {
		return nil, 0, err
	}
	if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return conn, 0, err
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, header); err != nil {
		return conn, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return conn, 0, err
	}
	return conn, resp.StatusCode, resp.Body.Close()
}

// Guards against callers that stay connected and take all descriptors of an entry: it reads no
// further callers and does not answer whether it is ready.
func TestIdleCallersLeaveDescriptors(t *testing.T) {
	const descriptors, callers = 300, 400
	for name, stated := range map[string]string{"stated": fmt.Sprintf("Limits.MaxFds=%d\n", descriptors), "limit of the system": ""} {
		t.Run(name, func(t *testing.T) {
			ip := conntest.Address(t)
			settings := filepath.Join(t.TempDir(), "boot.conf")
			// Nothing serves a store at port 1 of the address.
			text := fmt.Sprintf("NodeName=e\nZone=a\nIp=%s\nListen.Front=%[1]s:8221\nListen.Ready=%[1]s:8224\nInternalPorts=7600,7600\nBounds.GraceS=3\nPlatform.Address=%[1]s:1\n%s",
				ip, stated)
			if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			daemon := exec.Command(os.Args[0], "--platform")
			daemon.Env = append(os.Environ(), runDaemonVariable+"=1", platform.SettingsPathVariable+"="+settings, fmt.Sprintf("%s=%d", descriptorLimitVariable, descriptors))
			var log strings.Builder
			daemon.Stdout, daemon.Stderr = &log, &log
			if err := daemon.Start(); err != nil {
				t.Fatal(err)
			}
			for i := range callers {
				conn, status, err := get(fmt.Sprintf("%s:8221", ip), "/x", "Request-Id: r\r\nDeadline-Ms: 5\r\n")
				if conn != nil {
					defer conn.Close()
				}
				if err != nil || status != http.StatusServiceUnavailable {
					t.Errorf("caller %d: status %d, error %v", i, status, err)
					break
				}
			}
			conn, _, err := get(fmt.Sprintf("%s:8224", ip), platform.ReadyPath, "")
			if err != nil {
				t.Errorf("readiness: %v", err)
			}
			if conn != nil {
				conn.Close()
			}
			if err := daemon.Process.Kill(); err != nil {
				t.Error(err)
			}
			if err := daemon.Wait(); err == nil {
				t.Error("the process ended by itself")
			}
			if strings.Contains(log.String(), "too many open files") {
				t.Error("the entry ran out of descriptors")
			}
		})
	}
}
