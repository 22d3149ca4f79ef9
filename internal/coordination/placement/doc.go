// Package placement chooses the target of each request at an entry.
//
// One goroutine (Placer.Run) owns the tracked state of all targets and
// publishes immutable snapshots through an atomic pointer. Place reads the
// latest snapshot; what the entry has sent since the figures in the snapshot is
// kept in atomic counters that Sent updates before it returns, so the next
// Place sees it.
//
// A policy is a list of filters, a list of weighted scorers and a picker. Each
// plugin is one file with its test and one line in registry.go.
package placement
