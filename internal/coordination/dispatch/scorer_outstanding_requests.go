package dispatch

// scoreOutstandingRequests returns the requests at the target, the new one
// included, for each of its slots.
func scoreOutstandingRequests(t *target, _ *choice) float64 {
	return float64(t.used()+1) / float64(max(1, t.record.Slots))
}
