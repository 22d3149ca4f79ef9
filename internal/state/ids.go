package state

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// InstanceID is the name of a process as given in its settings.
type InstanceID string

// TargetID is the name of a target (an engine or a plain service).
type TargetID string

// FailureDomain is the name of the failure domain that an instance runs in.
type FailureDomain string

// Service is the name of a group of interchangeable targets.
type Service string

// Customer is the name of the customer that a request is charged to.
type Customer string

// RequestID identifies one accepted request. It is a UUID in text form.
type RequestID string

// BundleID is the lower-case hexadecimal SHA-256 of a signed bundle document.
type BundleID string

// Incarnation distinguishes successive runs of the same process.
type Incarnation uint64

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	var b [8]byte
	rand.Read(b[:]) // never returns an error: crypto/rand ends the process instead
	return Incarnation(binary.LittleEndian.Uint64(b[:]))
}

// AttemptID identifies one placement of a request on a target. Session is the
// number of the entry's session to that target; Seq counts the attempts of the
// entry incarnation over all targets, so that no two attempts have the same
// identifier. An attempt may be dispatched only on the session that it names.
type AttemptID struct {
	Entry       InstanceID  `cbor:"1,keyasint" json:"entry"`
	Incarnation Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Session     uint64      `cbor:"3,keyasint" json:"session"`
	Seq         uint64      `cbor:"4,keyasint" json:"seq"`
}

// String returns the form entry:incarnation:session:seq, with the incarnation
// in hexadecimal. It has no slash, because servers differ in how they treat an
// escaped slash in a path. ParseAttemptID reverses it.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s:%x:%d:%d", a.Entry, uint64(a.Incarnation), a.Session, a.Seq)
}

// ParseAttemptID parses the form that AttemptID.String returns.
func ParseAttemptID(s string) (AttemptID, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 4 || parts[0] == "" {
		return AttemptID{}, fmt.Errorf("parse attempt id %q: want entry:incarnation:session:seq", s)
	}
	inc, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("parse attempt id %q: incarnation: %w", s, err)
	}
	session, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("parse attempt id %q: session: %w", s, err)
	}
	seq, err := strconv.ParseUint(parts[3], 10, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("parse attempt id %q: sequence: %w", s, err)
	}
	return AttemptID{Entry: InstanceID(parts[0]), Incarnation: Incarnation(inc), Session: session, Seq: seq}, nil
}

// Tier is a priority class; 0 is the highest. Tiers are indexes into
// Bundle.Tiers.
type Tier uint8

// MaxTiers is the largest number of tiers that a bundle may define.
const MaxTiers = 8

// NoTier is reported as a tier when there is no request, for example as the
// lowest tier in an empty queue.
const NoTier Tier = 0xff

// HigherThan reports whether t takes precedence over other.
func (t Tier) HigherThan(other Tier) bool { return t < other }

// LowerThan reports whether other takes precedence over t.
func (t Tier) LowerThan(other Tier) bool { return t > other }
