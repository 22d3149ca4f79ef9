// Package costmodel predicts how long a request takes at a target, from what this entry
// has observed of earlier requests. It holds no figures of any engine: its prior is a
// rough guess that a few dozen responses outweigh.
//
// A Service holds what the targets of a service have in common: how the time to the
// start of a response grows with the prompts to be read and the requests in progress,
// and how many events a response has. A Target holds how much slower or faster one
// target is than that. Both are updated by the same observations.
//
// The package is not safe for concurrent use.
package costmodel
