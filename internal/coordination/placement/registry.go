package placement

// filter reports whether t may receive the request.
type filter func(s *evaluation, t *target) bool

// scorer returns 0 to 1; higher is better.
type scorer func(s *evaluation, c *candidate) float64

// picker chooses one of the scored candidates, of which there is at least one.
type picker func(s *evaluation, candidates []*candidate) *candidate

// The plugins by the names used in a bundle.
var (
	filters = map[string]filter{
		"serves-model": servesModel,
		"ready":        ready,
		"not-tried":    notTried,
	}
	scorers = map[string]scorer{
		"predicted-delay":      predictedDelay,
		"outstanding-requests": outstandingRequests,
		"cached-prefix":        cachedPrefix,
		"failure-domain":       failureDomain,
	}
	pickers = map[string]picker{
		"round-robin":        roundRobin,
		"best":               best,
		"power-of-two":       powerOfTwo,
		"weighted-near-best": weightedNearBest,
	}
)
