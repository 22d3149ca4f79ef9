package mesh

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	originPath = "/origin"
	// The query parameters of a question for the origin of a stream.
	requestParameter = "request"
	serviceParameter = "service"
	// originTimeout bounds one question, and maxOriginQuestions the number of entries
	// that are asked one after the other. A caller waits for the answer.
	originTimeout      = 150 * time.Millisecond
	maxOriginQuestions = 3
	maxOriginBytes     = 64 << 10 // of an answer
)

// FindOrigin returns where the stream of a request began, as far as it is known. service
// is where it began if nothing else is known.
type FindOrigin func(id state.RequestID, service state.Service) (origin.Origin, bool)

func (m *Mesh) handleOrigin(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query() // FormValue would parse a body
	o, ok := m.findOrigin(state.RequestID(query.Get(requestParameter)), state.Service(query.Get(serviceParameter)))
	if !ok {
		http.Error(w, "unknown origin", http.StatusNotFound)
		return
	}
	if err := json.NewEncoder(w).Encode(o); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// AskOrigin asks other entries where the stream of a request began, until one knows. It
// begins with those that have been heard for longest, because an entry that has started
// lately knows little. The error is nil if one knew.
func (m *Mesh) AskOrigin(ctx context.Context, id state.RequestID, service state.Service) (origin.Origin, error) {
	err := fmt.Errorf("origin of stream %s: no other entry to ask", id)
	for _, a := range m.longestHeard(time.Now(), maxOriginQuestions) {
		var o origin.Origin
		if o, err = m.askOrigin(ctx, a, id, service); err == nil {
			return o, nil
		}
	}
	return origin.Origin{}, err
}

// longestHeard returns up to n of the peers that have reported lately, those that were
// first heard earliest.
func (m *Mesh) longestHeard(now time.Time, n int) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(m.peers))
	for a, p := range m.peers {
		if p.isHeard(now) {
			addresses = append(addresses, a)
		}
	}
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int {
		return cmp.Or(m.peers[a].firstHeard.Compare(m.peers[b].firstHeard), a.Compare(b))
	})
	return addresses[:min(n, len(addresses))]
}

func (m *Mesh) askOrigin(ctx context.Context, a netip.AddrPort, id state.RequestID, service state.Service) (o origin.Origin, err error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	query := url.Values{requestParameter: {string(id)}, serviceParameter: {string(service)}}
	resp, err := m.get(ctx, a, originPath, query)
	if err != nil {
		return o, fmt.Errorf("ask %s for the origin of stream %s: %w", a, id, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxOriginBytes)).Decode(&o); err != nil {
		return origin.Origin{}, fmt.Errorf("ask %s for the origin of stream %s: decode: %w", a, id, err)
	}
	return o, nil
}
