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

// localCommand measures slopes inside this process.
type localCommand struct{}

// The size of the deployment that docs/CAPACITY.md calculates.
const (
	capacityCustomers = 930
	capacityEngines   = 600
	capacityEntries   = 380
	capacityModels    = 4
)

func (*localCommand) run(ctx context.Context, out io.Writer) error {
	t := &table{w: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	return errors.Join(t.measureBundles(), t.measureClaims(), t.measurePlacement(ctx), t.measureQueue(ctx), t.measureMessages(), t.measureInstanceList(), t.measureLogTraffic(ctx), t.measureSessionSetup(ctx), t.w.Flush())
}

// table prints rows of name, value and unit.
type table struct{ w *tabwriter.Writer }

func (t *table) row(name string, value float64, unit string) {
	fmt.Fprintf(t.w, "%s\t%.4g\t%s\n", name, value, unit)
}

// nanosecondsPerCall returns the mean time of one call of f, over calls for about
// 200 ms.
func nanosecondsPerCall(f func()) float64 {
	f()
	began, n := time.Now(), 0
	for time.Since(began) < 200*time.Millisecond {
		f()
		n++
	}
	return float64(time.Since(began)) / float64(n)
}

// heapCopies is the number of equal values in one measurement of memory. With a single
// value, garbage of earlier measurements that is freed meanwhile would distort the
// result.
const heapCopies = 8

// heapPerValue returns the bytes of heap that one value returned by f keeps alive.
func heapPerValue(f func() any) float64 {
	return heapGrowth(func() any {
		var held [heapCopies]any
		for i := range held {
			held[i] = f()
		}
		return held
	}) / heapCopies
}

// heapGrowth returns the bytes of heap that the result of f keeps alive.
func heapGrowth(f func() any) float64 {
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

// bundleCost holds the costs of one bundle: sizes and heap in bytes, times in
// nanoseconds.
type bundleCost struct{ document, record, unmarshal, decode, verify, effect, heap float64 }

func measureBundleCost(customers, placements int) (bundleCost, error) {
	b := newBundle(1, "", customers, capacityModels, placements)
	document, signatures, err := sign(b)
	if err != nil {
		return bundleCost{}, err
	}
	record, err := (&bundle.Record{Kind: bundle.Proposal, Document: document, Signatures: signatures}).Marshal()
	if err != nil {
		return bundleCost{}, err
	}
	decoded, err := bundle.Decode(document)
	if err != nil {
		return bundleCost{}, err
	}
	c := bundleCost{document: float64(len(document)), record: float64(len(record))}
	c.unmarshal = nanosecondsPerCall(func() { _, err = bundle.UnmarshalRecord(record) })
	c.decode = nanosecondsPerCall(func() { _, err = bundle.Decode(document) })
	c.verify = nanosecondsPerCall(func() { err = errors.Join(err, bundle.Verify(document, signatures, signers())) })
	placer := placement.New(placement.Config{Entry: "entry"})
	admissions := admission.NewController(1 << 20)
	now := time.Now()
	c.effect = nanosecondsPerCall(func() {
		copied := *decoded // a different bundle, so that the index is built again
		err = errors.Join(err, placer.SetBundle(&copied))
		if ticket, _ := admissions.Admit(now, &copied, "", 0); ticket != nil {
			ticket.Release()
		}
	})
	c.heap = heapPerValue(func() any {
		d, e := bundle.Decode(append([]byte(nil), document...))
		err = errors.Join(err, e)
		return d
	})
	return c, err
}

func (t *table) measureBundles() error {
	small, err1 := measureBundleCost(1, 1)
	customers, err2 := measureBundleCost(capacityCustomers+1, 1)
	full, err3 := measureBundleCost(capacityCustomers, capacityEngines)
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	per := func(a, b float64, n int) float64 { return (b - a) / float64(n) }
	t.row("bundle: document for each customer", per(small.document, customers.document, capacityCustomers), "bytes")
	t.row("bundle: document for each placed target", per(customers.document, full.document, capacityEngines), "bytes")
	t.row("bundle: decode for each customer", per(small.decode, customers.decode, capacityCustomers), "ns")
	t.row("bundle: verify 2 signatures for each customer", per(small.verify, customers.verify, capacityCustomers), "ns")
	t.row("bundle: put into effect for each customer", per(small.effect, customers.effect, capacityCustomers), "ns")
	t.row("bundle: heap for each customer, decoded", per(small.heap, customers.heap, capacityCustomers), "bytes")
	t.row("bundle at the size: document", full.document, "bytes")
	t.row("bundle at the size: record on the log", full.record, "bytes")
	t.row("bundle at the size: read the record", full.unmarshal, "ns")
	t.row("bundle at the size: decode", full.decode, "ns")
	t.row("bundle at the size: verify 2 signatures", full.verify, "ns")
	t.row("bundle at the size: put into effect", full.effect, "ns")
	t.row("bundle at the size: heap, decoded", full.heap, "bytes")
	return nil
}

// claimRecord has the encoding of the claim records in the log.
type claimRecord struct {
	Claims []state.Claim `cbor:"1,keyasint"`
}

func newClaim(i int) state.Claim {
	return state.Claim{
		Key: fmt.Sprintf("%064x", i), Placement: 1, Target: targetName(i % capacityEngines), Incarnation: state.Incarnation(1<<62 + i%capacityEngines),
		Attempt:     state.AttemptID{Entry: state.InstanceID(fmt.Sprintf("entry-%03d", i%capacityEntries)), Incarnation: 1 << 63, Session: 3, Seq: uint64(i)},
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

func (t *table) measureClaims() error {
	const claimCount = 1 << 16
	for _, batch := range []int{1, 16, 256} {
		records, err := claimRecords(claimCount, batch)
		if err != nil {
			return err
		}
		size := 0
		for _, r := range records {
			size += len(r.Data)
		}
		t.row(fmt.Sprintf("claim: record of %d claims", batch), float64(size)/float64(len(records)), "bytes")
		fold := claim.NewFold(claimCount)
		began := time.Now()
		for _, r := range records {
			if _, err := fold.Apply(r); err != nil {
				return err
			}
		}
		t.row(fmt.Sprintf("claim: fold each claim, records of %d", batch), float64(time.Since(began))/claimCount, "ns")
	}
	var err error
	perClaim := heapGrowth(func() any {
		fold := claim.NewFold(claimCount)
		for i := 0; i < claimCount; i += 256 {
			// One record at a time, so that only the fold stays alive.
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
	}) / claimCount
	t.row("claim: heap for each claim held", perClaim, "bytes")
	return err
}

func figures() state.LoadFigures {
	return state.LoadFigures{
		Taken: time.Now(), QueuedCount: [state.MaxTiers]int{0, 1, 2, 20}, QueuedTokens: [state.MaxTiers]int{0, 400, 900, 31000},
		RunningCount: 137, RunningTokens: 16500, Window: 140, QueueLimit: 256, PrefillRate: 40123.4, DecodeRate: 3512.7,
		LowestQueued: 3, Models: []string{modelName(0)},
	}
}

func (t *table) measurePlacement(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var first, last float64
	for _, n := range []int{4, 8, 12, 16} {
		p := placement.New(placement.Config{Entry: "entry-000", Domain: "zone-a", Seed: 1})
		go p.Run(ctx)
		var members []state.Member
		for i := range n {
			members = append(members, state.Member{Instance: state.InstanceID(fmt.Sprintf("side-%d", i)), Role: state.SideRole, Domain: "zone-a",
				Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Target: targetName(i), Service: serviceName(0)})
		}
		p.SetMembers(members)
		for i := range n {
			p.SessionOpened(targetName(i), 1, &state.Status{Figures: figures()})
		}
		blocks := state.PromptBlockHashes(make([]byte, 200*state.BytesPerToken))
		id := 0
		place := func() int {
			id++
			req := &state.Request{ID: state.RequestID(fmt.Sprint(id)), Kind: state.ChatCompletion, Service: serviceName(0), Model: modelName(0), Tier: 1, Idempotent: true, PromptTokens: 200, MaxTokens: 241}
			d, _ := p.Place(placement.Query{Request: req, Blocks: blocks, Now: time.Now()})
			return len(d.Candidates)
		}
		// The goroutine of Run applies members and sessions in the background.
		for began := time.Now(); place() < n; {
			if time.Since(began) > callTimeout {
				return fmt.Errorf("placement: want %d candidates", n)
			}
			time.Sleep(time.Millisecond)
		}
		last = nanosecondsPerCall(func() { place() })
		if first == 0 {
			first = last
		}
		t.row(fmt.Sprintf("placement among %d candidates", n), last, "ns")
	}
	t.row("placement: for each candidate", (last-first)/20, "ns")
	return t.measureStatuses(ctx)
}

// measureStatuses measures the processor time that the goroutine of Run spends on a
// status that arrives alone.
func (t *table) measureStatuses(ctx context.Context) error {
	for _, n := range []int{24, 150, capacityEngines} {
		p := placement.New(placement.Config{Entry: "entry-000", Domain: "zone-a", Seed: 1})
		go p.Run(ctx)
		var members []state.Member
		for i := range n {
			members = append(members, state.Member{Instance: state.InstanceID(fmt.Sprintf("side-%d", i)), Role: state.SideRole, Domain: "zone-a",
				Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Target: targetName(i), Service: serviceName(i % capacityModels)})
		}
		p.SetMembers(members)
		for i := range min(n, maxTargetsPerService*capacityModels) {
			p.SessionOpened(targetName(i), 1, &state.Status{Figures: figures()})
		}
		time.Sleep(200 * time.Millisecond)
		const events = 400
		cpuOfEvents := func(f func(i int, s *state.Status)) time.Duration {
			cpuBefore := ownCPUTime()
			for i := range events {
				f(i, &state.Status{Figures: figures()})
				time.Sleep(time.Millisecond)
			}
			return ownCPUTime() - cpuBefore
		}
		// The processor time of the sender and its timer is subtracted.
		senderCPU := cpuOfEvents(func(int, *state.Status) {})
		spent := cpuOfEvents(func(i int, s *state.Status) { p.StatusReceived(targetName(i%maxTargetsPerService), s) }) - senderCPU
		t.row(fmt.Sprintf("placement: processor time of a status, %d targets listed", n), float64(spent)/events, "ns")
	}
	return nil
}

// blockingRunner is a side.Runner whose attempts run until they are cancelled.
type blockingRunner struct{}

func (blockingRunner) Run(ctx context.Context, _ state.AttemptID, _ *state.Request, _ func(state.AttemptEvent)) (state.Usage, error) {
	<-ctx.Done()
	return state.Usage{}, side.ErrNotSent
}

func (b blockingRunner) Resume(ctx context.Context, id state.AttemptID, _ uint64, emit func(state.AttemptEvent)) (state.Usage, error) {
	return b.Run(ctx, id, nil, emit)
}
func (blockingRunner) Cancel(context.Context, state.AttemptID) error              { return nil }
func (blockingRunner) ListAttempts(context.Context) ([]side.TargetAttempt, error) { return nil, nil }

// queuedBodyBytes is the size of the body of a queued request: a prompt of 200 tokens.
const queuedBodyBytes = 800

func (t *table) measureQueue(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := side.New(side.Config{Instance: "side", Incarnation: 1, Target: "engine", Service: serviceName(0), Log: zap.NewNop()}, blockingRunner{})
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
			Request: state.Request{ID: state.RequestID(fmt.Sprint(seq)), Kind: state.Completion, Service: serviceName(0), Customer: state.Customer(fmt.Sprintf("customer-%d", seq%8)),
				Weight: 1, Tier: state.Tier(seq % 4), PromptTokens: 200, MaxTokens: 241, Deadline: time.Now().Add(time.Hour), Body: make([]byte, queuedBodyBytes)},
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
			return errors.New("queue: the first attempt is not queued in time")
		}
		time.Sleep(time.Millisecond)
	}
	before := seq
	bytes := heapGrowth(func() any {
		for range attempts {
			dispatch()
		}
		for began := time.Now(); queued() < attempts && time.Since(began) < callTimeout; {
			time.Sleep(10 * time.Millisecond)
		}
		return s
	})
	t.row(fmt.Sprintf("queue: heap for each queued attempt, body of %d bytes included", queuedBodyBytes), bytes/float64(seq-before), "bytes")
	cpuBefore := ownCPUTime()
	began := time.Now()
	time.Sleep(2 * time.Second)
	t.row("queue: processor time for each queued attempt and second", float64(ownCPUTime()-cpuBefore)/time.Since(began).Seconds()/attempts, "ns")
	return nil
}

func (t *table) measureMessages() error {
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
	t.row("message: encode a status", nanosecondsPerCall(func() { _, err = protocol.Encode(status) }), "ns")
	t.row("message: decode a status", nanosecondsPerCall(func() { _, err = protocol.Decode(protocol.KindStatus, frame[5:]) }), "ns")
	return err
}

func (t *table) measureInstanceList() error {
	var list struct {
		Instances []state.Member `json:"instances"`
	}
	for i := range capacityEngines {
		list.Instances = append(list.Instances, state.Member{
			Instance: state.InstanceID(fmt.Sprintf("side-%03d", i)), Role: state.SideRole, Domain: "region-a-zone-a",
			Address: fmt.Sprintf("10.20.%d.%d:7000", i/250, i%250), Target: targetName(i), Service: serviceName(i % capacityModels),
		})
	}
	for i := range capacityEntries {
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
	t.row("instance list: decode each row", nanosecondsPerCall(func() { err = json.Unmarshal(body, &decoded) })/rows, "ns")
	t.row("instance list: heap for each row", heapPerValue(func() any {
		var d struct {
			Instances []state.Member `json:"instances"`
		}
		err = errors.Join(err, json.Unmarshal(body, &d))
		return d
	})/rows, "bytes")
	return err
}
