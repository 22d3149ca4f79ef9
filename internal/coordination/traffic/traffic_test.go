package traffic

import (
	"expvar"
	"testing"
)

// Guards against memory that grows with all prompts ever seen, and against
// forgetting the latest ones.
func TestRecentIsBounded(t *testing.T) {
	r := Recent[int, int]{Limit: 10}
	for i := range 1000 {
		r.Set(i, -i)
		if len(r.newer)+len(r.older) > 20 {
			t.Fatalf("%d entries are kept", len(r.newer)+len(r.older))
		}
	}
	for i := 991; i < 1000; i++ {
		if v, ok := r.Get(i); !ok || v != -i {
			t.Errorf("entry %d: %d, %t", i, v, ok)
		}
	}
	if _, ok := r.Get(1); ok {
		t.Error("an old entry is kept")
	}
}

// Guards against requests that are counted as goodput though they were late, or
// that are not counted at all.
func TestEnded(t *testing.T) {
	key := Key("", "0")
	if key != "none/0" {
		t.Errorf("key %q", key)
	}
	for _, o := range []Outcome{InTime, Late, NotRun, Unknown, Other} {
		Ended(key, o)
	}
	for name, want := range map[string]string{"requests": "5", "goodput": "1", "late": "1", "refused_not_run": "1", "outcome_unknown": "1"} {
		if got := expvar.Get(name).(*expvar.Map).Get(key).String(); got != want {
			t.Errorf("%s is %s, want %s", name, got, want)
		}
	}
}
