package quicsession

import (
	"fmt"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
)

// sender writes messages to a stream and counts them. It is safe for concurrent use.
type sender struct {
	mu       sync.Mutex
	stream   *quic.Stream
	counters *traffic
}

// send writes one message within writeTimeout.
func (s *sender) send(m protocol.Message) error {
	frame, err := protocol.Encode(m)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.stream.Write(frame); err != nil {
		return fmt.Errorf("send %T: %w", m, err)
	}
	s.counters.countSent(len(frame))
	return nil
}
