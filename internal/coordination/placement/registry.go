package placement

// filter reports whether t may receive the request.
type filter func(s *evaluation, t *target) bool

// scorer returns a score from 0 to 1; higher is better.
type scorer func(s *evaluation, c *candidate) float64

// picker chooses one of the scored candidates, of which there is at least one.
type picker func(s *evaluation, candidates []*candidate) *candidate

// The plugins by the names used in a bundle.
var (
	filters = map[string]filter{
		"serves-model": servesModel,
		"ready":        isReady,
		"not-tried":    notTried,
	}
	scorers = map[string]scorer{
		"predicted-delay":      scorePredictedDelay,
		"outstanding-requests": scoreOutstandingRequests,
		"cached-prefix":        scoreCachedPrefix,
		"failure-domain":       scoreFailureDomain,
	}
	pickers = map[string]picker{
		"round-robin":        pickRoundRobin,
		"best":               pickBest,
		"power-of-two":       pickPowerOfTwo,
		"weighted-near-best": pickWeightedNearBest,
	}
)
