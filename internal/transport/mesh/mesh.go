// Package mesh connects the entries on the users' platform with each other. Each entry
// reports its load and the use of allowances to the others in UDP datagrams. An entry
// can also fetch the newest configuration, list of targets and bundle from another
// entry over HTTP, for example while the platform's store does not answer. Sessions
// between entries and side processes are in package quicsession.
//
// Reports are cumulative, so lost, repeated or late ones do no harm. They are sent
// in plain datagrams rather than over QUIC, because they need no reliable delivery
// and the instances hold no certificates.
package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/coordination/refusal"
	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

const (
	// maxDatagramBytes is the size of the receive buffer. A longer datagram is cut off
	// and cannot be decoded.
	maxDatagramBytes = 60 << 10
	// peerTimeout is the time without a report after which an entry is considered
	// gone. Entries report at least every second.
	peerTimeout = 10 * time.Second
	// readerTimeout is the time without a report after which an entry no longer counts
	// as a reader of the store, so that another one reads in its place.
	readerTimeout = 1200 * time.Millisecond
	// heardLately is the age of its last report up to which an entry counts as reachable.
	// It exceeds the longest time between reports.
	heardLately = 1500 * time.Millisecond
)

// Message is a report of one entry to others.
type Message struct {
	Instance    state.InstanceID  `cbor:"1,keyasint"`
	Incarnation state.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"` // increases with each report of an incarnation
	// ConfigurationVersion is the version of the configuration in effect, 0 for none.
	ConfigurationVersion int64 `cbor:"4,keyasint,omitempty"`
	// Used holds the units admitted since the start of the sender, by customer. It
	// lacks customers whose total has not changed lately, unless UsedComplete is set.
	Used map[state.Customer]float64 `cbor:"5,keyasint,omitempty"`
	// UptimeMillis is the time since the start of the sender.
	UptimeMillis int64 `cbor:"21,keyasint,omitempty"`
	// Open is the number of open requests of the sender at each target.
	Open map[dispatch.TargetKey]int `cbor:"6,keyasint,omitempty"`
	// Waiting is the number of waiting requests by service, indexed by their rank in
	// package dispatch; rank 0 is the highest.
	Waiting map[state.Service][]int `cbor:"7,keyasint,omitempty"`
	// Refused are the requests that the sender has refused lately.
	Refused []refusal.Note `cbor:"20,keyasint,omitempty"`
	// Origins are the origins of streams that began lately at the sender.
	Origins []origin.Notes `cbor:"22,keyasint,omitempty"`
	// Mixed is origin.Log.ObservedMixed of the sender, for an entry that has started recently.
	Mixed map[state.Service][]state.SoftwareVersion `cbor:"29,keyasint,omitempty"`
	// KnownAddresses are addresses of other entries that the sender has heard from.
	KnownAddresses []string `cbor:"8,keyasint,omitempty"`
	// Levels are the levels of the customers' token buckets, in units, for an entry
	// that has started recently.
	Levels map[state.Customer]float64 `cbor:"10,keyasint,omitempty"`
	// UsedComplete reports that Used has all customers of which requests were admitted.
	UsedComplete bool `cbor:"17,keyasint,omitempty"`
	// Pending is the number of prompt tokens of the open requests that have no response
	// yet, by target. Key 11 had their prefill work in milliseconds.
	Pending map[dispatch.TargetKey]int `cbor:"19,keyasint,omitempty"`
	// ListAgeMillis is the time since the sender itself read the list of targets from
	// the store, and ListHash identifies the content of the list. Both are 0 when the
	// sender has not read it recently. The age of a list learned from another entry is
	// not passed on: it would lack the transmission time, and a stale list could look
	// current for ever.
	ListAgeMillis int64  `cbor:"12,keyasint,omitempty"`
	ListHash      uint64 `cbor:"13,keyasint,omitempty"`
	// ListNext is the offset in the store's topic up to which the list is complete.
	ListNext uint64 `cbor:"16,keyasint,omitempty"`
	// ListEra is the era of the store to which ListNext belongs.
	ListEra uint64 `cbor:"25,keyasint,omitempty"`
	// StoreEra is the era of the latest response of the store to the sender, as in
	// keyedtopic.Position.
	StoreEra uint64 `cbor:"24,keyasint,omitempty"`
	// Change is the last change of the list. It is sent only for a while after the
	// change, in which other entries may not have it yet.
	Change *ListChange `cbor:"14,keyasint,omitempty"`
	// BundleVersion is the version of the bundle in effect, 0 for none.
	BundleVersion uint64 `cbor:"18,keyasint,omitempty"`
	// NextReportMillis is the longest time until the next report to this receiver.
	NextReportMillis int `cbor:"15,keyasint,omitempty"`
	// Limits is what the sender knows of the limits that targets state, and its part of them.
	Limits map[state.TargetID]ratelimit.Note `cbor:"23,keyasint,omitempty"`
	// Quarantine is what the sender knows of parts of prompts that crash targets.
	Quarantine *quarantine.Report `cbor:"26,keyasint,omitempty"`
	// Rollouts is what the sender knows of roll-outs of software versions. Reports to all
	// entries have it, and those with Change: an entry that learns of targets of a new version
	// learns of the order with them.
	Rollouts *rollout.Report `cbor:"27,keyasint,omitempty"`
	// OriginsOnly says that the message has Origins and is no report. Its Sequence is 0, so that
	// an entry without this field ignores it if it has heard the sender before, and otherwise
	// takes it for an empty report until the next one.
	OriginsOnly bool `cbor:"28,keyasint,omitempty"`
	// Leaving reports that the sender stops.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// ListChange turns the list of targets with the hash FromHash into the one with the
// ListHash of the same message.
type ListChange struct {
	FromHash uint64               `cbor:"1,keyasint"`
	Put      []state.TargetRecord `cbor:"2,keyasint,omitempty"`
	Removed  []state.TargetID     `cbor:"3,keyasint,omitempty"`
}

// reportLifetimeIntervals is the number of report intervals for which the load in a
// report counts unless a newer report replaces it. It exceeds 1 because reports may be
// lost.
const reportLifetimeIntervals = 3

// LoadReport returns the part of the message that the scheduler uses.
func (m *Message) LoadReport() dispatch.Report {
	return dispatch.Report{
		Open: m.Open, Pending: m.Pending, Waiting: m.Waiting, Limits: m.Limits,
		Lifetime: reportLifetimeIntervals * time.Duration(m.NextReportMillis) * time.Millisecond,
	}
}

// UsageReport returns the part of the message that the ledger of allowances uses.
func (m *Message) UsageReport() quota.Report {
	return quota.Report{
		From: m.Instance, Incarnation: m.Incarnation, Uptime: time.Duration(m.UptimeMillis) * time.Millisecond,
		Used: m.Used, Complete: m.UsedComplete,
	}
}

// Mesh exchanges reports and snapshots with the other entries on behalf of one
// entry. It is safe for concurrent use.
type Mesh struct {
	self          netip.AddrPort
	conn          *net.UDPConn
	http          *http.Client
	localSnapshot func() Snapshot // what other entries may fetch
	findOrigin    FindOrigin      // answers the questions of other entries
	findTargetEnd FindTargetEnd   // likewise

	cache snapshotCache

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer // entries that have reported within peerTimeout
	// unheard has the addresses of entries that may exist but have not reported, or
	// not for peerTimeout.
	unheard map[netip.AddrPort]*contactBackoff
	// position is the position of this entry among itself and its peers. It is
	// outdated unless positionValid is set.
	position      dispatch.Position
	positionValid bool
}

// contactBackoff spaces the reports to an address that has not answered.
type contactBackoff struct {
	lastAttempt time.Time // zero: none yet
	pause       time.Duration
}

// The pause between reports to an address that does not answer starts at
// minContactPause and doubles up to maxContactPause. Without it, entries that
// disappeared without announcing it would be sent packets at the full rate for ever.
const (
	minContactPause = 100 * time.Millisecond
	maxContactPause = 2 * time.Second
)

// peer is what is known of another entry from its reports.
type peer struct {
	instance             state.InstanceID
	near                 bool      // it uses targets that this entry uses as well
	firstHeard           time.Time // first report of this incarnation
	incarnation          state.Incarnation
	lastSequence         uint64
	configurationVersion int64
	readsStore           bool // it reads the list of targets from the store
	lastHeard            time.Time
	rank                 uint64 // hash of its address; see rankedFor
}

// New returns a mesh that sends and receives datagrams at address. localSnapshot
// returns the snapshot that other entries may fetch; findOrigin and findTargetEnd answer
// their questions for the origins of streams and the ends of targets.
func New(address netip.AddrPort, localSnapshot func() Snapshot, findOrigin FindOrigin, findTargetEnd FindTargetEnd) (*Mesh, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for reports of other entries: %w", err)
	}
	return &Mesh{
		self: address, conn: conn, localSnapshot: localSnapshot, findOrigin: findOrigin, findTargetEnd: findTargetEnd,
		http: &http.Client{Timeout: snapshotTimeout, Transport: &http.Transport{
			MaxResponseHeaderBytes: maxEntryHeaderBytes,
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return netconn.Dial(ctx, addr, snapshotTimeout)
			},
			DisableKeepAlives: true, DisableCompression: true,
		}},
		peers: make(map[netip.AddrPort]*peer), unheard: make(map[netip.AddrPort]*contactBackoff),
	}, nil
}

// AddAddress adds the address of an entry that may exist. Reports are sent to it until
// it answers.
func (m *Mesh) AddAddress(a netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addAddress(a)
}

func (m *Mesh) addAddress(a netip.AddrPort) {
	if a != m.self && a.IsValid() && m.peers[a] == nil && m.unheard[a] == nil {
		m.unheard[a] = &contactBackoff{}
	}
}

// PeerCount returns the number of other entries that have reported within peerTimeout.
func (m *Mesh) PeerCount(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpiredPeers(now)
	return len(m.peers)
}

// isHeard reports whether the entry has reported lately.
func (p *peer) isHeard(now time.Time) bool { return now.Sub(p.lastHeard) <= heardLately }

// Heard returns the other entries that have reported lately.
func (m *Mesh) Heard(now time.Time) []state.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var heard []state.InstanceID
	for _, p := range m.peers {
		if p.isHeard(now) {
			heard = append(heard, p.instance)
		}
	}
	return heard
}

// LastHeard returns when another entry has reported last, of those that have reported within peerTimeout;
// zero if there is none.
func (m *Mesh) LastHeard(now time.Time) (last time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpiredPeers(now)
	for _, p := range m.peers {
		if p.lastHeard.After(last) {
			last = p.lastHeard
		}
	}
	return last
}

// ExpectedPeerCount returns the number of other entries that have reported within
// peerTimeout or that may exist although they have not.
func (m *Mesh) ExpectedPeerCount(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpiredPeers(now)
	return len(m.peers) + len(m.unheard)
}

// CountReadersBelow returns the number of other entries that read the list of targets
// from the store and have a name lower than name.
func (m *Mesh) CountReadersBelow(now time.Time, name state.InstanceID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, p := range m.peers {
		if p.readsStore && p.instance < name && now.Sub(p.lastHeard) < readerTimeout {
			count++
		}
	}
	return count
}

// removeExpiredPeers removes the peers that have not reported for peerTimeout. Their
// addresses stay known.
func (m *Mesh) removeExpiredPeers(now time.Time) {
	for a, p := range m.peers {
		if now.Sub(p.lastHeard) > peerTimeout {
			m.removePeer(a)
			m.addAddress(a)
		}
	}
}

func (m *Mesh) removePeer(a netip.AddrPort) {
	delete(m.peers, a)
	m.positionValid = false
}

// Position returns the position of this entry among itself and the entries that have
// reported within peerTimeout.
func (m *Mesh) Position(now time.Time) dispatch.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpiredPeers(now)
	m.updatePosition()
	return m.position
}

// updatePosition orders this entry and its peers by a hash of their addresses, and
// marks the near peers.
func (m *Mesh) updatePosition() {
	if m.positionValid {
		return
	}
	m.positionValid = true
	order := []netip.AddrPort{m.self}
	for a := range m.peers {
		order = append(order, a)
	}
	slices.SortFunc(order, func(a, b netip.AddrPort) int {
		return cmp.Compare(xxhash.Sum64String(a.String()), xxhash.Sum64String(b.String()))
	})
	m.position = dispatch.Position{Index: slices.Index(order, m.self), Count: len(order)}
	for i, a := range order {
		if a != m.self {
			m.peers[a].near = m.position.Near(i)
		}
	}
}

// The highest number of addresses of other entries in a report: many for an entry that
// has started recently and looks for others, few otherwise, so that reports to hundreds
// of entries stay small. The addresses are drawn at random for each round of reports.
const (
	maxNewcomerAddresses = 32
	maxRegularAddresses  = 4
)

// newcomerTime is how long an entry counts as a newcomer after its first report. It is
// long enough for some of the reports for newcomers to be lost.
const newcomerTime = 4 * time.Second

// Reports are the reports of one round, one for each group of receivers.
type Reports struct {
	// Near is sent to the near entries.
	Near *Message
	// Far is sent to the entries that are not near. If it is nil, only near entries
	// receive a report in this round.
	Far *Message
	// Newcomer returns the report to entries that have started recently or have not
	// reported yet. They receive it instead of Near or Far, in rounds in which Far is
	// set. It is called only if there are such entries.
	Newcomer func() *Message
}

// Send sends one round of reports. It sets KnownAddresses in them if r.Far is set.
func (m *Mesh) Send(now time.Time, r Reports) error {
	m.mu.Lock()
	m.removeExpiredPeers(now)
	m.updatePosition()
	var near, far, newcomers []netip.AddrPort
	var addresses []string
	for a, p := range m.peers { // in random order
		switch {
		case r.Far != nil && now.Sub(p.firstHeard) < newcomerTime:
			newcomers = append(newcomers, a)
		case p.near:
			near = append(near, a)
		default:
			far = append(far, a)
		}
		if len(addresses) < maxNewcomerAddresses {
			addresses = append(addresses, a.String())
		}
	}
	if r.Far != nil {
		for a, backoff := range m.unheard {
			if now.Sub(backoff.lastAttempt) >= backoff.pause {
				backoff.lastAttempt, backoff.pause = now, min(maxContactPause, max(minContactPause, 2*backoff.pause))
				newcomers = append(newcomers, a)
			}
		}
	}
	m.mu.Unlock()
	if r.Far == nil {
		return m.send(r.Near, near)
	}
	few := addresses[:min(len(addresses), maxRegularAddresses)]
	r.Near.KnownAddresses, r.Far.KnownAddresses = few, few
	err := errors.Join(m.send(r.Near, near), m.send(r.Far, far))
	if len(newcomers) > 0 {
		report := r.Newcomer()
		report.KnownAddresses = addresses
		err = errors.Join(err, m.send(report, newcomers))
	}
	return err
}

// encMode encodes floating-point numbers in the shortest exact form. The totals in
// Message.Used are mostly whole numbers and take 3 or 5 bytes instead of 9.
var encMode = mustEncMode(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())

func mustEncMode(m cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// Leave announces to all peers, in msg, that this entry stops.
func (m *Mesh) Leave(msg *Message) error {
	m.mu.Lock()
	to := slices.Collect(maps.Keys(m.peers))
	m.mu.Unlock()
	msg.Leaving = true
	return m.send(msg, to)
}

func (m *Mesh) send(msg *Message, to []netip.AddrPort) error {
	if len(to) == 0 {
		return nil
	}
	b, err := encMode.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	var errs []error
	for _, a := range to {
		if _, err := m.conn.WriteToUDPAddrPort(b, a); err != nil {
			errs = append(errs, fmt.Errorf("send report to %s: %w", a, err))
		}
	}
	return errors.Join(errs...)
}

// Receive receives reports until ctx ends, and closes the socket then. It calls handle
// with each report that is newer than the earlier ones of the same entry, with each
// announcement that an entry leaves, and with each message that has origins only.
// isNew reports that the sender was not a peer before, or has restarted. Receive calls
// failed when a datagram cannot be decoded and
// when reading from the socket fails; from is invalid if the sender is not known.
func (m *Mesh) Receive(ctx context.Context, handle func(msg *Message, isNew bool), failed func(from netip.AddrPort, err error)) error {
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			failed(from, err)
			time.Sleep(10 * time.Millisecond) // avoids a busy loop on a persistent error
			continue
		}
		var msg Message
		if err := cbor.Unmarshal(buf[:n], &msg); err != nil {
			failed(from, err)
			continue
		}
		if ok, isNew := m.accept(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &msg); ok {
			handle(&msg, isNew)
		}
	}
}

// accept updates what is known of the sender. ok reports whether the message is to be
// handled; it is false for a report that is not newer than an earlier one. isNew is
// as in Receive.
func (m *Mesh) accept(from netip.AddrPort, msg *Message) (ok, isNew bool) {
	if msg.OriginsOnly {
		return true, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unheard, from)
	if msg.Leaving {
		m.removePeer(from)
		return true, false
	}
	p := m.peers[from]
	if p == nil || p.incarnation != msg.Incarnation {
		p = &peer{instance: msg.Instance, incarnation: msg.Incarnation, firstHeard: time.Now(), rank: xxhash.Sum64String(from.String())}
		m.peers[from] = p
		m.positionValid = false
		isNew = true
	} else if msg.Sequence <= p.lastSequence {
		return false, false
	}
	p.lastSequence, p.configurationVersion, p.readsStore, p.lastHeard = msg.Sequence, msg.ConfigurationVersion, msg.ListHash != 0, time.Now()
	for _, text := range msg.KnownAddresses {
		if a, err := netip.ParseAddrPort(text); err == nil {
			m.addAddress(a)
		}
	}
	return true, isNew
}
