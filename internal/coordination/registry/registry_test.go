package registry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// source answers reads from a script and then waits.
type source struct {
	newest int
	from   []uint64 // offsets that were read from
	reads  []func() ([]Record, uint64, error)
}

func (s *source) Newest(context.Context, string) ([]Record, uint64, error) {
	s.newest++
	return []Record{{Key: "listed"}}, uint64(10 * s.newest), nil
}

func (s *source) Read(ctx context.Context, _ string, from uint64, _ time.Duration) ([]Record, uint64, error) {
	s.from = append(s.from, from)
	if len(s.reads) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	read := s.reads[0]
	s.reads = s.reads[1:]
	return read()
}

// handler records what it is told.
type handler struct{ seen []string }

func (h *handler) Listed(_ time.Time, r []Record, _ uint64) {
	h.seen = append(h.seen, "listed "+r[0].Key)
}
func (h *handler) Changed(_ time.Time, r []Record, _ uint64) {
	for _, record := range r {
		h.seen = append(h.seen, "changed "+record.Key)
	}
}
func (h *handler) Failed(time.Time, error) { h.seen = append(h.seen, "failed") }

// Guards against a follower that stops at an outage, misses what it did not read
// because the store forgot it, or asks without a pause.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := func() ([]Record, uint64, error) { return nil, 0, errors.New("down") }
		s := &source{reads: []func() ([]Record, uint64, error){
			func() ([]Record, uint64, error) { return []Record{{Key: "a"}}, 11, nil },
			down, down,
			func() ([]Record, uint64, error) { return nil, 0, ErrTrimmed },
			func() ([]Record, uint64, error) { return []Record{{Key: "b"}}, 21, nil },
		}}
		h := &handler{}
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
		if time.Since(began) < 3*firstPause {
			t.Error("no pause after failed calls")
		}
	})
}

// Guards against content that was replaced from elsewhere while reading goes on
// from another offset than the one up to which the replacement is complete: what
// lies between would be missing (DRAIN on trouble-1 of tbl-plan-grown).
func TestResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{}
		for range 3 {
			s.reads = append(s.reads, func() ([]Record, uint64, error) { return nil, 10, nil })
		}
		replaced := false
		resume := func() (uint64, bool) {
			was := replaced
			replaced = false
			return 7, was
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		time.AfterFunc(1500*time.Millisecond, func() { replaced = true })
		if err := Follow(ctx, s, Topic{Name: "t", Interval: time.Second, Resume: resume}, &handler{}); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]uint64{10, 7, 10, 10}, s.from); diff != "" {
			t.Errorf("offsets that were read from (-want +got):\n%s", diff)
		}
	})
}

// Guards against reads that are spared although nobody else knows the content.
func TestSkip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := 0
		s := &source{}
		for range 5 {
			s.reads = append(s.reads, func() ([]Record, uint64, error) { reads++; return nil, 10, nil })
		}
		skip := true
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		time.AfterFunc(2*time.Second, func() {
			if s.newest != 1 || reads != 0 {
				t.Errorf("%d listings and %d reads while reads are spared, want 1 and 0", s.newest, reads)
			}
			skip = false
		})
		if err := Follow(ctx, s, Topic{Name: "t", Interval: time.Second, Skip: func() bool { return skip }}, &handler{}); err != nil {
			t.Fatal(err)
		}
		if reads < 2 {
			t.Errorf("%d reads after reads were needed again", reads)
		}
	})
}
