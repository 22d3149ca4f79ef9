package traffic

import (
	"expvar"
	"testing"
)

// Guards against memory that grows with every key ever set, and against forgetting the
// latest keys.
func TestRecentCacheIsBounded(t *testing.T) {
	r := RecentCache[int, int]{GenerationLimit: 10}
	for i := range 1000 {
		r.Set(i, -i)
		if len(r.newer)+len(r.older) > 20 {
			t.Fatalf("%d keys are held, want at most 20", len(r.newer)+len(r.older))
		}
	}
	for i := 991; i < 1000; i++ {
		if v, ok := r.Get(i); !ok || v != -i {
			t.Errorf("key %d: got %d, %t, want the negated number", i, v, ok)
		}
	}
	if _, ok := r.Get(1); ok {
		t.Error("key 1 is still held after 998 later ones")
	}
}

// Guards against counting late requests as goodput, and against requests that are not
// counted at all.
func TestCountRequest(t *testing.T) {
	key := CounterKey("", "0")
	if key != "none/0" {
		t.Errorf("key %q, want none/0", key)
	}
	for _, o := range []Outcome{InTime, Late, NotRun, Unknown, Other} {
		CountRequest(key, o)
	}
	for name, want := range map[string]string{"requests": "5", "goodput": "1", "late": "1", "refused_not_run": "1", "outcome_unknown": "1"} {
		if got := expvar.Get(name).(*expvar.Map).Get(key).String(); got != want {
			t.Errorf("%s is %s, want %s", name, got, want)
		}
	}
}
