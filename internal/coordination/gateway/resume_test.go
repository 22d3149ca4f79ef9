package gateway

import (
	"strings"
	"testing"
)

// Guards against events that come twice because a stream is resumed although its last event had no
// id: the target begins after the last event that had one, or with the first event.
func TestStreamWithoutKnownPositionIsNotResumed(t *testing.T) {
	const second = "id: 2\ndata: b\n\n"
	var cases []streamCase
	for name, passed := range map[string]string{
		"no event has an id": "data: a\n\ndata: b\n\n", "the last event has none": "id: 1\ndata: a\n\ndata: b\n\n",
		"empty id": "id: 1\ndata: a\n\nid:\ndata: b\n\n", "id that is set back": "id: 1\ndata: a\n\nid: 2\nid:\ndata: b\n\n",
		"byte-order mark before the id": "\ufeffid: 1\ndata: a\n\n",
	} {
		cases = append(cases, streamCase{name, "/resume/x", []behaviour{truncated(passed), respondWith(200, passed+second)}, passed, false, true, 0, []string{""}})
	}
	first, rest := "data: a\n\n"+events[:strings.Index(events, "id: 2")], events[strings.Index(events, "id: 2"):]
	cases = append(cases, streamCase{"a later event has one", "/resume/x", []behaviour{truncated(first + ": alive\n\n"), respondWith(200, rest)}, first + ": alive\n\n" + rest, true, false, 0, []string{"", "1"}})
	checkStreams(t, cases)
}

// Guards against a stream that is passed on as complete because a target that numbers its events
// anew, when it is to resume the stream, has ended: the caller lacks what it sent.
func TestEndBeforeTheLastEventThatTheCallerHas(t *testing.T) {
	first, rest := events[:strings.Index(events, "id: 3")], events[strings.Index(events, "id: 3"):]
	renumbered := strings.Replace(rest, "id: 3", "id: 1", 1)
	checkStreams(t, []streamCase{
		{"numbered anew", "/resume/x", []behaviour{truncated(first), respondWith(200, renumbered)}, first, false, true, 0, []string{"", "2"}},
		{"last event is repeated", "/resume/x", []behaviour{truncated(events), respondWith(200, rest)}, events, true, false, 0, []string{"", "3"}},
		{"all events are repeated", "/resume/x", []behaviour{truncated(events), respondWith(200, events)}, events, true, false, 0, []string{"", "3"}},
	})
}
