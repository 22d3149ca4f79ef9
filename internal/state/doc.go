// Package state defines the identifiers, documents and records that every
// cassiaramp process shares. It is the lowest layer and imports no other
// package of this module.
package state
