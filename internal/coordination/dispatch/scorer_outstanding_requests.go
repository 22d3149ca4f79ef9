package dispatch

// scoreOutstandingRequests returns the number of outstanding requests per slot of the
// target, including the new one.
func scoreOutstandingRequests(t *target, _ *scoringInput) float64 {
	return float64(t.outstanding()+1) / float64(max(1, t.record.Slots))
}
