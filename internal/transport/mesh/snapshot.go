package mesh

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

const (
	// snapshotTimeout is the timeout of a request for a snapshot.
	snapshotTimeout  = time.Second
	maxSnapshotBytes = 16 << 20 // after decompression
	snapshotPath     = "/snapshot"
	// maxEntryConnections is more than the 400 entries that a deployment may have, all of which
	// may ask one entry, and maxEntryHeaderBytes bounds the header of their requests.
	maxEntryConnections = 512
	maxEntryHeaderBytes = 8 << 10
	// The query parameters that carry the fields of KnownVersions.
	versionParameter = "version"
	hashParameter    = "list"
	bundleParameter  = "bundle"
	// ageHeader is the response header that carries Snapshot.Age in milliseconds.
	ageHeader = "Cassiaramp-Age-Ms"
	// bodyAgeHeader is the response header that carries the time since the body was encoded, in
	// milliseconds. The times that plans have left are from then.
	bodyAgeHeader = "Cassiaramp-Body-Age-Ms"
)

// Snapshot is the state that an entry has from the platform's store. It is encoded in
// JSON under the names of its fields.
type Snapshot struct {
	// Configuration is nil when the requesting entry has it or a newer one.
	Configuration *state.Configuration
	// Targets is nil when the requesting entry has the same list.
	Targets  []state.TargetRecord
	ListHash uint64 // identifies the content of the list, as in Message
	ListNext uint64 // offset up to which the list is complete, as in Message
	ListEra  uint64 // era of the store to which ListNext belongs
	// Settling reports that the list still holds targets that may be gone, because
	// removals are pending (see targetlist.List.HasPendingRemovals).
	Settling bool
	// Age is the time since the list was last known to be current. It is sent in
	// ageHeader, so that the cached body does not depend on it.
	Age time.Duration `json:"-"`
	// Bundle is nil when the requesting entry has it or a newer one.
	Bundle *state.AcceptedBundle
	// Plans are the plans of roll-outs, as far as the sender knows them. PlansComplete says
	// that it knows of all orders.
	Plans         []rollout.Plan
	PlansComplete bool
}

// KnownVersions identifies the state that an entry requesting a snapshot already has.
type KnownVersions struct {
	ConfigurationVersion int64  // of the configuration in effect, 0 for none
	ListHash             uint64 // of its list of targets
	BundleVersion        uint64 // of the bundle in effect, 0 for none
}

// without returns s without what is identified by known.
func (s Snapshot) without(known KnownVersions) Snapshot {
	if s.Configuration != nil && s.Configuration.Version <= known.ConfigurationVersion {
		s.Configuration = nil
	}
	if s.ListHash == known.ListHash {
		s.Targets = nil
	}
	if s.Bundle != nil && s.Bundle.Version <= known.BundleVersion {
		s.Bundle = nil
	}
	return s
}

// cacheKey identifies the encoded content of a snapshot. The versions are 0 for parts
// that the snapshot lacks.
type cacheKey struct {
	configurationVersion int64
	listHash             uint64
	listEra, listNext    uint64
	bundleVersion        uint64
	hasTargets           bool
	settling             bool
	plans                string // without the time left, which bodyAgeHeader corrects
}

func (s *Snapshot) cacheKey() cacheKey {
	k := cacheKey{listHash: s.ListHash, listEra: s.ListEra, listNext: s.ListNext, hasTargets: s.Targets != nil, settling: s.Settling}
	if s.Configuration != nil {
		k.configurationVersion = s.Configuration.Version
	}
	if s.Bundle != nil {
		k.bundleVersion = s.Bundle.Version
	}
	if s.PlansComplete {
		k.plans = "complete"
	}
	for _, p := range s.Plans {
		k.plans += fmt.Sprintf(" %s %d %s %v", p.Order.Service, p.Number, p.Phase, p.Order.Position)
	}
	return k
}

// snapshotCache keeps the last encoded snapshot, because hundreds of entries may fetch
// the same list of thousands of targets after a restart.
type snapshotCache struct {
	mu   sync.Mutex
	key  cacheKey
	body []byte
	at   time.Time // when body was encoded
}

// encode returns s in compressed JSON, without its age, and when that was encoded.
func (c *snapshotCache) encode(s *Snapshot) ([]byte, time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := s.cacheKey()
	if c.body != nil && c.key == key {
		return c.body, c.at, nil
	}
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := json.NewEncoder(z).Encode(s); err != nil {
		return nil, time.Time{}, err
	}
	if err := z.Close(); err != nil {
		return nil, time.Time{}, err
	}
	c.key, c.body, c.at = key, buf.Bytes(), time.Now()
	return c.body, c.at, nil
}

// decodeSnapshot reads to the end of the stream, where the checksum is.
func decodeSnapshot(r io.Reader) (*Snapshot, error) {
	z, err := gzip.NewReader(r)
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(z, maxSnapshotBytes+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxSnapshotBytes {
		return nil, fmt.Errorf("snapshot exceeds %d bytes", maxSnapshotBytes)
	}
	s := new(Snapshot)
	if err := json.Unmarshal(b, s); err != nil {
		return nil, err
	}
	return s, nil
}

// ServeEntries serves snapshots, origins of streams and what is known of the ends of targets
// to other entries on ln until ctx ends.
func (m *Mesh) ServeEntries(ctx context.Context, ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, m.handleSnapshot)
	mux.HandleFunc("GET "+originPath, m.handleOrigin)
	mux.HandleFunc("GET "+targetEndPath, m.handleTargetEnd)
	connections := &netconn.OldestCloser{Max: maxEntryConnections}
	server := &http.Server{
		Handler: netconn.RejectBodies(mux), ReadTimeout: snapshotTimeout, WriteTimeout: 2 * snapshotTimeout,
		MaxHeaderBytes: maxEntryHeaderBytes, ConnState: connections.Track,
	}
	return netconn.Serve(ctx, server, ln)
}

func (m *Mesh) handleSnapshot(w http.ResponseWriter, r *http.Request) {
	known, err := parseKnownVersions(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := m.localSnapshot().without(known)
	b, encodedAt, err := m.cache.encode(&s)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(ageHeader, strconv.FormatInt(s.Age.Milliseconds(), 10))
	w.Header().Set(bodyAgeHeader, strconv.FormatInt(time.Since(encodedAt).Milliseconds(), 10))
	w.Write(b)
}

func parseKnownVersions(r *http.Request) (KnownVersions, error) {
	query := r.URL.Query() // FormValue would parse a body
	version, errVersion := strconv.ParseInt(query.Get(versionParameter), 10, 64)
	hash, errHash := strconv.ParseUint(query.Get(hashParameter), 10, 64)
	bundle, errBundle := strconv.ParseUint(query.Get(bundleParameter), 10, 64)
	return KnownVersions{ConfigurationVersion: version, ListHash: hash, BundleVersion: bundle}, errors.Join(errVersion, errHash, errBundle)
}

// maxFetchAttempts is the highest number of entries that one call of Fetch asks.
const maxFetchAttempts = 3

// Fetch asks other entries for a snapshot until one answers, and returns the snapshot
// and the address of that entry. It asks peers that have reported lately first, and among
// them the preferred entry, and then those with the newest configuration. The snapshot
// lacks what is identified by known.
func (m *Mesh) Fetch(ctx context.Context, preferred state.InstanceID, known KnownVersions) (*Snapshot, netip.AddrPort, error) {
	var errs []error
	for _, a := range m.fetchCandidates(preferred) {
		s, err := m.fetch(ctx, a, known)
		if err == nil {
			return s, a, nil
		}
		errs = append(errs, err)
	}
	return nil, netip.AddrPort{}, errors.Join(append(errs, errors.New("no other entry returned a snapshot"))...)
}

// fetchCandidates returns the addresses to ask for a snapshot, in the order of Fetch.
// Addresses from which no report came are last.
func (m *Mesh) fetchCandidates(preferred state.InstanceID) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	precedence := func(p *peer) int {
		switch {
		case !p.isHeard(now):
			return 0
		case p.instance != preferred:
			return 1
		default:
			return 2
		}
	}
	var list []netip.AddrPort
	for a := range m.peers {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int {
		p, q := m.peers[a], m.peers[b]
		return cmp.Or(cmp.Compare(precedence(q), precedence(p)), cmp.Compare(q.configurationVersion, p.configurationVersion))
	})
	for a := range m.unheard {
		list = append(list, a)
	}
	return list[:min(len(list), maxFetchAttempts)]
}

func (m *Mesh) fetch(ctx context.Context, a netip.AddrPort, known KnownVersions) (*Snapshot, error) {
	query := url.Values{
		versionParameter: {strconv.FormatInt(known.ConfigurationVersion, 10)}, hashParameter: {strconv.FormatUint(known.ListHash, 10)},
		bundleParameter: {strconv.FormatUint(known.BundleVersion, 10)},
	}
	resp, err := m.get(ctx, a, snapshotPath, query)
	if err != nil {
		return nil, fmt.Errorf("fetch snapshot from %s: %w", a, err)
	}
	defer resp.Body.Close()
	age, err := strconv.ParseInt(resp.Header.Get(ageHeader), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("fetch snapshot from %s: parse age: %w", a, err)
	}
	s, err := decodeSnapshot(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("fetch snapshot from %s: decode: %w", a, err)
	}
	s.Age = time.Duration(age) * time.Millisecond
	// An entry of an earlier release states no age of the body, and no plans either.
	if bodyAge, err := strconv.ParseInt(resp.Header.Get(bodyAgeHeader), 10, 64); err == nil {
		for i := range s.Plans {
			s.Plans[i].TimeLeft -= time.Duration(bodyAge) * time.Millisecond
		}
	}
	return s, nil
}

// get requests path from the entry at a. Status codes other than 200 are errors. The body
// of the response must be closed.
func (m *Mesh) get(ctx context.Context, a netip.AddrPort, path string, query url.Values) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := m.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return resp, nil
}
