package mesh

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	originPath = "/origin"
	// questionParameter and requestParameter are the query parameters of a question for the origin of a
	// stream. Entries of earlier releases read only the latter, and answer from what they remember.
	questionParameter = "question"
	requestParameter  = "request"
	// originTimeout bounds the questions for an origin, which are asked at the same time. A caller
	// waits for the answer. With 150 ms, entries whose share of the processor was used up had
	// not answered.
	originTimeout = 450 * time.Millisecond
	// maxLongestHeardAsked is the number of entries that are asked because they have been heard for
	// longest, besides those that were told of the stream at once.
	maxLongestHeardAsked = 3
	maxAnswerBytes       = 64 << 10 // of an answer to any question
)

// FindOrigin answers the question of another entry where the stream of a request began, as far as it is known.
type FindOrigin func(q origin.Question) (origin.Origin, bool)

func (m *Mesh) handleOrigin(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query() // FormValue would parse a body
	q := origin.Question{Request: state.RequestID(query.Get(requestParameter))}
	if encoded := query.Get(questionParameter); encoded != "" { // none of an entry of an earlier release
		if err := json.Unmarshal([]byte(encoded), &q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	o, ok := m.findOrigin(q)
	if !ok {
		http.Error(w, "unknown origin", http.StatusNotFound)
		return
	}
	if err := json.NewEncoder(w).Encode(o); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// AskOrigin asks other entries where the stream of a request began, all at the same time:
// those that are told of it at once, and those that have been heard for longest, because an
// entry that has started lately knows little. The error is nil if one knew.
func (m *Mesh) AskOrigin(ctx context.Context, q origin.Question) (origin.Origin, error) {
	encoded, err := json.Marshal(q)
	if err != nil {
		return origin.Origin{}, fmt.Errorf("encode question for the origin of stream %s: %w", q.Request, err)
	}
	query := url.Values{requestParameter: {string(q.Request)}, questionParameter: {string(encoded)}}
	// An entry that was suspended has heard nobody lately, and asks those that it had heard before.
	lastHeard := m.LastHeard(time.Now())
	// One more than were told, because the sender itself may be among the first.
	asked := append(m.rankedFor(lastHeard, origin.HashRequest(q.Request), originReceivers+1), m.longestHeard(lastHeard, maxLongestHeardAsked)...)
	slices.SortFunc(asked, netip.AddrPort.Compare)
	asked = slices.Compact(asked)
	if len(asked) == 0 {
		return origin.Origin{}, fmt.Errorf("origin of stream %s: no other entry to ask", q.Request)
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel() // of the questions that are not needed any more
	type answer struct {
		origin origin.Origin
		err    error
	}
	answers := make(chan answer, len(asked))
	for _, a := range asked {
		go func() {
			var o origin.Origin
			err := m.ask(ctx, a, originPath, query, &o)
			if err != nil {
				err = fmt.Errorf("ask %s for the origin of stream %s: %w", a, q.Request, err)
			}
			answers <- answer{o, err}
		}()
	}
	var errs []error
	for range asked {
		a := <-answers
		if a.err == nil {
			return a.origin, nil
		}
		errs = append(errs, a.err)
	}
	return origin.Origin{}, errors.Join(errs...)
}

// originReceivers is the number of entries that are told of a stream at once: one is left if
// two of them end with the sender. The bytes grow with it.
const originReceivers = 3

// TellOrigins tells a few other entries of streams that have begun, without waiting for
// the link: a caller waits. The message of a full link is lost, and the next reports
// contain the origins too.
func (m *Mesh) TellOrigins(now time.Time, self state.InstanceID, incarnation state.Incarnation, notes origin.Notes) error {
	b, err := encMode.Marshal(&Message{Instance: self, Incarnation: incarnation, OriginsOnly: true, Origins: []origin.Notes{notes}})
	if err != nil {
		return fmt.Errorf("encode origins: %w", err)
	}
	raw, err := m.conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("send origins: %w", err)
	}
	var receivers []netip.AddrPort
	for _, hash := range notes.Streams {
		receivers = append(receivers, m.rankedFor(now, hash, originReceivers)...)
	}
	slices.SortFunc(receivers, netip.AddrPort.Compare)
	var errs []error
	for _, a := range slices.Compact(receivers) {
		// Control, unlike Write, does not wait for another goroutine that waits for the link.
		err := raw.Control(func(fd uintptr) {
			to := &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
			if err := unix.Sendto(int(fd), b, unix.MSG_DONTWAIT, to); err != nil {
				errs = append(errs, fmt.Errorf("send origins to %s: %w", a, err))
			}
		})
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// rankedFor returns up to n of the peers that have reported lately, the first ones in an
// order that depends on the hash of a stream. All entries use the same order.
func (m *Mesh) rankedFor(now time.Time, stream uint64, n int) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.firstHeardBy(now, n, func(a, b *peer) int { return cmp.Compare(a.rank^stream, b.rank^stream) })
}

// longestHeard returns up to n of the peers that have reported lately, those that were
// first heard earliest.
func (m *Mesh) longestHeard(now time.Time, n int) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.firstHeardBy(now, n, func(a, b *peer) int { return a.firstHeard.Compare(b.firstHeard) })
}

// firstHeardBy returns up to n of the peers that have reported lately, the first ones in an order. The
// caller must hold m.mu.
func (m *Mesh) firstHeardBy(now time.Time, n int, compare func(a, b *peer) int) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(m.peers))
	for a, p := range m.peers {
		if p.isHeard(now) {
			addresses = append(addresses, a)
		}
	}
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int {
		return cmp.Or(compare(m.peers[a], m.peers[b]), a.Compare(b))
	})
	return addresses[:min(n, len(addresses))]
}

// ask asks another entry a question and decodes the answer.
func (m *Mesh) ask(ctx context.Context, a netip.AddrPort, path string, query url.Values, answer any) error {
	resp, err := m.get(ctx, a, path, query)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}
