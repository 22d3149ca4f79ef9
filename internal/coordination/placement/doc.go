// Package placement chooses the target of each request at an entry that sends requests
// through side processes, which hold the queues. Entries that send directly to targets
// use package dispatch.
//
// One goroutine (Placer.Run) owns the state of all targets and publishes
// immutable snapshots of it through an atomic pointer. Place reads the latest
// snapshot. Each target in a snapshot has the latest load figures received from
// it ("the figures", state.LoadFigures). What the entry has sent to the target since
// those figures is kept in atomic counters (sharedState). AttemptSent updates them
// before it returns, so that the next Place takes them into account.
//
// A policy consists of filters, weighted scorers and a picker. Each of these
// plugins is one file with its test and one line in registry.go.
package placement
