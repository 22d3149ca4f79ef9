package dispatch

// failWeight is how much a failing share above the usual one of the service adds:
// at a tenth of failures a target looks twice as slow.
const failWeight = 10.0

// scoreFailingShare prefers targets that fail no more often than is usual.
func scoreFailingShare(t *target, c *choice) float64 {
	return 1 + failWeight*max(0, t.failing-c.usualFail)
}
