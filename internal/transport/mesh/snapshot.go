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

	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

const (
	// snapshotTimeout bounds a fetch of a snapshot.
	snapshotTimeout = time.Second
	maxSnapshot     = 16 << 20 // bytes, not compressed
	snapshotPath    = "/snapshot"
	// The fields of Have, as parameters.
	versionParameter = "version"
	hashParameter    = "list"
	bundleParameter  = "bundle"
	// ageHeader has Snapshot.Age in milliseconds.
	ageHeader = "Cassiaramp-Age-Ms"
)

// Snapshot is what an entry knows from the platform's store.
type Snapshot struct {
	// Configuration is nil when the asking entry has it or a newer one.
	Configuration *state.Configuration
	// Targets is nil when the asking entry has the same list.
	Targets  []state.TargetRecord
	ListHash uint64 // as in Message
	ListNext uint64 // as in Message
	// Settling says that the list holds targets that may be gone.
	Settling bool
	// Age is the time since the list was known to be current.
	Age time.Duration `json:"-"`
	// Bundle is nil when the asking entry has it or a newer one.
	Bundle *state.AcceptedBundle
}

// Have is what an entry that asks for a snapshot has.
type Have struct {
	Version  int64  // of the configuration in effect, 0 for none
	ListHash uint64 // of its list of targets
	Bundle   uint64 // version of its bundle, 0 for none
}

// only returns s without what the asking entry has.
func (s Snapshot) only(h Have) Snapshot {
	if s.Configuration != nil && s.Configuration.Version <= h.Version {
		s.Configuration = nil
	}
	if s.ListHash == h.ListHash {
		s.Targets = nil
	}
	if s.Bundle != nil && s.Bundle.Version <= h.Bundle {
		s.Bundle = nil
	}
	return s
}

// content identifies what a snapshot contains.
type content struct {
	version    int64
	hash, next uint64
	bundle     uint64
	targets    bool
	settling   bool
}

func (s *Snapshot) content() content {
	c := content{hash: s.ListHash, next: s.ListNext, targets: s.Targets != nil, settling: s.Settling}
	if s.Configuration != nil {
		c.version = s.Configuration.Version
	}
	if s.Bundle != nil {
		c.bundle = s.Bundle.Version
	}
	return c
}

// snapshots encodes snapshots and keeps the last one: after a restart hundreds of
// entries may fetch the same list of thousands of targets.
type snapshots struct {
	mu      sync.Mutex
	content content
	body    []byte
}

// encode returns the compressed form of s, which does not contain its age.
func (e *snapshots) encode(s *Snapshot) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := s.content()
	if e.body != nil && e.content == c {
		return e.body, nil
	}
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := json.NewEncoder(z).Encode(s); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	e.content, e.body = c, buf.Bytes()
	return e.body, nil
}

func decodeSnapshot(r io.Reader) (*Snapshot, error) {
	z, err := gzip.NewReader(r)
	if err != nil {
		return nil, err
	}
	s := new(Snapshot)
	if err := json.NewDecoder(io.LimitReader(z, maxSnapshot)).Decode(s); err != nil {
		return nil, err
	}
	return s, nil
}

// ServeSnapshots serves other entries on ln until ctx ends.
func (m *Mesh) ServeSnapshots(ctx context.Context, ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, m.handleSnapshot)
	server := &http.Server{Handler: mux, ReadTimeout: snapshotTimeout, WriteTimeout: 2 * snapshotTimeout}
	return netconn.Serve(ctx, server, ln)
}

func (m *Mesh) handleSnapshot(w http.ResponseWriter, r *http.Request) {
	have, err := parseHave(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := m.serve().only(have)
	b, err := m.encoded.encode(&s)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(ageHeader, strconv.FormatInt(s.Age.Milliseconds(), 10))
	w.Write(b)
}

func parseHave(r *http.Request) (Have, error) {
	version, errVersion := strconv.ParseInt(r.FormValue(versionParameter), 10, 64)
	hash, errHash := strconv.ParseUint(r.FormValue(hashParameter), 10, 64)
	bundle, errBundle := strconv.ParseUint(r.FormValue(bundleParameter), 10, 64)
	return Have{Version: version, ListHash: hash, Bundle: bundle}, errors.Join(errVersion, errHash, errBundle)
}

// maxAsked bounds the entries asked for one snapshot.
const maxAsked = 3

// Fetch asks other entries for a snapshot: first the one named, if any, then those
// with the newest configuration. have is what the reply need not repeat.
func (m *Mesh) Fetch(ctx context.Context, first state.InstanceID, have Have) (*Snapshot, netip.AddrPort, error) {
	var errs []error
	for _, a := range m.candidates(first) {
		s, err := m.fetch(ctx, a, have)
		if err == nil {
			return s, a, nil
		}
		errs = append(errs, err)
	}
	return nil, netip.AddrPort{}, errors.Join(append(errs, errors.New("no entry answered"))...)
}

func (m *Mesh) candidates(first state.InstanceID) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []netip.AddrPort
	for a := range m.peers {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int {
		if named := m.peers[a].instance == first; named != (m.peers[b].instance == first) {
			if named {
				return -1
			}
			return 1
		}
		return cmp.Compare(m.peers[b].version, m.peers[a].version)
	})
	for a := range m.known {
		list = append(list, a)
	}
	return list[:min(len(list), maxAsked)]
}

func (m *Mesh) fetch(ctx context.Context, a netip.AddrPort, have Have) (*Snapshot, error) {
	query := url.Values{
		versionParameter: {strconv.FormatInt(have.Version, 10)}, hashParameter: {strconv.FormatUint(have.ListHash, 10)},
		bundleParameter: {strconv.FormatUint(have.Bundle, 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+snapshotPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := m.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("snapshot of %s: %w", a, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("snapshot of %s: status %d", a, resp.StatusCode)
	}
	age, err := strconv.ParseInt(resp.Header.Get(ageHeader), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("snapshot of %s: age: %w", a, err)
	}
	s, err := decodeSnapshot(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("snapshot of %s: %w", a, err)
	}
	s.Age = time.Duration(age) * time.Millisecond
	return s, nil
}
