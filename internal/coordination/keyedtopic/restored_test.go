package keyedtopic

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain fixes the random sequences of the tests. Flags on the command line override
// them.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against records that are taken for those that follow although the store gave out
// their offsets again, against a topic that is listed for ever because responses state no
// era, and against listing without a pause when eras alternate.
func TestFollowAcrossEras(t *testing.T) {
	for name, c := range map[string]struct {
		eras []uint64 // of the reads; the listing is of era 1
		want []string
	}{
		"same":       {[]uint64{1, 1}, []string{"listed listed", "changed r", "changed r"}},
		"restored":   {[]uint64{1, 2}, []string{"listed listed", "changed r", "listed listed"}},
		"not stated": {[]uint64{0, 1}, []string{"listed listed", "changed r", "changed r"}},
		"falls":      {[]uint64{0, 3, 1}, []string{"listed listed", "changed r", "listed listed", "changed r"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSource{era: 1}
				for _, era := range c.eras {
					s.reads = append(s.reads, func() ([]Record, Position, error) {
						return []Record{{Key: "r"}}, Position{Era: era, Offset: 11}, nil
					})
				}
				h := &recordingHandler{}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				began := time.Now()
				lastListed := began
				s.onNewest = func() { lastListed = time.Now() }
				if err := Follow(ctx, s, Topic{Name: "t"}, h); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(c.want, h.seen); diff != "" {
					t.Errorf("events (-want +got):\n%s", diff)
				}
				if s.newest > 1 && lastListed.Sub(began) < minRetryPause {
					t.Error("no pause before the topic is listed anew")
				}
			})
		})
	}
}

// Guards against a read that waits for an offset which the store has not yet given out
// again, although another topic has shown the new era: while it waited, or before it began.
func TestEraOfOtherTopics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, h := &scriptedSource{era: 1}, &recordingHandler{}
		era, changed := uint64(1), make(chan struct{})
		restore := func() {
			era++
			s.era++
			close(changed)
			changed = make(chan struct{})
		}
		s.reads = []func() ([]Record, Position, error){
			func() ([]Record, Position, error) { // another topic shows the era before the next read
				restore()
				return []Record{{Key: "r"}}, Position{Era: 1, Offset: 11}, nil
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		time.AfterFunc(10*time.Second, restore)
		topic := Topic{Name: "t", ReadWait: time.Hour, Era: func() (uint64, <-chan struct{}) { return era, changed }}
		if err := Follow(ctx, s, topic, h); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"listed listed", "changed r", "listed listed", "listed listed"}, h.seen); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
	})
}

// Guards against a waiting read after an outage, in which the store may have come back from
// an older copy: it would not end before the offset is given out again.
func TestFirstReadAfterFailureDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{reads: []func() ([]Record, Position, error){
			func() ([]Record, Position, error) { return nil, Position{}, errors.New("down") },
			func() ([]Record, Position, error) { return nil, Position{Offset: 10}, nil },
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := Follow(ctx, s, Topic{Name: "t", ReadWait: time.Hour}, &recordingHandler{}); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]time.Duration{time.Hour, 0, time.Hour}, s.waits); diff != "" {
			t.Errorf("waits of the reads (-want +got):\n%s", diff)
		}
	})
}

// restorableSource is a topic with one key whose values are rising numbers. It can be
// copied and restored.
type restorableSource struct {
	era    uint64
	values []int
	down   bool
}

func (s *restorableSource) record(i int) Record {
	return Record{Key: "k", Value: []byte(fmt.Sprint(s.values[i])), Offset: uint64(i)}
}

func (s *restorableSource) Newest(context.Context, string) ([]Record, Position, error) {
	if s.down {
		return nil, Position{}, errors.New("down")
	}
	p := Position{Era: s.era, Offset: uint64(len(s.values))}
	if len(s.values) == 0 {
		return nil, p, nil
	}
	return []Record{s.record(len(s.values) - 1)}, p, nil
}

func (s *restorableSource) Read(_ context.Context, _ string, from Position, _ time.Duration) ([]Record, Position, error) {
	switch {
	case s.down:
		return nil, from, errors.New("down")
	case from.Offset > uint64(len(s.values)):
		return nil, from, ErrTrimmed
	}
	var records []Record
	for i := int(from.Offset); i < len(s.values); i++ {
		records = append(records, s.record(i))
	}
	return records, Position{Era: s.era, Offset: uint64(len(s.values))}, nil
}

// newestHandler keeps the highest value that it was given.
type newestHandler struct{ value int }

func (h *newestHandler) Listed(_ time.Time, records []Record, _ Position)  { h.apply(records) }
func (h *newestHandler) Changed(_ time.Time, records []Record, _ Position) { h.apply(records) }
func (h *newestHandler) Failed(time.Time, error)                           {}

func (h *newestHandler) apply(records []Record) {
	for _, r := range records {
		var n int
		fmt.Sscan(string(r.Value), &n)
		h.value = max(h.value, n)
	}
}

// Guards against a change that is never seen, in random orders of writes, copies, outages
// and restores from older copies.
func TestNoChangeIsMissedAcrossRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			s, h := &restorableSource{era: 1}, &newestHandler{}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go Follow(ctx, s, Topic{Name: "t", ReadInterval: 500 * time.Millisecond}, h)
			written, older := 0, []int(nil)
			for range rapid.IntRange(1, 30).Draw(rt, "steps") {
				switch rapid.IntRange(0, 5).Draw(rt, "step") {
				case 0, 1:
					written++
					s.values = append(s.values, written)
				case 2:
					older = append([]int(nil), s.values...)
				case 3:
					s.values, s.era = append([]int(nil), older...), s.era+1
					if rapid.Bool().Draw(rt, "written again") && written > 0 {
						s.values = append(s.values, written)
					}
				case 4:
					s.down = !s.down
				case 5:
					time.Sleep(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond)
				}
			}
			s.down = false
			written++
			s.values = append(s.values, written)
			time.Sleep(maxRetryPause + 2*time.Second)
			synctest.Wait()
			if h.value != written {
				rt.Errorf("value %d seen, want %d", h.value, written)
			}
		})
	})
}
