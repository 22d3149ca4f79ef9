package peer

import (
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against messages that are missing from the counters, counted for the
// wrong kind of stream, or counted differently at the two ends.
func TestTraffic(t *testing.T) {
	control, attempts, packets := counts(controlTraffic), counts(attemptTraffic), connectionTraffic.sum()
	f, ctx := newFixture(t, "entry-1", 1, 1), testContext(t)
	r, err := f.client.Reserve(ctx, testTarget)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := f.client.Dispatch(ctx, r, &state.Request{ID: "r", Body: make([]byte, 5000)})
	if err != nil {
		t.Fatal(err)
	}
	chunk := &state.Chunk{Data: make([]byte, 3000)}
	f.side.events <- chunk
	if _, err := stream.Next(ctx); err != nil {
		t.Fatal(err)
	}
	if err := stream.Ack(); err != nil {
		t.Fatal(err)
	}
	f.side.events <- &state.Done{Chunks: 1}
	close(f.side.events)
	<-f.side.acks
	if _, err := stream.Next(ctx); err != nil {
		t.Fatal(err)
	}
	stream.Close()

	// Hello and Welcome.
	grown := counts(controlTraffic).since(control)
	if grown[2] != 2 || grown[3] != 2 || grown[0] != grown[1] || grown[0] < 50 {
		t.Errorf("control: bytes sent and received, messages sent and received: %v; want 2 messages and equal bytes", grown)
	}
	// Dispatch, Ack, Chunk and Done. Both ends are in this process.
	grown = counts(attemptTraffic).since(attempts)
	if grown[2] != 4 || grown[3] != 4 || grown[0] != grown[1] || grown[0] < 8000 || grown[0] > 8500 {
		t.Errorf("attempts: bytes sent and received, messages sent and received: %v; want 4 messages and 8000 to 8500 bytes", grown)
	}
	// The same bytes with TLS handshake, acknowledgements and headers.
	sum := connectionTraffic.sum()
	if n := sum[keyBytesSent] - packets[keyBytesSent]; n < 8000 {
		t.Errorf("connections: %d bytes sent, want at least 8000", n)
	}
	if sum["open"] < 2 {
		t.Errorf("connections: %d open, want both ends of one", sum["open"])
	}
}

// Guards against a sum that falls when a connection closes.
func TestTrafficOfClosedConnections(t *testing.T) {
	f, ctx := newFixture(t, "entry-1", 1, 1), testContext(t)
	if err := f.client.Connect(ctx, testTarget); err != nil {
		t.Fatal(err)
	}
	s := f.client.link(testTarget, false).live()
	before := connectionTraffic.sum()
	f.client.Close()
	<-s.conn.Context().Done()
	if after := connectionTraffic.sum(); after[keyBytesSent] < before[keyBytesSent] {
		t.Errorf("bytes sent fell from %d to %d", before[keyBytesSent], after[keyBytesSent])
	}
}

type count [4]int64

func counts(t *traffic) count {
	return count{t.bytesSent.Value(), t.bytesReceived.Value(), t.messagesSent.Value(), t.messagesReceived.Value()}
}

func (c count) since(earlier count) count {
	for i := range c {
		c[i] -= earlier[i]
	}
	return c
}
