package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/transport/netconn/conntest"
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

// Guards against SIGHUP ending a process that makes a planned stop, which cuts off all its
// requests, and against a further SIGTERM doing so.
func TestSignalsDuringPlannedStopDoNotEndTheProcess(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "boot.conf")
	// Nothing serves a store at port 1 of the address.
	text := fmt.Sprintf("NodeName=e\nZone=a\nIp=%s\nListen.Front=%[1]s:8221\nListen.Ready=%[1]s:8224\nInternalPorts=7600,7600\nBounds.GraceS=3\nPlatform.Address=%[1]s:1\n", conntest.Address(t))
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
