// Package dispatch schedules the requests of an entry that sends directly to its
// targets, without side processes: it decides which target serves a request, which
// requests wait in the queue, and which are refused. Where side processes hold the
// queues, package placement chooses the targets.
//
// Model engines admit everything on arrival and know no priorities, so requests
// are ordered before they reach an engine. A request is sent only if a target has
// a free slot, counting the requests that other entries report to have open there;
// otherwise it waits in a queue ordered by rank. A request whose predicted wait is
// too long for its objective is refused at once, with the time after which the
// caller may retry.
//
// The package does no network I/O and takes the time from a function given to New.
package dispatch
