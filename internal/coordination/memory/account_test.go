package memory

import (
	"math/rand/v2"
	"testing"
	"time"
)

const mib = 1 << 20

// newAccount returns an account whose time stands still until it is moved.
func newAccount(l Limits) (*Account, *time.Time) {
	a, now := New(l), time.Unix(1000, 0)
	a.now = func() time.Time { return now }
	return a, &now
}

func open(t *testing.T, a *Account, kind Kind, size int) (r *Reservation, ended *bool) {
	t.Helper()
	ended = new(bool)
	r = a.Open(kind, func() { *ended = true })
	if !r.Grow(size) {
		t.Fatalf("%d bytes refused; %+v", size, a.Counts())
	}
	return r, ended
}

// Guards against large bodies that leave no memory for small requests.
func TestLargeReservationsLeaveTheReserve(t *testing.T) {
	a, _ := newAccount(Limits{Total: 10 * mib, Reserve: mib})
	open(t, a, Body, 9*mib)
	if a.Open(Body, nil).Grow(2 * SmallBytes) {
		t.Error("a large reservation took from the reserve")
	}
	for range mib / SmallBytes {
		open(t, a, Body, SmallBytes)
	}
	if a.Open(Head, nil).Grow(1) {
		t.Error("more than the total is reserved")
	}
}

// Guards against bodies that stop just short of their end and keep others out, and against
// ending one that makes progress or is complete.
func TestStalledBodiesMakeRoom(t *testing.T) {
	a, now := newAccount(Limits{Total: 10 * mib})
	small, smallEnded := open(t, a, Body, mib)
	stalled, stalledEnded := open(t, a, Body, 4*mib)
	_, activeEnded := open(t, a, Body, 2*mib)
	complete, completeEnded := open(t, a, Body, 3*mib)
	complete.Finish()
	if a.Open(Body, nil).Grow(mib) {
		t.Error("a reservation was granted although nothing has stalled")
	}
	*now = now.Add(stalledAfter)
	for r := range a.unfinished {
		if r != small && r != stalled {
			r.Progress()
		}
	}
	if !a.Open(Body, nil).Grow(mib) {
		t.Error("no room although a body has stalled")
	}
	if !*stalledEnded || *smallEnded || *activeEnded || *completeEnded {
		t.Errorf("ended: stalled %t, small %t, active %t, complete %t; want the largest stalled one only", *stalledEnded, *smallEnded, *activeEnded, *completeEnded)
	}
	if stalled.Grow(5*mib) || stalled.Progress() || stalled.Finish() || !stalled.Evicted() {
		t.Error("the ended reservation can be used")
	}
	stalled.Release()
	if used := a.Counts().Used; used != 7*mib {
		t.Errorf("%d bytes used, want %d", used, 7*mib)
	}
}

// Guards against discarding the response of a request that has run because bodies that are
// being read hold the memory.
func TestResponsesTakePrecedenceOverUnfinishedBodies(t *testing.T) {
	a, _ := newAccount(Limits{Total: 10 * mib, Responses: 4 * mib})
	_, ended := open(t, a, Body, 10*mib)
	if !a.Open(Response, nil).Grow(4*mib) || !*ended {
		t.Error("the response does not get the memory of a body that is being read")
	}
	if a.Open(Response, nil).Grow(1) {
		t.Error("responses exceed their limit")
	}
}

// Guards against a process without a stated limit that refuses requests.
func TestNoLimit(t *testing.T) {
	a, _ := newAccount(Limits{Responses: mib})
	open(t, a, Body, 1<<40)
	open(t, a, Response, mib)
	if a.Open(Response, nil).Grow(1) {
		t.Error("responses exceed their limit")
	}
}

// Guards against bytes that are lost or counted twice in any order of events.
func TestAccountBalances(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		limits := Limits{Total: 8 * mib, Reserve: mib, Responses: 3 * mib}
		a, now := newAccount(limits)
		var all []*Reservation
		for range 500 {
			*now = now.Add(time.Duration(random.Int64N(int64(stalledAfter / 4))))
			switch n := random.IntN(10); {
			case n < 4 || len(all) == 0:
				var end func()
				if random.IntN(2) == 0 {
					end = func() {}
				}
				all = append(all, a.Open(Kind(random.IntN(int(kinds))), end))
			case n < 8:
				all[random.IntN(len(all))].Grow(random.IntN(3 * mib))
			case n < 9:
				all[random.IntN(len(all))].Finish()
			default:
				all[random.IntN(len(all))].Release()
			}
			sum := 0
			for _, r := range all {
				sum += r.bytes
			}
			if c := a.Counts(); c.Used != sum || c.Used != c.Heads+c.Bodies+c.Response || c.Used > limits.Total || c.Response > limits.Responses {
				t.Fatalf("seed %d: %+v, reservations hold %d", seed, c, sum)
			}
		}
		for _, r := range all {
			r.Release()
		}
		if c := a.Counts(); c.Used != 0 || len(a.unfinished) != 0 {
			t.Fatalf("seed %d: %+v after all were released", seed, c)
		}
	}
}
