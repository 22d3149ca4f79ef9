package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/admission"
	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/claim"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/placement"
	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/protocol"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// local measures slopes inside this process.
type local struct{}

// The size that docs/CAPACITY.md is about.
const (
	sizeCustomers = 930
	sizeEngines   = 600
	sizeEntries   = 380
	sizeModels    = 4
)

func (*local) run(ctx context.Context, out io.Writer) error {
	t := &table{w: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	return errors.Join(t.bundles(), t.claims(), t.placements(ctx), t.queued(ctx), t.messages(), t.instances(), t.tailing(ctx), t.opening(ctx), t.w.Flush())
}

// table prints rows of name, value and unit.
type table struct{ w *tabwriter.Writer }

func (t *table) row(name string, value float64, unit string) {
	fmt.Fprintf(t.w, "%s\t%.4g\t%s\n", name, value, unit)
}

// nanoseconds returns the time of one call of f. It repeats f for about 200 ms.
func nanoseconds(f func()) float64 {
	f()
	began, n := time.Now(), 0
	for time.Since(began) < 200*time.Millisecond {
		f()
		n++
	}
	return float64(time.Since(began)) / float64(n)
}

// copies is the number of equal values in one measurement of memory. With one,
// the garbage of earlier measurements that is freed meanwhile would show.
const copies = 8

// heapEach returns the bytes that one of the values that f returns holds.
func heapEach(f func() any) float64 {
	return heap(func() any {
		var held [copies]any
		for i := range held {
			held[i] = f()
		}
		return held
	}) / copies
}

// heap returns the bytes that what f returns holds.
func heap(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := f()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// cost is what one bundle costs.
type cost struct{ document, record, unmarshal, decode, verify, effect, heap float64 }

func bundleCost(customers, placements int) (cost, error) {
	b := newBundle(1, "", customers, sizeModels, placements)
	document, signatures, err := sign(b)
	if err != nil {
		return cost{}, err
	}
	record, err := (&bundle.Record{Kind: bundle.Proposal, Document: document, Signatures: signatures}).Marshal()
	if err != nil {
		return cost{}, err
	}
	decoded, err := bundle.Decode(document)
	if err != nil {
		return cost{}, err
	}
	c := cost{document: float64(len(document)), record: float64(len(record))}
	c.unmarshal = nanoseconds(func() { _, err = bundle.UnmarshalRecord(record) })
	c.decode = nanoseconds(func() { _, err = bundle.Decode(document) })
	c.verify = nanoseconds(func() { err = errors.Join(err, bundle.Verify(document, signatures, signers())) })
	placer := placement.New(placement.Config{Entry: "entry"})
	admit := admission.NewController(1 << 20)
	now := time.Now()
	c.effect = nanoseconds(func() {
		copied := *decoded // another bundle, so that the index is built again
		err = errors.Join(err, placer.SetBundle(&copied))
		if ticket, _ := admit.Admit(now, &copied, "", 0); ticket != nil {
			ticket.Release()
		}
	})
	c.heap = heapEach(func() any {
		d, e := bundle.Decode(append([]byte(nil), document...))
		err = errors.Join(err, e)
		return d
	})
	return c, err
}

func (t *table) bundles() error {
	small, err1 := bundleCost(1, 1)
	customers, err2 := bundleCost(sizeCustomers+1, 1)
	full, err3 := bundleCost(sizeCustomers, sizeEngines)
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	per := func(a, b float64, n int) float64 { return (b - a) / float64(n) }
	t.row("bundle: document for each customer", per(small.document, customers.document, sizeCustomers), "bytes")
	t.row("bundle: document for each placed target", per(customers.document, full.document, sizeEngines), "bytes")
	t.row("bundle: decode for each customer", per(small.decode, customers.decode, sizeCustomers), "ns")
	t.row("bundle: verify 2 signatures for each customer", per(small.verify, customers.verify, sizeCustomers), "ns")
	t.row("bundle: put into effect for each customer", per(small.effect, customers.effect, sizeCustomers), "ns")
	t.row("bundle: heap for each customer, decoded", per(small.heap, customers.heap, sizeCustomers), "bytes")
	t.row("bundle at the size: document", full.document, "bytes")
	t.row("bundle at the size: record on the log", full.record, "bytes")
	t.row("bundle at the size: read the record", full.unmarshal, "ns")
	t.row("bundle at the size: decode", full.decode, "ns")
	t.row("bundle at the size: verify 2 signatures", full.verify, "ns")
	t.row("bundle at the size: put into effect", full.effect, "ns")
	t.row("bundle at the size: heap, decoded", full.heap, "bytes")
	return nil
}

// claimRecord has the form of the claim records in the log.
type claimRecord struct {
	Claims []state.Claim `cbor:"1,keyasint"`
}

func newClaim(i int) state.Claim {
	return state.Claim{
		Key: fmt.Sprintf("%064x", i), Placement: 1, Target: targetName(i % sizeEngines), Incarnation: state.Incarnation(1<<62 + i%sizeEngines),
		Attempt:     state.AttemptID{Entry: state.InstanceID(fmt.Sprintf("entry-%03d", i%sizeEntries)), Incarnation: 1 << 63, Session: 3, Seq: uint64(i)},
		Fingerprint: 1<<63 + uint64(i),
	}
}

func claimRecords(claims, batch int) ([]logstream.Record, error) {
	var records []logstream.Record
	now := time.Now()
	for i := 0; i < claims; i += batch {
		var r claimRecord
		for k := range batch {
			r.Claims = append(r.Claims, newClaim(i+k))
		}
		data, err := cbor.Marshal(&r)
		if err != nil {
			return nil, err
		}
		records = append(records, logstream.Record{Offset: uint64(len(records)), ID: logstream.NewID(), Time: now, Data: data})
	}
	return records, nil
}

func (t *table) claims() error {
	const held = 1 << 16
	for _, batch := range []int{1, 16, 256} {
		records, err := claimRecords(held, batch)
		if err != nil {
			return err
		}
		size := 0
		for _, r := range records {
			size += len(r.Data)
		}
		t.row(fmt.Sprintf("claim: record of %d claims", batch), float64(size)/float64(len(records)), "bytes")
		fold := claim.NewFold(held)
		began := time.Now()
		for _, r := range records {
			if _, err := fold.Apply(r); err != nil {
				return err
			}
		}
		t.row(fmt.Sprintf("claim: fold each claim, records of %d", batch), float64(time.Since(began))/held, "ns")
	}
	var err error
	perClaim := heap(func() any {
		fold := claim.NewFold(held)
		for i := 0; i < held; i += 256 {
			// One record at a time, so that nothing but the fold is held.
			var r claimRecord
			for k := range 256 {
				r.Claims = append(r.Claims, newClaim(i+k))
			}
			data, e := cbor.Marshal(&r)
			if e == nil {
				_, e = fold.Apply(logstream.Record{Offset: uint64(i), Time: time.Now(), Data: data})
			}
			err = errors.Join(err, e)
		}
		return fold
	}) / held
	t.row("claim: heap for each claim held", perClaim, "bytes")
	return err
}

func figures() state.LoadFigures {
	return state.LoadFigures{
		Taken: time.Now(), QueuedCount: [state.MaxTiers]int{0, 1, 2, 20}, QueuedTokens: [state.MaxTiers]int{0, 400, 900, 31000},
		RunningCount: 137, RunningTokens: 16500, Window: 140, QueueLimit: 256, PrefillRate: 40123.4, DecodeRate: 3512.7,
		LowestQueued: 3, Models: []string{modelOf(0)},
	}
}

func (t *table) placements(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var first, last float64
	for _, n := range []int{4, 8, 12, 16} {
		p := placement.New(placement.Config{Entry: "entry-000", Domain: "zone-a", Seed: 1})
		go p.Run(ctx)
		var members []state.Member
		for i := range n {
			members = append(members, state.Member{Instance: state.InstanceID(fmt.Sprintf("side-%d", i)), Role: state.SideRole, Domain: "zone-a",
				Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Target: targetName(i), Service: serviceOf(0)})
		}
		p.SetMembers(members)
		for i := range n {
			p.SessionOpened(targetName(i), 1, &state.Status{Figures: figures()})
		}
		blocks := state.PromptBlockHashes(make([]byte, 200*state.BytesPerToken))
		id := 0
		place := func() int {
			id++
			req := &state.Request{ID: state.RequestID(fmt.Sprint(id)), Kind: state.ChatCompletion, Service: serviceOf(0), Model: modelOf(0), Tier: 1, Idempotent: true, PromptTokens: 200, MaxTokens: 241}
			d, _ := p.Place(placement.Query{Request: req, Blocks: blocks, Now: time.Now()})
			return len(d.Candidates)
		}
		// The owner applies members and sessions in the background.
		for began := time.Now(); place() < n; {
			if time.Since(began) > callTimeout {
				return fmt.Errorf("placement: want %d candidates", n)
			}
			time.Sleep(time.Millisecond)
		}
		last = nanoseconds(func() { place() })
		if first == 0 {
			first = last
		}
		t.row(fmt.Sprintf("placement among %d candidates", n), last, "ns")
	}
	t.row("placement: for each candidate", (last-first)/20, "ns")
	return t.statuses(ctx)
}

// statuses measures what the owner spends on a status that arrives alone.
func (t *table) statuses(ctx context.Context) error {
	for _, n := range []int{24, 150, sizeEngines} {
		p := placement.New(placement.Config{Entry: "entry-000", Domain: "zone-a", Seed: 1})
		go p.Run(ctx)
		var members []state.Member
		for i := range n {
			members = append(members, state.Member{Instance: state.InstanceID(fmt.Sprintf("side-%d", i)), Role: state.SideRole, Domain: "zone-a",
				Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Target: targetName(i), Service: serviceOf(i % sizeModels)})
		}
		p.SetMembers(members)
		for i := range min(n, subsetOfEntry*sizeModels) {
			p.SessionOpened(targetName(i), 1, &state.Status{Figures: figures()})
		}
		time.Sleep(200 * time.Millisecond)
		const events = 400
		paced := func(f func(i int, s *state.Status)) time.Duration {
			own := cpuOfThisProcess()
			for i := range events {
				f(i, &state.Status{Figures: figures()})
				time.Sleep(time.Millisecond)
			}
			return cpuOfThisProcess() - own
		}
		// The sender and its timer are not part of the cost.
		alone := paced(func(int, *state.Status) {})
		spent := paced(func(i int, s *state.Status) { p.StatusReceived(targetName(i%subsetOfEntry), s) }) - alone
		t.row(fmt.Sprintf("placement: processor time of a status, %d targets listed", n), float64(spent)/events, "ns")
	}
	return nil
}

// blocked is a Runner whose attempts run until they are cancelled.
type blocked struct{}

func (blocked) Run(ctx context.Context, _ state.AttemptID, _ *state.Request, _ func(state.AttemptEvent)) (state.Usage, error) {
	<-ctx.Done()
	return state.Usage{}, side.ErrNotSent
}

func (b blocked) Resume(ctx context.Context, id state.AttemptID, _ uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
	return b.Run(ctx, id, nil, emit)
}
func (blocked) Cancel(context.Context, state.AttemptID) error              { return nil }
func (blocked) ListAttempts(context.Context) ([]side.TargetAttempt, error) { return nil, nil }

// queuedBody is the size of a queued request in bytes: a prompt of 200 tokens.
const queuedBody = 800

func (t *table) queued(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := side.New(side.Config{Instance: "side", Incarnation: 1, Target: "engine", Service: serviceOf(0), Log: zap.NewNop()}, blocked{})
	go s.Run(ctx)
	s.SetBundle(newBundle(1, "", 8, 1, 1))
	session, err := s.OpenSession("entry", 1, 1)
	if err != nil {
		return err
	}
	const attempts = 2000
	seq := 0
	dispatch := func() {
		seq++
		session.Dispatch(&state.Dispatch{
			Attempt: state.AttemptID{Entry: "entry", Incarnation: 1, Session: 1, Seq: uint64(seq)}, Incarnation: 1,
			Request: state.Request{ID: state.RequestID(fmt.Sprint(seq)), Kind: state.Completion, Service: serviceOf(0), Customer: state.Customer(fmt.Sprintf("customer-%d", seq%8)),
				Weight: 1, Tier: state.Tier(seq % 4), PromptTokens: 200, MaxTokens: 241, Deadline: time.Now().Add(time.Hour), Body: make([]byte, queuedBody)},
		})
	}
	queued := func() int {
		n := 0
		for _, k := range s.Figures().QueuedCount {
			n += k
		}
		return n
	}
	for began := time.Now(); queued() < 1; dispatch() {
		if time.Since(began) > callTimeout {
			return errors.New("queue: attempts are not queued")
		}
		time.Sleep(time.Millisecond)
	}
	before := seq
	bytes := heap(func() any {
		for range attempts {
			dispatch()
		}
		for began := time.Now(); queued() < attempts && time.Since(began) < callTimeout; {
			time.Sleep(10 * time.Millisecond)
		}
		return s
	})
	t.row(fmt.Sprintf("queue: heap for each queued attempt, body of %d bytes included", queuedBody), bytes/float64(seq-before), "bytes")
	own := cpuOfThisProcess()
	began := time.Now()
	time.Sleep(2 * time.Second)
	t.row("queue: processor time for each queued attempt and second", float64(cpuOfThisProcess()-own)/time.Since(began).Seconds()/attempts, "ns")
	return nil
}

func (t *table) messages() error {
	idle := figures()
	idle.QueuedCount, idle.QueuedTokens = [state.MaxTiers]int{}, [state.MaxTiers]int{}
	idle.RunningCount, idle.RunningTokens, idle.LowestQueued = 0, 0, state.NoTier
	for _, m := range []struct {
		name    string
		message protocol.Message
	}{
		{"message: status of an idle target", &state.Status{Figures: idle, BundleVersion: 1700}},
		{"message: status of a loaded target", &state.Status{Figures: figures(), BundleVersion: 1700}},
		{"message: status with 16 cache events", &state.Status{Figures: figures(), BundleVersion: 1700, Cached: make([]uint64, 0, 16)}},
		{"message: heartbeat", &protocol.Heartbeat{BundleVersion: 1700}},
		{"message: done", &state.Done{Chunks: 241, Figures: figures()}},
		{"message: chunk of one token", &state.Chunk{Offset: 200, Data: make([]byte, 180)}},
	} {
		if s, ok := m.message.(*state.Status); ok && s.Cached != nil {
			for i := range 16 {
				s.Cached = append(s.Cached, 1<<63+uint64(i))
			}
		}
		frame, err := protocol.Encode(m.message)
		if err != nil {
			return err
		}
		t.row(m.name, float64(len(frame)), "bytes")
	}
	status := &state.Status{Figures: figures(), BundleVersion: 1700}
	frame, err := protocol.Encode(status)
	if err != nil {
		return err
	}
	t.row("message: encode a status", nanoseconds(func() { _, err = protocol.Encode(status) }), "ns")
	t.row("message: decode a status", nanoseconds(func() { _, err = protocol.Decode(protocol.KindStatus, frame[5:]) }), "ns")
	return err
}

func (t *table) instances() error {
	var list struct {
		Instances []state.Member `json:"instances"`
	}
	for i := range sizeEngines {
		list.Instances = append(list.Instances, state.Member{
			Instance: state.InstanceID(fmt.Sprintf("side-%03d", i)), Role: state.SideRole, Domain: "region-a-zone-a",
			Address: fmt.Sprintf("10.20.%d.%d:7000", i/250, i%250), Target: targetName(i), Service: serviceOf(i % sizeModels),
		})
	}
	for i := range sizeEntries {
		list.Instances = append(list.Instances, state.Member{Instance: state.InstanceID(fmt.Sprintf("entry-%03d", i)), Role: state.EntryRole, Domain: "region-a-zone-a"})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	rows := float64(len(list.Instances))
	t.row("instance list: for each row", float64(len(body))/rows, "bytes")
	t.row("instance list at the size", float64(len(body)), "bytes")
	decoded := list
	t.row("instance list: decode each row", nanoseconds(func() { err = json.Unmarshal(body, &decoded) })/rows, "ns")
	t.row("instance list: heap for each row", heapEach(func() any {
		var d struct {
			Instances []state.Member `json:"instances"`
		}
		err = errors.Join(err, json.Unmarshal(body, &d))
		return d
	})/rows, "bytes")
	return err
}
