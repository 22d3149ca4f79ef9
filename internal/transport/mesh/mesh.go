// Package mesh exchanges reports between entries by datagrams, and lets an entry
// that the platform's store does not answer fetch the newest configuration and
// list of targets from another one.
//
// Reports are cumulative, so that a lost, repeated or late one does no harm. QUIC
// is not used here: reports need no delivery, and the instances hold no
// certificates.
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
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
)

const (
	maxDatagram = 60 << 10 // bytes
	// peerTimeout is the time without a report after which an entry is taken as
	// gone. Reports come every second at least.
	peerTimeout = 10 * time.Second
	// silentAfter is the time without a report after which others do an entry's
	// duties.
	silentAfter = 1200 * time.Millisecond
)

// Message is a report of one entry.
type Message struct {
	Instance    state.InstanceID           `cbor:"1,keyasint"`
	Incarnation state.Incarnation          `cbor:"2,keyasint"`
	Sequence    uint64                     `cbor:"3,keyasint"`
	Version     int64                      `cbor:"4,keyasint,omitempty"` // of the configuration in effect
	Used        map[state.Customer]float64 `cbor:"5,keyasint,omitempty"` // of customers whose use changed lately, in units
	Open        map[dispatch.TargetKey]int `cbor:"6,keyasint,omitempty"`
	Waiting     map[state.Service][]int    `cbor:"7,keyasint,omitempty"`
	// Entries are addresses of other entries that the sender knows.
	Entries []string `cbor:"8,keyasint,omitempty"`
	// Levels are those of the customers' buckets, for an entry that has started lately.
	Levels map[state.Customer]float64 `cbor:"10,keyasint,omitempty"`
	// Complete says that Used has all customers that were admitted.
	Complete bool                       `cbor:"17,keyasint,omitempty"`
	Prefill  map[dispatch.TargetKey]int `cbor:"11,keyasint,omitempty"`
	// ListAge is the time in milliseconds since the sender itself read the list of
	// targets from the store, and ListHash identifies its content; 0 when it did
	// not read lately. What was learned from others is not passed on: its age would
	// lack the time on the way, and a stale list could look fresh for ever.
	ListAge  int64  `cbor:"12,keyasint,omitempty"`
	ListHash uint64 `cbor:"13,keyasint,omitempty"`
	// ListNext is the offset in the store's topic up to which the list is complete.
	ListNext uint64 `cbor:"16,keyasint,omitempty"`
	// Change is the last one of the list, while others may not have it yet.
	Change *ListChange `cbor:"14,keyasint,omitempty"`
	// Bundle is the version of the bundle in effect, 0 for none.
	Bundle uint64 `cbor:"18,keyasint,omitempty"`
	// Next is the time in milliseconds after which the next report to this receiver
	// follows at the latest.
	Next int `cbor:"15,keyasint,omitempty"`
	// Leaving says that the sender stops.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// ListChange turns the list of targets with the hash From into that with the
// message's ListHash.
type ListChange struct {
	From    uint64               `cbor:"1,keyasint"`
	Put     []state.TargetRecord `cbor:"2,keyasint,omitempty"`
	Removed []state.TargetID     `cbor:"3,keyasint,omitempty"`
}

// lostReports is how many reports in a row may be lost before the last one counts
// no longer.
const lostReports = 3

// Report returns the part that the scheduler uses.
func (m *Message) Report() dispatch.Report {
	return dispatch.Report{
		Open: m.Open, Prefill: m.Prefill, Waiting: m.Waiting, Lifetime: lostReports * time.Duration(m.Next) * time.Millisecond,
	}
}

// Mesh is this entry's end. It is safe for concurrent use.
type Mesh struct {
	self  netip.AddrPort
	conn  *net.UDPConn
	http  *http.Client
	serve func() Snapshot

	encoded snapshots

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	known map[netip.AddrPort]*silent // addresses that were named but not heard
	// position is the place of this entry among those heard of, and arranged says
	// that it is up to date.
	position dispatch.Position
	arranged bool
}

// silent is an address from which no report came, or none lately.
type silent struct {
	greeted time.Time     // last, zero: never
	pause   time.Duration // until the next
}

// An address that does not answer is greeted after firstPause, then after twice the
// pause before, up to maxPause. Entries that left without a word would otherwise
// cost packets for ever.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
)

type peer struct {
	instance    state.InstanceID
	near        bool      // uses targets that this entry uses
	started     time.Time // when it was first heard, of this incarnation
	incarnation state.Incarnation
	sequence    uint64
	version     int64
	reads       bool // reads the list of targets from the store
	heard       time.Time
}

// New opens the socket on address. serve returns the snapshot for other entries.
func New(address netip.AddrPort, serve func() Snapshot) (*Mesh, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for entries: %w", err)
	}
	return &Mesh{
		self: address, conn: conn, serve: serve,
		http: &http.Client{Timeout: snapshotTimeout, Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return netconn.Dial(ctx, addr, snapshotTimeout)
			},
			DisableKeepAlives: true, DisableCompression: true,
		}},
		peers: make(map[netip.AddrPort]*peer), known: make(map[netip.AddrPort]*silent),
	}, nil
}

// Learn names an entry that may exist.
func (m *Mesh) Learn(a netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learn(a)
}

func (m *Mesh) learn(a netip.AddrPort) {
	if a != m.self && a.IsValid() && m.peers[a] == nil && m.known[a] == nil {
		m.known[a] = &silent{}
	}
}

// Peers returns the number of entries heard of lately.
func (m *Mesh) Peers(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	return len(m.peers)
}

// LowerReaders returns how many of the entries that read the list of targets from
// the store have a lower name than name.
func (m *Mesh) LowerReaders(now time.Time, name state.InstanceID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	lower := 0
	for _, p := range m.peers {
		if p.reads && p.instance < name && now.Sub(p.heard) < silentAfter {
			lower++
		}
	}
	return lower
}

func (m *Mesh) expire(now time.Time) {
	for a, p := range m.peers {
		if now.Sub(p.heard) > peerTimeout {
			m.forget(a)
			m.learn(a)
		}
	}
}

func (m *Mesh) forget(a netip.AddrPort) {
	delete(m.peers, a)
	m.arranged = false
}

// Position returns the place of this entry among the entries heard of lately.
func (m *Mesh) Position(now time.Time) dispatch.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	m.arrange()
	return m.position
}

// arrange orders the entries heard of by a hash of their addresses and marks those
// that are near.
func (m *Mesh) arrange() {
	if m.arranged {
		return
	}
	m.arranged = true
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

// The number of other entries that a report names: many to an entry that has
// started lately and looks for others, few otherwise, so that reports to hundreds
// of entries stay small. They are drawn at random each time.
const (
	manyNamed = 32
	fewNamed  = 4
)

// newcomerTime is how long an entry counts as one that has started lately. It
// covers some lost reports.
const newcomerTime = 4 * time.Second

// Reports are what is due at one time.
type Reports struct {
	// Near goes to the near entries.
	Near *Message
	// Far goes to all others; nil when only near entries are told.
	Far *Message
	// Newcomer returns what goes, along with Far, to entries that have started
	// lately or were not heard of yet. It is called only if there are any.
	Newcomer func() *Message
}

// Send sends reports.
func (m *Mesh) Send(now time.Time, r Reports) error {
	m.mu.Lock()
	m.expire(now)
	m.arrange()
	var near, far, newcomers []netip.AddrPort
	var named []string
	for a, p := range m.peers { // in random order
		switch {
		case r.Far != nil && now.Sub(p.started) < newcomerTime:
			newcomers = append(newcomers, a)
		case p.near:
			near = append(near, a)
		default:
			far = append(far, a)
		}
		if len(named) < manyNamed {
			named = append(named, a.String())
		}
	}
	if r.Far != nil {
		for a, s := range m.known {
			if now.Sub(s.greeted) >= s.pause {
				s.greeted, s.pause = now, min(maxPause, max(firstPause, 2*s.pause))
				newcomers = append(newcomers, a)
			}
		}
	}
	m.mu.Unlock()
	if r.Far == nil {
		return m.send(r.Near, near)
	}
	few := named[:min(len(named), fewNamed)]
	r.Near.Entries, r.Far.Entries = few, few
	err := errors.Join(m.send(r.Near, near), m.send(r.Far, far))
	if len(newcomers) > 0 {
		welcome := r.Newcomer()
		welcome.Entries = named
		err = errors.Join(err, m.send(welcome, newcomers))
	}
	return err
}

// encoding writes totals of allowances, which are mostly whole numbers, in 3 or 5
// bytes instead of 9.
var encoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())

func must(m cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// Leave tells the entries heard of that this one stops.
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
	b, err := encoding.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	var errs []error
	for _, a := range to {
		if _, err := m.conn.WriteToUDPAddrPort(b, a); err != nil {
			errs = append(errs, fmt.Errorf("report to %s: %w", a, err))
		}
	}
	return errors.Join(errs...)
}

// Receive calls handle with each report that is newer than the ones before from
// the same entry, until ctx ends. started says that the entry is new or has
// started again. malformed is told of others.
func (m *Mesh) Receive(ctx context.Context, handle func(msg *Message, started bool), malformed func(from netip.AddrPort, err error)) error {
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			malformed(from, err)
			time.Sleep(10 * time.Millisecond) // a persistent error must not spin
			continue
		}
		var msg Message
		if err := cbor.Unmarshal(buf[:n], &msg); err != nil {
			malformed(from, err)
			continue
		}
		if ok, started := m.accept(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &msg); ok {
			handle(&msg, started)
		}
	}
}

func (m *Mesh) accept(from netip.AddrPort, msg *Message) (ok, started bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.known, from)
	if msg.Leaving {
		m.forget(from)
		return true, false
	}
	p := m.peers[from]
	if p == nil || p.incarnation != msg.Incarnation {
		p = &peer{instance: msg.Instance, incarnation: msg.Incarnation, started: time.Now()}
		m.peers[from] = p
		m.arranged = false
		started = true
	} else if msg.Sequence <= p.sequence {
		return false, false
	}
	p.sequence, p.version, p.reads, p.heard = msg.Sequence, msg.Version, msg.ListHash != 0, time.Now()
	for _, text := range msg.Entries {
		if a, err := netip.ParseAddrPort(text); err == nil {
			m.learn(a)
		}
	}
	return true, started
}
