package upstream

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a whole response that is broken off because the entry did not run for most of the
// time in which it asked the target whether it runs: on a machine that is too busy, the time was over
// after one try, and an answer that had come was not read.
// The target lets another process pause this one when the first request has arrived, so that the pause lies inside
// the check, and answers behind it.
func TestPausedEntryGoesOnAskingItsTarget(t *testing.T) {
	const pause = "kill -STOP $0; sleep 1.8; kill -CONT $0"
	var paused sync.Once
	address, _ := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		for discardRequest(r) {
			paused.Do(func() {
				if err := exec.Command("sh", "-c", pause, strconv.Itoa(os.Getpid())).Run(); err != nil {
					t.Errorf("pause: %v", err)
				}
			})
			io.WriteString(c, "HTTP/1.1 200 OK\r\nInstance-Id: t\r\nContent-Length: 0\r\n\r\n") // an error shows at the next read
		}
	})
	began := time.Now()
	check := New().CheckRunning(t.Context(), &state.TargetRecord{ID: "t", Address: address}, "/healthz")
	took := time.Since(began)
	if took < probeTimeout {
		t.Fatalf("the check took %s and was not interrupted", took)
	}
	if check.Liveness != gateway.Running {
		t.Errorf("%s after %d tries in %s, the last one answered with %q; want that the target runs", check.Liveness, check.Tries, took, check.Answer)
	}
}

// Guards against a check that goes on without end where the process is paused over and over.
func TestTimeOfCheckIsBounded(t *testing.T) {
	began := time.Now()
	ctx, cancel := runningTimeContext(time.Hour, 50*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	if took := time.Since(began); took > time.Second {
		t.Errorf("ended after %s", took)
	}
	began = time.Now()
	ctx, cancel = runningTimeContext(50*time.Millisecond, time.Hour)
	defer cancel()
	<-ctx.Done()
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("ended after %s, before the process had run for as long", took)
	}
}
