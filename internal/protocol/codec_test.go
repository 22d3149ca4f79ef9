package protocol

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// sampleMessages returns a message of each of most kinds.
func sampleMessages() []Message {
	id := state.AttemptID{Entry: "entry-1", Incarnation: 7, Session: 3, Seq: 9}
	deadline := time.Date(2026, 12, 3, 10, 0, 0, 123456789, time.UTC)
	return []Message{
		&Hello{Version: Version, Instance: "entry-1", Incarnation: 7, Session: 3, BundleVersion: 12},
		&Welcome{Instance: "side-1", Incarnation: 8, Target: "t1", Service: "plan-llm", Status: state.Status{Leaving: true, Cached: []uint64{1, 2}}},
		&state.Dispatch{Attempt: id, Incarnation: 8, Request: state.Request{ID: "r", Kind: state.PlainCall, Deadline: deadline, Body: []byte("x"), Headers: []state.Header{{Name: "A", Value: "b"}}}},
		&state.Attach{Attempt: id, Incarnation: 8, Offset: 4},
		&state.Chunk{Offset: 5, Data: []byte("data")},
		&state.Refused{Reason: state.ReasonQueueFull, RetryAfter: time.Second, Figures: state.LoadFigures{Taken: deadline, LowestQueued: 2}},
		&state.Failed{Reason: state.ReasonTargetSilent, OutcomeUnknown: true},
		&state.AttemptState{Phase: state.AttemptVoided, Offset: 6},
		&state.Withdraw{}, &state.Cancel{}, &state.Ack{}, &state.Started{}, &state.Progress{}, &Heartbeat{BundleVersion: 4}, &Leaving{}, &FetchBundle{},
	}
}

// Guards against a field that is lost or renamed on the wire.
func TestRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		var buf bytes.Buffer
		if err := Write(&buf, m); err != nil {
			t.Fatalf("write %T: %v", m, err)
		}
		got, err := Read(&buf)
		if err != nil {
			t.Fatalf("read %T: %v", m, err)
		}
		if diff := cmp.Diff(m, got); diff != "" {
			t.Errorf("%T changed on the wire (-sent +received):\n%s", m, diff)
		}
	}
}

// Guards against a length prefix that makes Read allocate without limit.
func TestReadRefusesLargeFrame(t *testing.T) {
	_, err := Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, byte(KindHello)}))
	if !errors.Is(err, ErrFrameTooLarge) {
		t.Fatalf("got %v, want ErrFrameTooLarge", err)
	}
}

// Guards against a truncated frame that is taken for a clean end of stream.
func TestReadTruncatedFrame(t *testing.T) {
	frame, err := Encode(&state.Chunk{Offset: 1, Data: []byte("abc")})
	if err != nil {
		t.Fatal(err)
	}
	for n := range frame {
		want := io.ErrUnexpectedEOF
		if n == 0 {
			want = io.EOF
		}
		if _, err = Read(bytes.NewReader(frame[:n])); !errors.Is(err, want) {
			t.Errorf("%d of %d bytes: error %v, want %v", n, len(frame), err, want)
		}
	}
}

// Guards against panics and unbounded work in the decoder on malicious input.
func FuzzRead(f *testing.F) {
	for _, m := range sampleMessages() {
		frame, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte{0, 0, 0, 1, byte(KindWithdraw)})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Read(bytes.NewReader(b))
		if (m == nil) == (err == nil) {
			t.Fatalf("message %v with error %v", m, err)
		}
	})
}
