package admission

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func bundle(perSecond float64, burst int) *state.Bundle {
	return &state.Bundle{
		Tiers:     []state.TierPolicy{{Name: "high"}, {Name: "low", LimitReserve: 0.5}},
		Customers: []state.CustomerPolicy{{Name: "c", RequestsPerSecond: perSecond, Burst: burst}},
	}
}

// Guards against a lower tier of a customer using up the reserve of its higher tier.
func TestLowerTierIsLimitedFirst(t *testing.T) {
	c := NewController(100)
	b := bundle(1, 4)
	admitted := map[state.Tier]int{}
	for _, tier := range []state.Tier{1, 1, 1, 0, 0, 0} {
		if _, refused := c.Admit(start, b, "c", tier); refused == nil {
			admitted[tier]++
		}
	}
	if admitted[1] != 2 || admitted[0] != 2 {
		t.Fatalf("admitted %v, want 2 of each tier from a burst of 4 with half reserved", admitted)
	}
}

// Guards against a retry-after time after which the request is refused again, and
// against a burst of 1 that no lower tier can use.
func TestRetryAfterIsSufficient(t *testing.T) {
	for _, burst := range []int{1, 2, 10} {
		c := NewController(100)
		b := bundle(0.7, burst)
		now := start
		for range burst {
			c.Admit(now, b, "c", 0)
		}
		_, refused := c.Admit(now, b, "c", 1)
		if refused == nil || refused.Reason != ReasonCustomerLimit || refused.RetryAfter <= 0 {
			t.Fatalf("burst %d: got %+v, want a customer limit with a retry-after time", burst, refused)
		}
		if _, again := c.Admit(now.Add(refused.RetryAfter), b, "c", 1); again != nil {
			t.Errorf("burst %d: refused again after %s: %+v", burst, refused.RetryAfter, again)
		}
	}
}

// Guards against limits that stay in effect after their bundle was replaced, and
// against buckets that are kept for removed customers.
func TestBundleChange(t *testing.T) {
	c := NewController(100)
	c.Admit(start, bundle(1, 1), "c", 0)
	if _, refused := c.Admit(start, bundle(1000, 10), "c", 0); refused == nil {
		t.Fatal("a raised limit filled the bucket at once")
	}
	if _, refused := c.Admit(start.Add(time.Second), bundle(1000, 10), "c", 0); refused != nil {
		t.Fatalf("refused under the raised limit: %+v", refused)
	}
	other := &state.Bundle{Tiers: []state.TierPolicy{{}}, Customers: []state.CustomerPolicy{{Name: "d", RequestsPerSecond: 1, Burst: 1}}}
	if _, refused := c.Admit(start, other, "c", 0); refused == nil || refused.Reason != ReasonUnknownCustomer {
		t.Fatalf("got %+v for a removed customer, want it unknown", refused)
	}
	if len(c.buckets) != 0 {
		t.Fatalf("%d buckets kept for removed customers", len(c.buckets))
	}
}

// Guards against refusing a higher tier at the bound on open requests while a request
// of a lower tier waits, and against displacing a running request.
func TestOpenRequestsAreBounded(t *testing.T) {
	c := NewController(2)
	b := bundle(1000, 1000)
	running, _ := c.Admit(start, b, "c", 1)
	waiting, _ := c.Admit(start, b, "c", 1)
	waiting.MarkWaiting()
	if _, refused := c.Admit(start, b, "c", 1); refused == nil || refused.Reason != ReasonOverloaded || refused.RetryAfter <= 0 {
		t.Fatalf("an equal tier was admitted beyond the bound: %+v", refused)
	}
	high, refused := c.Admit(start, b, "c", 0)
	if refused != nil {
		t.Fatalf("the higher tier was refused: %+v", refused)
	}
	select {
	case <-waiting.Displaced():
	default:
		t.Fatal("the waiting request of the lower tier was not displaced")
	}
	if _, refused := c.Admit(start, b, "c", 0); refused == nil {
		t.Fatal("a running request was displaced")
	}
	waiting.Release()
	running.Release()
	running.Release()
	high.Release()
	if n := c.Open(); n != 0 {
		t.Fatalf("%d requests open after all were released", n)
	}
}
