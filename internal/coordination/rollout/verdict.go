package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// judgeInterval is the time between two steps of the sequential tests.
	judgeInterval = 300 * time.Millisecond
	// oldRetention is the part of the old version's counts that a step keeps, so that they
	// cover about the last 3 s: the new version is compared with the old one in the same period.
	oldRetention = 0.9
	// minComparable is the number of recent requests at the old version without which the two
	// versions cannot be compared in the same period.
	minComparable = 10
	// pseudoRequests is the number of requests for which the rate of all routes counts in the
	// expected rate of a route.
	pseudoRequests = 20
)

// measure is one way in which a version can be bad, and how sure the verdict must be.
type measure struct {
	name string
	// floor is the least rate that is expected of a good version. factor is how many times
	// the rate of the old version a good one may have.
	// alone is the least rate that is expected when the old version has no requests any more:
	// whether the service is saturated is not known then.
	floor, factor, alone float64
	// excess are the rates by which a bad version is worse that are tested.
	excess []float64
	// threshold is the logarithm of the likelihood ratio that proves the version bad.
	threshold float64
	// minEvents is the least number of events that proves it.
	minEvents float64
}

// The measures. The thresholds are those at which the simulated good versions of
// TestSimulatedRollouts are completed, see docs/design/rollouts.md.
var measures = [...]measure{
	{name: "failures", floor: 0.003, factor: 1, alone: 0.02, excess: []float64{0.03, 0.08, 0.2, 0.5, 0.9}, threshold: 10, minEvents: 5},
	{name: "slow responses", floor: 0.02, factor: 1.3, alone: 0.1, excess: []float64{0.06, 0.12, 0.25, 0.5, 0.9}, threshold: 9, minEvents: 5},
	{name: "refusals", floor: 0.05, factor: 1.5, alone: 0.3, excess: []float64{0.1, 0.25, 0.5, 0.9}, threshold: 9, minEvents: 6},
	{name: "crashes", floor: 0.008, factor: 1, excess: []float64{0.03, 0.08, 0.2, 0.5}, threshold: 9, minEvents: 3},
}

const crashMeasure = len(measures) - 1

// of returns the numbers of events of a measure and of requests.
func (c counts) of(measure int) (events, n float64) {
	switch measure {
	case 0:
		return c.failed, c.ended
	case 1:
		return c.slow, c.timed
	default:
		return c.refused, c.ended
	}
}

// comparison tests the new version against the old one, on one route or on all.
type comparison struct {
	pending        [2]counts // since the last step
	pendingCrashes [2]float64
	recentOld      counts // of about the last 3 s
	tests          [len(measures)]sequentialTest
}

// sequentialTest is a cumulative-sum test for each rate of excess: the sum of the
// logarithms of the likelihood ratios since the most suspicious start, because a version
// may turn bad at any time.
type sequentialTest struct {
	sums, events [5]float64
}

// step adds events of n requests where the old version lets expect a rate. It reports
// whether the version is proved bad.
func (t *sequentialTest) step(m *measure, events, n, expected float64) bool {
	expected = min(expected, 0.95)
	bad := false
	for i, excess := range m.excess {
		rate := 1 - (1-expected)*(1-excess)
		sum := t.sums[i] + events*math.Log(rate/expected) + (n-events)*math.Log((1-rate)/(1-expected))
		if sum <= 0 {
			t.sums[i], t.events[i] = 0, 0
			continue
		}
		t.sums[i] = sum
		t.events[i] += events
		bad = bad || sum >= m.threshold && t.events[i] >= m.minEvents
	}
	return bad
}

// expected returns the rate of a measure that a good version may have, from the recent
// counts of the old one and the rate of all routes.
func (m *measure) expected(events, n, overall float64) float64 {
	events += pseudoRequests * overall
	n += pseudoRequests
	upper := (events + 1.2*math.Sqrt(events+0.25)) / n
	return max(m.floor, m.factor*upper)
}

func rate(events, n float64) float64 { return events / max(1, n) }

// step applies the pending counts to the tests. overall is the comparison of all routes. It
// returns the index of the measure by which the version is bad, or -1.
func (c *comparison) step(overall *comparison) int {
	c.recentOld.add(c.recentOld, oldRetention-1)
	c.recentOld.add(c.pending[oldSide], 1)
	bad := -1
	for i := range measures {
		m := &measures[i]
		if i == crashMeasure {
			break
		}
		events, n := c.pending[newSide].of(i)
		oldEvents, oldN := c.recentOld.of(i)
		all := rate(overall.recentOld.of(i))
		expected := m.expected(oldEvents, oldN, all)
		if _, recent := overall.recentOld.of(i); recent < minComparable {
			expected = max(expected, m.alone)
		}
		if n > 0 && c.tests[i].step(m, events, max(n, events), expected) {
			bad = i
		}
	}
	return bad
}

// stepCrashes applies the pending crashes.
func (c *comparison) stepCrashes(oldCrashes, oldEnded float64) bool {
	m := &measures[crashMeasure]
	events := c.pendingCrashes[newSide]
	n := c.pending[newSide].ended + events
	return n > 0 && c.tests[crashMeasure].step(m, events, n, m.expected(oldCrashes, oldEnded, 0))
}

// judge returns why the version is bad, or an empty text.
func (e *evidence) judge(now time.Time) string {
	if now.Sub(e.judgedAt) < judgeInterval {
		return ""
	}
	e.judgedAt = now
	e.settleLost(now)
	e.classify()
	e.oldEnded += e.total.pending[oldSide].ended
	reason := ""
	if i := e.total.step(&e.total); i >= 0 && e.spread(i) {
		reason = e.reason(i, "all routes")
	}
	if e.total.stepCrashes(e.crashes[oldSide], e.oldEnded) && e.spread(crashMeasure) {
		reason = e.reason(crashMeasure, "all routes")
	}
	for _, r := range e.routes {
		if i := r.step(&e.total); i >= 0 && e.spread(i) {
			reason = e.reason(i, "one route")
		}
		r.pending = [2]counts{}
	}
	e.total.pending, e.total.pendingCrashes = [2]counts{}, [2]float64{}
	if reason == "" && e.total.recentOld.timed >= minComparable && e.slowThroughout() {
		reason = "all responses are slow"
	}
	return reason
}

func (e *evidence) reason(measure int, where string) string {
	return fmt.Sprintf("%s of the new version on %s", measures[measure].name, where)
}

const (
	// manyEvents is the number of events that count although they come from one target: a
	// target that is broken must not have the service go on with it either. A target that is
	// suspended for seconds delays fewer requests.
	manyEvents = 25
	// otherShare is the part of the events that must come from other targets than the worst.
	otherShare = 0.25
)

// spread reports whether the events of a measure that are more than expected come from
// several targets, if several were used. One broken target does not prove its version bad.
func (e *evidence) spread(measure int) bool {
	expected := 0.0
	if measure < crashMeasure {
		expected = measures[measure].factor * rate(e.total.recentOld.of(measure))
	}
	used, sum, worst := 0, 0.0, 0.0
	for _, t := range e.targets {
		if !t.isNew || t.all.ended+t.all.crashes == 0 {
			continue
		}
		used++
		events := [...]uint32{t.all.failed, t.all.slow, t.all.ended, t.all.crashes}[measure]
		excess := max(0, float64(events)-expected*float64(t.all.ended))
		sum += excess
		worst = max(worst, excess)
	}
	return used < 2 || worst >= manyEvents || sum-worst >= max(1, otherShare*sum)
}

const (
	// minSlowTargets is the least number of targets that prove a version slow throughout.
	minSlowTargets = 2
	// minTargetTimes is the number of times at a target from which their median counts.
	minTargetTimes = 5
	// slowThroughoutRatio is how many times as long as usual all times at a target take at
	// least if it counts as slow.
	slowThroughoutRatio = 2.2
	// maxChance is the probability below which slow targets are not explained by the speeds
	// of the old ones.
	maxChance = 0.0003
)

// slowThroughout reports whether the new targets are slower than targets of unlike speed
// can be by chance. The times at each alone cannot show that.
func (e *evidence) slowThroughout() bool {
	slow, beyond, measured := 0, 0, 0
	for _, t := range e.targets {
		if !t.isNew || t.all.times.count() < minTargetTimes {
			continue
		}
		measured++
		median := t.all.times.quantile(0.5)
		if median > math.Log2(slowThroughoutRatio) {
			slow++
		}
		if median > math.Log2(1.4*slowTargetFactor) {
			beyond++
		}
	}
	if measured < minSlowTargets {
		return false
	}
	if beyond >= minSlowTargets && 2*beyond > measured {
		return true
	}
	return slow >= minSlowTargets && binomialTail(measured, slow, e.slowChance()) < maxChance
}

// slowChance returns the probability that a good target is slow, from the old ones. Most
// of the times of a new target are compared with those of usual old ones.
func (e *evidence) slowChance() float64 {
	slow := 0
	for _, s := range e.slowness {
		if s > slowThroughoutRatio*0.8 {
			slow++
		}
	}
	// An entry knows only some of the old targets, and each entry judges: the upper bound of
	// what its sample allows for is taken.
	n := float64(slow + 1)
	return min(1, (n+2*math.Sqrt(n))/(float64(len(e.slowness))+2))
}

// binomialTail returns the probability of k or more successes in n trials.
func binomialTail(n, k int, p float64) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		a, _ := math.Lgamma(float64(n + 1))
		b, _ := math.Lgamma(float64(i + 1))
		c, _ := math.Lgamma(float64(n - i + 1))
		sum += math.Exp(a - b - c + float64(i)*math.Log(p) + float64(n-i)*math.Log(1-p))
	}
	return sum
}
