package keyedtopic

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// scriptedSource answers each read by the next function of reads, and blocks when none
// is left.
type scriptedSource struct {
	newest   int
	era      uint64          // of the listings
	onNewest func()          // called for each listing; may be nil
	waits    []time.Duration // of the reads
	from     []uint64        // offsets that were read from
	reads    []func() ([]Record, Position, error)
}

func (s *scriptedSource) Newest(context.Context, string) ([]Record, Position, error) {
	s.newest++
	if s.onNewest != nil {
		s.onNewest()
	}
	return []Record{{Key: "listed"}}, Position{Era: s.era, Offset: uint64(10 * s.newest)}, nil
}

func (s *scriptedSource) Read(ctx context.Context, _ string, from Position, wait time.Duration) ([]Record, Position, error) {
	s.waits = append(s.waits, wait)
	s.from = append(s.from, from.Offset)
	if len(s.reads) == 0 {
		<-ctx.Done()
		return nil, Position{}, ctx.Err()
	}
	read := s.reads[0]
	s.reads = s.reads[1:]
	return read()
}

// recordingHandler records the calls of its methods.
type recordingHandler struct{ seen []string }

func (h *recordingHandler) Listed(_ time.Time, r []Record, _ Position) {
	h.seen = append(h.seen, "listed "+r[0].Key)
}
func (h *recordingHandler) Changed(_ time.Time, r []Record, _ Position) {
	for _, record := range r {
		h.seen = append(h.seen, "changed "+record.Key)
	}
}
func (h *recordingHandler) Failed(time.Time, error) { h.seen = append(h.seen, "failed") }

// Guards against a follower that stops at an outage, misses records that the store
// trimmed before they were read, or retries without a pause.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := func() ([]Record, Position, error) { return nil, Position{}, errors.New("down") }
		s := &scriptedSource{reads: []func() ([]Record, Position, error){
			func() ([]Record, Position, error) { return []Record{{Key: "a"}}, Position{Offset: 11}, nil },
			down, down,
			func() ([]Record, Position, error) { return nil, Position{}, ErrTrimmed },
			func() ([]Record, Position, error) { return []Record{{Key: "b"}}, Position{Offset: 21}, nil },
		}}
		h := &recordingHandler{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		if err := Follow(ctx, s, Topic{Name: "t"}, h); err != nil {
			t.Fatal(err)
		}
		want := []string{"listed listed", "changed a", "failed", "failed", "listed listed", "changed b"}
		if diff := cmp.Diff(want, h.seen); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
		if time.Since(began) < 3*minRetryPause {
			t.Error("no pause after failed calls")
		}
	})
}

// Guards against continuing to read at another offset than the one up to which
// content that was replaced from elsewhere is complete. The records in between would
// be missed, so that, for example, a target that drains would still get work.
func TestResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{}
		for range 3 {
			s.reads = append(s.reads, func() ([]Record, Position, error) { return nil, Position{Offset: 10}, nil })
		}
		replaced := false
		resume := func() (Position, bool) {
			was := replaced
			replaced = false
			return Position{Offset: 7}, was
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		time.AfterFunc(1500*time.Millisecond, func() { replaced = true })
		if err := Follow(ctx, s, Topic{Name: "t", ReadInterval: time.Second, ResumeFrom: resume}, &recordingHandler{}); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]uint64{10, 7, 10, 10}, s.from); diff != "" {
			t.Errorf("offsets that were read from (-want +got):\n%s", diff)
		}
	})
}

// Guards against reads while SkipRead reports that they are unnecessary, and against
// no reads once they are needed again.
func TestSkipRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := 0
		s := &scriptedSource{}
		for range 5 {
			s.reads = append(s.reads, func() ([]Record, Position, error) { reads++; return nil, Position{Offset: 10}, nil })
		}
		skip := true
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		time.AfterFunc(2*time.Second, func() {
			if s.newest != 1 || reads != 0 {
				t.Errorf("%d listings and %d reads while reads are skipped, want 1 and 0", s.newest, reads)
			}
			skip = false
		})
		if err := Follow(ctx, s, Topic{Name: "t", ReadInterval: time.Second, SkipRead: func() bool { return skip }}, &recordingHandler{}); err != nil {
			t.Fatal(err)
		}
		if reads < 2 {
			t.Errorf("%d reads after they were needed again, want at least 2", reads)
		}
	})
}
