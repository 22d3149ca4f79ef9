package bundle

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// reader simulates one process, whose fold has read the stream up to next.
type reader struct {
	fold *Fold
	next int
	// inEffect is the bundle in effect in the process; it may be older than the one
	// that is in effect according to the log.
	inEffect *DecodedBundle
	// pendingCheckpoints were made but not appended yet, as by a paused process.
	pendingCheckpoints []Record
}

// history is a stream with its readers. fullFold folds every record.
type history struct {
	t             *rapid.T
	records       []logstream.Record
	first         int // oldest retained offset
	fullFold      *Fold
	acceptedHeads []*DecodedBundle // heads of fullFold in the order of acceptance
	readers       []*reader
}

func (h *history) append(rec Record) {
	data, err := rec.Marshal()
	if err != nil {
		h.t.Fatal(err)
	}
	r := logstream.Record{Offset: uint64(len(h.records)), ID: fmt.Sprint(len(h.records)), Time: time.Unix(int64(len(h.records)), 0), Data: data}
	h.records = append(h.records, r)
	if d := h.fullFold.Apply(r); d.HeadChanged && d.Kind == Proposal {
		h.acceptedHeads = append(h.acceptedHeads, h.fullFold.Head())
	}
}

// read lets r read up to n records.
func (h *history) read(r *reader, n int) {
	if r.next < h.first {
		r.fold.SkipTo(uint64(h.first))
		r.next = h.first
	}
	for ; n > 0 && r.next < len(h.records); n-- {
		r.fold.Apply(h.records[r.next])
		r.next++
	}
}

// install puts a into effect by the rule of Store.install.
func (r *reader) install(a *DecodedBundle) {
	if a.supersedes(r.inEffect) {
		r.inEffect = a
	}
}

// atEndWithHead reports whether r has read the stream to its end and has a head that
// it may put into effect.
func (h *history) atEndWithHead(r *reader) bool {
	return r.next == len(h.records) && r.next >= h.first && r.fold.HistoryComplete() && r.fold.Head() != nil
}

// Guards against processes that put different bundles into effect after random
// proposals, late checkpoints, offers between processes, retention and restarts.
func TestFoldAgreement(t *testing.T) {
	docs := make(map[string][]byte) // signing and encoding are done once per document
	sigs := make(map[string][]state.Signature)
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{t: rt, fullFold: NewFold(initial)}
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
		randomReader := func() *reader { return rapid.SampledFrom(h.readers).Draw(rt, "reader") }
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"propose", "propose", "propose early", "read", "read", "catch up", "make checkpoint", "append checkpoint", "offer", "forget", "restart"}).Draw(rt, "step") {
			case "propose":
				base := rapid.SampledFrom(h.acceptedHeads[max(0, len(h.acceptedHeads)-3):]).Draw(rt, "base")
				h.append(proposal(base.Version+1, base.ID, rapid.IntRange(0, 2).Draw(rt, "note")))
			case "propose early": // on a base that is not accepted yet and may never be
				head := h.fullFold.Head()
				next := proposal(head.Version+1, head.ID, rapid.IntRange(0, 2).Draw(rt, "note"))
				h.append(proposal(head.Version+2, ID(next.Document), 0))
			case "read":
				h.read(randomReader(), rapid.IntRange(1, 3).Draw(rt, "n"))
			case "catch up":
				h.read(randomReader(), len(h.records))
			case "make checkpoint":
				if r := randomReader(); h.atEndWithHead(r) {
					head := r.fold.Head()
					r.pendingCheckpoints = append(r.pendingCheckpoints, Record{Kind: Checkpoint, Document: head.Document, Signatures: head.Signatures, AcceptedOffset: head.Offset, InEffectUntil: r.fold.NextOffset()})
				}
			case "append checkpoint":
				if r := randomReader(); len(r.pendingCheckpoints) > 0 {
					h.append(r.pendingCheckpoints[0])
					r.pendingCheckpoints = r.pendingCheckpoints[1:]
				}
			case "offer":
				if from, to := randomReader(), randomReader(); from.inEffect != nil {
					a := *from.inEffect
					to.fold.Adopt(&a, a.Offset+1)
					to.install(&a)
				}
			case "forget":
				h.first = min(len(h.records), h.first+rapid.IntRange(1, 6).Draw(rt, "n"))
			case "restart":
				r := randomReader()
				r.fold, r.next, r.inEffect = NewFold(initial), 0, nil // the pending checkpoints stay, as those of another paused process
			}
			for i, r := range h.readers {
				if !h.atEndWithHead(r) {
					continue
				}
				if head := r.fold.Head(); head.ID != h.fullFold.Head().ID || head.Offset != h.fullFold.Head().Offset {
					rt.Fatalf("reader %d at the end has version %d accepted at %d, the whole log says version %d at %d",
						i, head.Version, head.Offset, h.fullFold.Head().Version, h.fullFold.Head().Offset)
				}
				r.install(r.fold.Head())
			}
		}
	})
}
