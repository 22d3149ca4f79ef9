package state

// Role is the function of a process in the system.
type Role string

// The roles.
const (
	EntryRole Role = "entry" // accepts requests from callers
	SideRole  Role = "side"  // runs next to one target and dispatches requests to it
)

// Member is one row of the platform's instance list.
type Member struct {
	Instance InstanceID    `json:"instance"`
	Role     Role          `json:"role"`
	Domain   FailureDomain `json:"failure_domain"`
	// Address is the IP address and UDP port for sessions; side processes only.
	Address string `json:"address,omitempty"`
	// Target and Service name the target of a side process.
	Target  TargetID `json:"target,omitempty"`
	Service Service  `json:"service,omitempty"`
	Leaving bool     `json:"leaving,omitempty"` // accepts no new attempts
}
