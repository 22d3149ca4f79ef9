package eventstream

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// readAll returns the events of a stream up to its first error.
func readAll(in io.Reader) (list []string, err error) {
	r := NewReader(in, 16<<10, nil)
	for {
		ev, err := r.Next()
		if err != nil {
			return list, err
		}
		list = append(list, string(ev))
	}
}

// Guards against an event that is returned before its blank line has come, wherever the stream
// ends and however it arrives.
func TestEventIsReturnedOnlyWithItsBlankLine(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		var whole []string
		for _, length := range []int{10, 4095, 4096, 4097} {
			whole = append(whole, "id: 7"+end+"data: "+strings.Repeat("x", length-len("data: "))+end+end)
		}
		stream := strings.Join(whole, "")
		complete, begun := 0, 0 // events in the first n bytes, and bytes of the next one
		for n := range len(stream) + 1 {
			wantErr := ErrEndsInsideEvent
			if begun == 0 {
				wantErr = io.EOF
			}
			got, err := readAll(strings.NewReader(stream[:n]))
			if !slices.Equal(got, whole[:complete]) || !errors.Is(err, wantErr) {
				t.Fatalf("%d bytes with line end %q: %d events and error %v, want %d and %v", n, end, len(got), err, complete, wantErr)
			}
			if begun++; complete < len(whole) && begun == len(whole[complete]) {
				complete, begun = complete+1, 0
			}
		}
		if got, err := readAll(iotest.OneByteReader(strings.NewReader(stream))); !slices.Equal(whole, got) || err != io.EOF {
			t.Errorf("byte by byte with line end %q: %d events and error %v", end, len(got), err)
		}
	}
}

// Guards against memory that an endless event takes without bound.
func TestEventIsBounded(t *testing.T) {
	errNoMemory := errors.New("no memory")
	for _, want := range []error{ErrTooLong, errNoMemory} {
		reserve := func(int) error { return nil }
		if want == errNoMemory {
			reserve = func(n int) error {
				if n > 1000 {
					return errNoMemory
				}
				return nil
			}
		}
		r := NewReader(strings.NewReader("data: "+strings.Repeat("x", 20000)), 10000, reserve)
		if _, err := r.Next(); err != want {
			t.Errorf("error %v, want %v", err, want)
		}
	}
}

// Guards against fields that are read from comments, and against data of several lines that is
// taken for several events.
func TestFields(t *testing.T) {
	ev := Event(": id: 1\nid:2\r\ndata: a\ndata\ndata:  b\n\n")
	var names []string
	for name, value := range ev.Fields() {
		names = append(names, name+"="+string(value))
	}
	if diff := cmp.Diff([]string{"id=2", "data=a", "data=", "data= b"}, names); diff != "" {
		t.Errorf("fields (-want +got):\n%s", diff)
	}
	if data, ok := ev.Data(); !ok || string(data) != "a\n\n b" {
		t.Errorf("data %q, %t", data, ok)
	}
}
