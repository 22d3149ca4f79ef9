package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/platform"
)

// runDaemonVariable makes the test binary run as the daemon.
const runDaemonVariable = "CASSIARAMPD_TEST_RUN_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(runDaemonVariable) != "" {
		lowerDescriptorLimit()
		main()
	}
	os.Exit(m.Run())
}

// freePort returns a port of 127.0.0.1 that nothing listens on.
func freePort(t *testing.T) int {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// Guards against SIGHUP ending a process that makes a planned stop, which cuts off all its
// requests, and against a further SIGTERM doing so.
func TestSignalsDuringPlannedStopDoNotEndTheProcess(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "boot.conf")
	text := fmt.Sprintf("NodeName=e\nZone=a\nIp=127.0.0.1\nListen.Front=127.0.0.1:%d\nListen.Ready=127.0.0.1:%d\nInternalPorts=%d,%[3]d\nBounds.GraceS=3\nPlatform.Address=127.0.0.1:%d\n",
		freePort(t), freePort(t), freePort(t), freePort(t))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	// A signal that this process ignores, as under nohup, would be ignored by the daemon too.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	daemon := exec.Command(os.Args[0], "--platform")
	daemon.Env = append(os.Environ(), runDaemonVariable+"=1", platform.SettingsPathVariable+"="+settings)
	daemon.Stderr = os.Stderr
	out, err := daemon.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	send := func(signals ...os.Signal) {
		for _, s := range signals {
			if err := daemon.Process.Signal(s); err != nil {
				t.Errorf("%s: %v", s, err)
			}
		}
	}
	var log []string
	for lines := bufio.NewScanner(out); lines.Scan(); {
		line := lines.Text()
		log = append(log, line)
		switch {
		case strings.Contains(line, `"process started"`):
			send(syscall.SIGHUP, syscall.SIGTERM)
		case strings.Contains(line, `"planned stop began"`):
			for range 5 {
				send(syscall.SIGTERM, syscall.SIGHUP)
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	if err := daemon.Wait(); err != nil {
		t.Errorf("the process ended with %v; want a planned stop; log:\n%s", err, strings.Join(log, "\n"))
	}
}
