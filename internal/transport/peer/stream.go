package peer

import (
	"fmt"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/cassiaramp/cassiaramp/internal/protocol"
)

// sender writes frames to a stream from several goroutines.
type sender struct {
	mu     sync.Mutex
	stream *quic.Stream
	count  *traffic
}

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
	s.count.sent(len(frame))
	return nil
}
