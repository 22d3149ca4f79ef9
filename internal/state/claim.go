package state

// Claim is a record that reserves a caller's key for one attempt. The first
// valid record per key and placement number in log order wins.
type Claim struct {
	Key         string      `cbor:"1,keyasint"` // customer and caller's key, hashed
	Placement   uint32      `cbor:"2,keyasint"` // number of this placement of the key, from 1
	Attempt     AttemptID   `cbor:"3,keyasint"`
	Target      TargetID    `cbor:"4,keyasint"`
	Incarnation Incarnation `cbor:"5,keyasint"` // of the addressed side process
	// Fingerprint is the xxhash64 of method, path and body. A request that reuses
	// the key with another fingerprint is refused.
	Fingerprint uint64 `cbor:"6,keyasint"`
	// Receipt is the phase, AttemptVoided or AttemptNotRun, that the target of
	// placement Placement-1 reported for that attempt; 0 for the first placement.
	Receipt Phase `cbor:"7,keyasint,omitempty"`
}

// ClaimResult is the outcome of an attempt to claim a key.
type ClaimResult struct {
	Won    bool  // true if the requested claim holds the key
	Holder Claim // the claim in effect with the highest placement number
}
