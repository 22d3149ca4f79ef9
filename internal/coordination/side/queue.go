package side

import (
	"cmp"
	"slices"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// queue holds the queued attempts. Order: strictly by tier, then by the tokens
// that the customer has in service divided by its weight, then by deadline,
// then by arrival.
type queue struct {
	tiers     [state.MaxTiers]map[state.Customer][]*attempt // each by deadline, then arrival
	counts    [state.MaxTiers]int
	tokens    [state.MaxTiers]int // prompt and expected output tokens
	count     int
	prompts   int                        // prompt tokens over all tiers
	inService map[state.Customer]float64 // tokens of running attempts
	arrivals  uint64
}

func newQueue() *queue {
	q := &queue{inService: make(map[state.Customer]float64)}
	for t := range q.tiers {
		q.tiers[t] = make(map[state.Customer][]*attempt)
	}
	return q
}

// byDeadline orders attempts of one customer and tier. Attempts without a
// deadline come last.
func byDeadline(a, b *attempt) int {
	if a.deadline.IsZero() != b.deadline.IsZero() {
		if a.deadline.IsZero() {
			return 1
		}
		return -1
	}
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.arrival, b.arrival)
}

func (q *queue) add(a *attempt) {
	if a.arrival == 0 {
		q.arrivals++
		a.arrival = q.arrivals
	}
	list := q.tiers[a.tier][a.customer]
	i, _ := slices.BinarySearchFunc(list, a, byDeadline)
	q.tiers[a.tier][a.customer] = slices.Insert(list, i, a)
	q.adjust(a, 1)
}

func (q *queue) remove(a *attempt) {
	list := q.tiers[a.tier][a.customer]
	i := slices.Index(list, a)
	if i < 0 {
		return
	}
	list = slices.Delete(list, i, i+1)
	q.tiers[a.tier][a.customer] = list
	if len(list) == 0 {
		delete(q.tiers[a.tier], a.customer)
	}
	q.adjust(a, -1)
}

func (q *queue) adjust(a *attempt, sign int) {
	q.count += sign
	q.counts[a.tier] += sign
	q.prompts += sign * a.prompt
	q.tokens[a.tier] += sign * a.tokens()
}

// serve counts the tokens of a as in service; release reverses it.
func (q *queue) serve(a *attempt) { q.inService[a.customer] += float64(a.tokens()) }

func (q *queue) release(a *attempt) {
	left := q.inService[a.customer] - float64(a.tokens())
	if left <= 0 {
		delete(q.inService, a.customer)
		return
	}
	q.inService[a.customer] = left
}

// ranked is a queued attempt and the share of service that its customer will
// have received when its turn comes.
type ranked struct {
	*attempt
	share float64
}

func byRank(a, b ranked) int {
	if c := cmp.Compare(a.share, b.share); c != 0 {
		return c
	}
	return byDeadline(a.attempt, b.attempt)
}

// ranks calls f for each attempt of the tier, in no particular order.
func (q *queue) ranks(t state.Tier, f func(ranked)) {
	for customer, list := range q.tiers[t] {
		served := q.inService[customer]
		for _, a := range list {
			f(ranked{a, served / a.weight})
			served += float64(a.tokens())
		}
	}
}

// next returns the attempt that starts first, or nil.
func (q *queue) next() *attempt {
	t := q.highest()
	if t == state.NoTier {
		return nil
	}
	var best ranked
	q.ranks(t, func(r ranked) {
		if best.attempt == nil || byRank(r, best) < 0 {
			best = r
		}
	})
	return best.attempt
}

// last returns the attempt of the tier that starts last, or nil.
func (q *queue) last(t state.Tier) *attempt {
	var worst ranked
	q.ranks(t, func(r ranked) {
		if worst.attempt == nil || byRank(r, worst) > 0 {
			worst = r
		}
	})
	return worst.attempt
}

// sorted returns all attempts in the order in which they start if nothing
// arrives or ends before.
func (q *queue) sorted() []*attempt {
	out := make([]*attempt, 0, q.count)
	for t := range q.tiers {
		tier := make([]ranked, 0, q.counts[t])
		q.ranks(state.Tier(t), func(r ranked) { tier = append(tier, r) })
		slices.SortFunc(tier, byRank)
		for _, r := range tier {
			out = append(out, r.attempt)
		}
	}
	return out
}

// ahead returns the work that starts before the queued attempt a.
func (q *queue) ahead(a *attempt) work {
	var w work
	for t := range a.tier {
		q.ranks(t, func(r ranked) { w.add(r.attempt) })
	}
	var own ranked
	q.ranks(a.tier, func(r ranked) {
		if r.attempt == a {
			own = r
		}
	})
	q.ranks(a.tier, func(r ranked) {
		if byRank(r, own) < 0 {
			w.add(r.attempt)
		}
	})
	return w
}

// work returns all queued work.
func (q *queue) work() work {
	w := work{count: q.count, prompt: q.prompts}
	for _, n := range q.tokens {
		w.output += n
	}
	w.output -= q.prompts
	return w
}

// highest and lowest return the tier of queued attempts that is served first
// and last, or NoTier.
func (q *queue) highest() state.Tier {
	for t, n := range q.counts {
		if n > 0 {
			return state.Tier(t)
		}
	}
	return state.NoTier
}

func (q *queue) lowest() state.Tier {
	for t := len(q.counts) - 1; t >= 0; t-- {
		if q.counts[t] > 0 {
			return state.Tier(t)
		}
	}
	return state.NoTier
}

// holdsLowerThan reports whether an attempt of a lower tier than t is queued.
func (q *queue) holdsLowerThan(t state.Tier) bool {
	low := q.lowest()
	return low != state.NoTier && low.LowerThan(t)
}

// work is an amount of work for the target.
type work struct {
	count  int
	prompt int // tokens
	output int // tokens
}

func (w *work) add(a *attempt) {
	w.count++
	w.prompt += a.prompt
	w.output += a.output
}
