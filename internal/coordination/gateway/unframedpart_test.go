package gateway

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a stream without length or chunks that has a part of its next event behind the last one, and
// whose end is not decided by what the next target has: the bytes may be the beginning of an event that was
// broken off, or come behind a whole stream, and nothing else tells which (docs/design/target-ends.md, Limits).
func TestResumptionBehindPartOfUnframedEventDecides(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	rest := events[len(first):]
	unframed := func(body string) behaviour {
		return func(context.Context, *Forward) (Exchange, error) {
			head := &state.Response{Status: 200, HasSignature: true, EndsWithConnection: true}
			return &fakeExchange{head: head, Reader: io.MultiReader(strings.NewReader(body))}, nil
		}
	}
	var cases []streamCase
	for name, part := range map[string]string{"inside the data": "id: 2\nda", "before the blank line": "id: 2\ndata: b\n"} {
		begin := unframed(first + part)
		cases = append(cases,
			streamCase{name + ", nothing is left", "/resume/x", []behaviour{begin, respondWith(200, "")}, first, true, false, 0, []string{"", "1"}},
			streamCase{name + ", the rest follows", "/resume/x", []behaviour{begin, respondWith(200, rest)}, events, true, false, 0, []string{"", "1"}},
			streamCase{name + ", the rest is broken off", "/resume/x", []behaviour{begin, truncated("")}, first, false, true, 0, []string{"", "1"}},
			streamCase{name + ", the next target ends", "/resume/x", []behaviour{begin, endingWithTarget("")}, first, false, true, 0, []string{"", "1"}},
			streamCase{name + ", the next target is silent", "/resume/x", []behaviour{begin, endingWithLiveness(Unproved, "")}, first, false, true, 0, []string{"", "1"}},
			streamCase{name + ", may not be resumed", "/stream/x", []behaviour{begin}, first, false, true, 0, []string{""}},
		)
	}
	checkStreams(t, append(cases,
		streamCase{"between two events, for comparison", "/resume/x", []behaviour{unframed(first), respondWith(200, "")}, first, true, false, 0, []string{""}},
	))
}
