package logstream_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
)

// fill appends records with the ids from up to but not including to.
func fill(t testing.TB, log logstream.Log, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		if _, err := log.Append(t.Context(), "s", logstream.Entry{ID: fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against records that are skipped, repeated or out of order after an outage or
// a deletion by retention, and against a gap that is not reported.
func TestTailer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(logtest.Log)
		fill(t, log, 0, 300) // more than one page
		var got []uint64
		var gaps [][2]uint64
		atEnd := 0
		tailer := logstream.Tailer{
			Log: log, Stream: "s", Logger: zap.NewNop(),
			Fold: func(r logstream.Record) { got = append(got, r.Offset) },
			Gap:  func(from uint64, p logstream.Page) { gaps = append(gaps, [2]uint64{from, p.First}) },
			Progress: func(p logstream.Position) {
				if p.AtEnd() {
					atEnd = len(got)
				}
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- tailer.Run(ctx) }()
		synctest.Wait()
		if atEnd != 300 {
			t.Fatalf("end reported after %d records, want 300", atEnd)
		}
		log.SetDown(true)
		time.Sleep(30 * time.Second)
		log.SetDown(false)
		fill(t, log, 300, 310)
		log.Forget("s", 305)
		time.Sleep(5 * time.Second)
		fill(t, log, 310, 320)
		synctest.Wait()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v", err)
		}
		var want []uint64
		for i := range uint64(320) {
			if i < 300 || i >= 305 {
				want = append(want, i)
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("records (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([][2]uint64{{300, 305}}, gaps); diff != "" {
			t.Errorf("gaps (-want +got):\n%s", diff)
		}
	})
}

// Guards against a wrong outcome of an append when calls fail or acknowledgements are
// lost.
func TestAppendOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(logtest.Log)
		fill(t, log, 0, 300)
		appendIt := func(id string) logstream.AppendResult {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			return logstream.Append(ctx, log, "s", 10, logstream.Entry{ID: id})
		}
		log.LoseAcks(1)
		if r := appendIt("lost ack"); r.Outcome != logstream.Appended || r.Offset != 300 {
			t.Errorf("lost acknowledgement: %s at %d, want appended at 300", r.Outcome, r.Offset)
		}
		log.DropAppends(2)
		if r := appendIt("dropped"); r.Outcome != logstream.Appended || r.Offset != 301 {
			t.Errorf("dropped: %s at %d, want appended at 301", r.Outcome, r.Offset)
		}
		log.DropAppends(1000)
		if r := appendIt("dropped always"); r.Outcome != logstream.Undetermined || r.Err == nil {
			t.Errorf("dropped always: %s, want undetermined", r.Outcome)
		}
		log.DropAppends(0)
		log.SetDown(true)
		if r := appendIt("down"); r.Outcome != logstream.NotAppended || !errors.Is(r.Err, logstream.ErrNotAppended) {
			t.Errorf("down: %s (%v), want not appended", r.Outcome, r.Err)
		}
	})
}

// Guards against a reader that starts after records that it needs.
func TestSeekTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := new(logtest.Log)
		began := time.Now()
		for i := range 50 {
			fill(t, log, i, i+1)
			time.Sleep(time.Minute)
		}
		log.Forget("s", 7)
		for _, tt := range []struct {
			minute int
			want   uint64
		}{{0, 7}, {7, 7}, {8, 8}, {30, 30}, {49, 49}, {100, 50}} {
			got, err := logstream.SeekTime(t.Context(), log, "s", 7, 50, began.Add(time.Duration(tt.minute)*time.Minute))
			if err != nil || got != tt.want {
				t.Errorf("minute %d: offset %d, error %v; want %d", tt.minute, got, err, tt.want)
			}
		}
	})
}
