package gateway

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a stream without length or chunks that broke off inside an event, whose number follows
// that of the last one, and that is passed on as complete because the next target answers with no event.
func TestResumptionBehindPartOfUnframedEventHasEvent(t *testing.T) {
	first := events[:strings.Index(events, "id: 2")]
	unframed := func(body string) behaviour {
		return func(context.Context, *Forward) (Exchange, error) {
			head := &state.Response{Status: 200, HasSignature: true, EndsWithConnection: true}
			return &fakeExchange{head: head, Reader: io.MultiReader(strings.NewReader(body))}, nil
		}
	}
	checkStreams(t, []streamCase{
		{"inside the data", "/resume/x", []behaviour{unframed(first + "id: 2\nda"), respondWith(200, "")}, first, false, true, 0, []string{"", "1"}},
		{"before the blank line", "/resume/x", []behaviour{unframed(first + "id: 2\ndata: b\n"), respondWith(200, "")}, first, false, true, 0, []string{"", "1"}},
		{"between two events, for comparison", "/resume/x", []behaviour{unframed(first), respondWith(200, "")}, first, true, false, 0, []string{""}},
	})
}
