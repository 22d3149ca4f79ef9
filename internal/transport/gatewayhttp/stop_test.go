package gatewayhttp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
)

// Guards against a request that is read before or long after SIGTERM, waits for a target or
// for the response of one, and is given up without an answer when the stop ends. A request
// that was not sent must be refused, any other one must be answered.
func TestPlannedStopAnswersRequestsInProgress(t *testing.T) {
	s, address, end := startEndableServer(t, func(ctx context.Context, _ *gateway.Forward) (gateway.Exchange, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	const requests = 12 // more than the slots of the target
	statuses := make(chan int, 2*requests)
	send := func(conns []net.Conn) {
		for _, c := range conns {
			go func() {
				resp, _, err := roundTrip(t, c, bufio.NewReader(c), "GET /plain/x"+requestHead+"\r\n")
				if err != nil {
					t.Errorf("no answer: %v", err)
					statuses <- 0
					return
				}
				statuses <- resp.StatusCode
			}()
		}
	}
	var early, late []net.Conn
	for range requests {
		early, late = append(early, dial(t, address)), append(late, dial(t, address))
	}
	send(early)
	for s.OpenRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3800*time.Millisecond)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		s.Stop(ctx)
		end()
		close(stopped)
	}()
	for !s.onlyShort.Load() {
		time.Sleep(time.Millisecond)
	}
	send(late)
	<-stopped
	counts := make(map[int]int)
	for range 2 * requests {
		counts[<-statuses]++
	}
	if counts[http.StatusServiceUnavailable] == 0 || counts[http.StatusServiceUnavailable]+counts[http.StatusBadGateway] != 2*requests {
		t.Errorf("responses by status: %v; want 503 and 502 only", counts)
	}
}
