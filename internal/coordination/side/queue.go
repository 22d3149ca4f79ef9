package side

import (
	"cmp"
	"slices"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// queue holds the queued attempts. They start strictly by tier, then by the
// customer's tokens in service divided by the weight of the attempt, then by
// deadline, then by arrival.
type queue struct {
	byTier            [state.MaxTiers]map[state.Customer][]*attempt // each list in the order of compareDeadlines
	countByTier       [state.MaxTiers]int
	tokensByTier      [state.MaxTiers]int        // prompt and expected output tokens
	count             int                        // over all tiers
	totalPromptTokens int                        // over all tiers
	tokensInService   map[state.Customer]float64 // tokens of running attempts
	arrivals          uint64                     // number of attempts added so far; gives the next arrivalSeq
}

func newQueue() *queue {
	q := &queue{tokensInService: make(map[state.Customer]float64)}
	for t := range q.byTier {
		q.byTier[t] = make(map[state.Customer][]*attempt)
	}
	return q
}

// compareDeadlines orders attempts of one customer and tier by deadline, then
// by arrival. Attempts without a deadline come last.
func compareDeadlines(a, b *attempt) int {
	if a.deadline.IsZero() != b.deadline.IsZero() {
		if a.deadline.IsZero() {
			return 1
		}
		return -1
	}
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.arrivalSeq, b.arrivalSeq)
}

// add queues a. An attempt that was queued before keeps its place among those
// with the same deadline.
func (q *queue) add(a *attempt) {
	if a.arrivalSeq == 0 {
		q.arrivals++
		a.arrivalSeq = q.arrivals
	}
	list := q.byTier[a.tier][a.customer]
	i, _ := slices.BinarySearchFunc(list, a, compareDeadlines)
	q.byTier[a.tier][a.customer] = slices.Insert(list, i, a)
	q.adjustCounts(a, 1)
}

func (q *queue) remove(a *attempt) {
	list := q.byTier[a.tier][a.customer]
	i := slices.Index(list, a)
	if i < 0 {
		return
	}
	list = slices.Delete(list, i, i+1)
	q.byTier[a.tier][a.customer] = list
	if len(list) == 0 {
		delete(q.byTier[a.tier], a.customer)
	}
	q.adjustCounts(a, -1)
}

// adjustCounts counts a as added (sign 1) or removed (sign -1).
func (q *queue) adjustCounts(a *attempt, sign int) {
	q.count += sign
	q.countByTier[a.tier] += sign
	q.totalPromptTokens += sign * a.promptTokens
	q.tokensByTier[a.tier] += sign * a.totalTokens()
}

// addInService counts the tokens of a as in service; removeInService reverses
// it.
func (q *queue) addInService(a *attempt) { q.tokensInService[a.customer] += float64(a.totalTokens()) }

func (q *queue) removeInService(a *attempt) {
	remaining := q.tokensInService[a.customer] - float64(a.totalTokens())
	if remaining <= 0 {
		delete(q.tokensInService, a.customer)
		return
	}
	q.tokensInService[a.customer] = remaining
}

// rankedAttempt is a queued attempt with the sort key of fair queueing: the
// tokens that its customer will have in service when the turn of the attempt
// comes, divided by the weight of the attempt.
type rankedAttempt struct {
	*attempt
	weightedTokens float64
}

// compareRanks orders attempts of one tier by their start.
func compareRanks(a, b rankedAttempt) int {
	if c := cmp.Compare(a.weightedTokens, b.weightedTokens); c != 0 {
		return c
	}
	return compareDeadlines(a.attempt, b.attempt)
}

// forEachRanked calls f for each attempt of the tier, in no particular order.
func (q *queue) forEachRanked(t state.Tier, f func(rankedAttempt)) {
	for customer, list := range q.byTier[t] {
		tokens := q.tokensInService[customer]
		for _, a := range list {
			f(rankedAttempt{a, tokens / a.weight})
			tokens += float64(a.totalTokens())
		}
	}
}

// next returns the attempt that starts first, or nil.
func (q *queue) next() *attempt {
	t := q.highestTier()
	if t == state.NoTier {
		return nil
	}
	var best rankedAttempt
	q.forEachRanked(t, func(r rankedAttempt) {
		if best.attempt == nil || compareRanks(r, best) < 0 {
			best = r
		}
	})
	return best.attempt
}

// lastOfTier returns the attempt of the tier that starts last, or nil.
func (q *queue) lastOfTier(t state.Tier) *attempt {
	var worst rankedAttempt
	q.forEachRanked(t, func(r rankedAttempt) {
		if worst.attempt == nil || compareRanks(r, worst) > 0 {
			worst = r
		}
	})
	return worst.attempt
}

// sorted returns all attempts in the order in which they start if nothing
// arrives or ends before.
func (q *queue) sorted() []*attempt {
	out := make([]*attempt, 0, q.count)
	for t := range q.byTier {
		tier := make([]rankedAttempt, 0, q.countByTier[t])
		q.forEachRanked(state.Tier(t), func(r rankedAttempt) { tier = append(tier, r) })
		slices.SortFunc(tier, compareRanks)
		for _, r := range tier {
			out = append(out, r.attempt)
		}
	}
	return out
}

// workAhead returns the work that starts before the queued attempt a.
func (q *queue) workAhead(a *attempt) workload {
	var w workload
	for t := range a.tier {
		q.forEachRanked(t, func(r rankedAttempt) { w.add(r.attempt) })
	}
	var own rankedAttempt
	q.forEachRanked(a.tier, func(r rankedAttempt) {
		if r.attempt == a {
			own = r
		}
	})
	q.forEachRanked(a.tier, func(r rankedAttempt) {
		if compareRanks(r, own) < 0 {
			w.add(r.attempt)
		}
	})
	return w
}

// workload returns the work of all queued attempts.
func (q *queue) workload() workload {
	w := workload{count: q.count, promptTokens: q.totalPromptTokens}
	for _, n := range q.tokensByTier {
		w.expectedOutput += n
	}
	w.expectedOutput -= q.totalPromptTokens
	return w
}

// highestTier returns the highest tier with a queued attempt, or NoTier.
func (q *queue) highestTier() state.Tier {
	for t, n := range q.countByTier {
		if n > 0 {
			return state.Tier(t)
		}
	}
	return state.NoTier
}

// lowestTier returns the lowest tier with a queued attempt, or NoTier.
func (q *queue) lowestTier() state.Tier {
	for t := len(q.countByTier) - 1; t >= 0; t-- {
		if q.countByTier[t] > 0 {
			return state.Tier(t)
		}
	}
	return state.NoTier
}

// holdsLowerThan reports whether an attempt of a lower tier than t is queued.
func (q *queue) holdsLowerThan(t state.Tier) bool {
	low := q.lowestTier()
	return low != state.NoTier && low.LowerThan(t)
}

// workload is an amount of work for the target.
type workload struct {
	count          int // number of attempts
	promptTokens   int
	expectedOutput int // expected output tokens
}

func (w *workload) add(a *attempt) {
	w.count++
	w.promptTokens += a.promptTokens
	w.expectedOutput += a.expectedOutput
}
