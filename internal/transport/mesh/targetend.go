package mesh

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	targetEndPath = "/targetend"
	// The query parameters of a question for what is known of the end of a target.
	targetParameter  = "target"
	addressParameter = "address"
	// targetEndTimeout bounds a question, and maxTargetEndQuestions the number of entries that are
	// asked at the same time. A caller that has all events of its stream waits for the answers. Busy
	// entries often take more than 150 ms.
	targetEndTimeout      = 250 * time.Millisecond
	maxTargetEndQuestions = 16
)

// FindTargetEnd returns what this entry has seen of a target at an address.
type FindTargetEnd func(id state.TargetID, address string) targetend.Seen

func (m *Mesh) handleTargetEnd(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query() // FormValue would parse a body
	seen := m.findTargetEnd(state.TargetID(query.Get(targetParameter)), query.Get(addressParameter))
	if err := json.NewEncoder(w).Encode(seen); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// AskTargetEnd asks other entries at the same time what they have seen of a target at an address, and
// returns the answers. The error says which entries did not answer in time.
func (m *Mesh) AskTargetEnd(ctx context.Context, id state.TargetID, address string) ([]targetend.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, targetEndTimeout)
	defer cancel()
	entries := m.nearestHeard(time.Now(), maxTargetEndQuestions)
	reports, errs := make([]targetend.Report, len(entries)), make([]error, len(entries))
	var questions sync.WaitGroup
	for i, a := range entries {
		questions.Go(func() { reports[i], errs[i] = m.askTargetEnd(ctx, a, id, address) })
	}
	questions.Wait()
	answers := reports[:0]
	for i, r := range reports {
		if errs[i] == nil {
			answers = append(answers, r)
		}
	}
	return answers, errors.Join(errs...)
}

// nearestHeard returns up to n of the peers that have reported lately, first those that use targets
// which this entry uses as well.
func (m *Mesh) nearestHeard(now time.Time, n int) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updatePosition()
	distance := func(p *peer) int {
		if p.near {
			return 0
		}
		return 1
	}
	return m.firstHeardBy(now, n, func(a, b *peer) int { return cmp.Compare(distance(a), distance(b)) })
}

func (m *Mesh) askTargetEnd(ctx context.Context, a netip.AddrPort, id state.TargetID, address string) (r targetend.Report, err error) {
	r.Entry, r.Earliest = a.String(), time.Now()
	query := url.Values{targetParameter: {string(id)}, addressParameter: {address}}
	if err := m.ask(ctx, a, targetEndPath, query, &r.Seen); err != nil {
		return r, fmt.Errorf("ask %s for the end of target %s: %w", a, id, err)
	}
	r.Latest = time.Now()
	return r, nil
}
