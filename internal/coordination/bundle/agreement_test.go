package bundle

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// reader is one process: a fold that has read the stream up to next.
type reader struct {
	fold *Fold
	next int
	// effect is the bundle in effect; it may be older than the log's.
	effect *Accepted
	// held are checkpoints made but not appended yet, as by a paused process.
	held []Record
}

// history is a stream with its readers.
type history struct {
	t       *rapid.T
	records []logstream.Record
	first   int // oldest retained offset
	truth   *Fold
	chain   []*Accepted // heads of truth, by order of acceptance
	readers []*reader
}

func (h *history) append(rec Record) {
	data, err := rec.Marshal()
	if err != nil {
		h.t.Fatal(err)
	}
	r := logstream.Record{Offset: uint64(len(h.records)), ID: fmt.Sprint(len(h.records)), Time: time.Unix(int64(len(h.records)), 0), Data: data}
	h.records = append(h.records, r)
	if d := h.truth.Apply(r); d.Changed && d.Kind == Proposal {
		h.chain = append(h.chain, h.truth.Head())
	}
}

// read lets r read up to n records.
func (h *history) read(r *reader, n int) {
	if r.next < h.first {
		r.fold.Gap(uint64(h.first))
		r.next = h.first
	}
	for ; n > 0 && r.next < len(h.records); n-- {
		r.fold.Apply(h.records[r.next])
		r.next++
	}
}

// install puts a into effect as a store does.
func (r *reader) install(a *Accepted) {
	if a.supersedes(r.effect) {
		r.effect = a
	}
}

// settled reports whether r has a head that it may put into effect from the log.
func (h *history) settled(r *reader) bool {
	return r.next == len(h.records) && r.next >= h.first && r.fold.Connected() && r.fold.Head() != nil
}

// Guards against two processes that put different bundles into effect,
// whatever the proposals, stale checkpoints, offers, retention and restarts.
func TestFoldAgreement(t *testing.T) {
	docs := make(map[string][]byte) // signing and encoding are done once per document
	sigs := make(map[string][]state.Signature)
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{t: rt, truth: NewFold(initial)}
		proposal := func(version uint64, base state.BundleID, note int) Record {
			key := fmt.Sprint(version, base, note)
			if docs[key] == nil {
				docs[key] = document(t, version, base, fmt.Sprint(note))
				sigs[key] = sign(t, docs[key], "anna", "ben")
			}
			return Record{Kind: Proposal, Document: docs[key], Signatures: sigs[key]}
		}
		h.append(proposal(1, "", 0))
		for range 3 {
			h.readers = append(h.readers, &reader{fold: NewFold(initial)})
		}
		pick := func() *reader { return rapid.SampledFrom(h.readers).Draw(rt, "reader") }
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"propose", "propose", "propose early", "read", "read", "catch up", "make checkpoint", "append checkpoint", "offer", "forget", "restart"}).Draw(rt, "step") {
			case "propose":
				base := rapid.SampledFrom(h.chain[max(0, len(h.chain)-3):]).Draw(rt, "base")
				h.append(proposal(base.Version+1, base.ID, rapid.IntRange(0, 2).Draw(rt, "note")))
			case "propose early": // on top of a bundle that is not accepted yet, and may never be
				head := h.truth.Head()
				next := proposal(head.Version+1, head.ID, rapid.IntRange(0, 2).Draw(rt, "note"))
				h.append(proposal(head.Version+2, ID(next.Document), 0))
			case "read":
				h.read(pick(), rapid.IntRange(1, 3).Draw(rt, "n"))
			case "catch up":
				h.read(pick(), len(h.records))
			case "make checkpoint":
				if r := pick(); h.settled(r) {
					head := r.fold.Head()
					r.held = append(r.held, Record{Kind: Checkpoint, Document: head.Document, Signatures: head.Signatures, Accepted: head.Offset, Through: r.fold.Next()})
				}
			case "append checkpoint":
				if r := pick(); len(r.held) > 0 {
					h.append(r.held[0])
					r.held = r.held[1:]
				}
			case "offer":
				if from, to := pick(), pick(); from.effect != nil {
					a := *from.effect
					to.fold.Adopt(&a, a.Offset+1)
					to.install(&a)
				}
			case "forget":
				h.first = min(len(h.records), h.first+rapid.IntRange(1, 6).Draw(rt, "n"))
			case "restart":
				r := pick()
				r.fold, r.next, r.effect = NewFold(initial), 0, nil // held checkpoints stand for another paused process
			}
			for i, r := range h.readers {
				if !h.settled(r) {
					continue
				}
				if head := r.fold.Head(); head.ID != h.truth.Head().ID || head.Offset != h.truth.Head().Offset {
					rt.Fatalf("reader %d at the end has version %d accepted at %d, the whole log says version %d at %d",
						i, head.Version, head.Offset, h.truth.Head().Version, h.truth.Head().Offset)
				}
				r.install(r.fold.Head())
			}
		}
	})
}
