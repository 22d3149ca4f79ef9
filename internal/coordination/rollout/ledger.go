package rollout

import (
	"sync"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Config has what a Ledger needs to know of its entry.
type Config struct {
	Self        state.InstanceID
	Incarnation state.Incarnation
	// ExposureShare is the part of the requests of a service that may be sent to a version
	// that turns out to be bad.
	ExposureShare float64
	// ExposureSlack returns this entry's part of the requests beyond ExposureShare. It must be
	// 0 for an entry that was restarted, and the parts of all entries must not exceed the
	// slack of the platform.
	ExposureSlack func() float64
	// RollbackTime is the time within which sending to a bad version must end.
	RollbackTime time.Duration
	// Entries returns the other entries that have been heard recently and do not leave.
	Entries func(now time.Time) []state.InstanceID
	// MaxRouteTimeout returns the longest time limit of a route.
	MaxRouteTimeout func() time.Duration
	// Log is called for each decision that changes what the ledger believes, if it is set. It
	// must not call the ledger.
	Log func(Event)
}

// Event is a decision of the ledger, to be logged.
type Event struct {
	Service state.Service
	Number  uint64
	Phase   Phase
	Message string // "order seen", "plan learned", "version found bad", "old targets drained"
	Reason  string
	// From is the entry that an event was learned from, or empty.
	From state.InstanceID
}

// Ledger holds the roll-outs of all services as one entry sees them. It is safe for
// concurrent use.
type Ledger struct {
	cfg Config
	mu  sync.Mutex
}

// New returns a ledger without orders. Until Loaded is called, orders and plans are only
// collected, and of a service with several versions only the most frequent one is used.
func New(cfg Config) *Ledger { return &Ledger{cfg: cfg} }

// Loaded records that all orders and plans have been read once from the store or from the
// snapshot of another entry, so that a service without a plan has none.
func (l *Ledger) Loaded(now time.Time) {}

// SetOrder takes the newest order of a service as read from the store. It may be called
// again with the same order.
func (l *Ledger) SetOrder(now time.Time, o Order) {}

// LearnPlan takes a plan from the store, a snapshot or a report, and reports whether it
// changed the one that is known. The higher number wins, then the later order, then the
// higher phase. A terminal phase does not change.
func (l *Ledger) LearnPlan(now time.Time, p Plan) (changed bool) { return false }

// StoredPlan takes the plan that the store holds for a service, as LearnPlan does, and
// remembers that it is stored, so that Decide returns a plan if the store lacks one or has
// an earlier one. A zero Plan with only Order.Service set says that the store has none.
func (l *Ledger) StoredPlan(now time.Time, p Plan) (changed bool) { return false }

// SetTargets takes the list of targets.
func (l *Ledger) SetTargets(now time.Time, records []state.TargetRecord) {}

// StoreReached records that the store has answered this entry. An entry that has reached
// neither the store nor another entry lately uses only the old version during the trial.
func (l *Ledger) StoreReached(now time.Time) {}

// Plans returns the plans of all services, for snapshots.
func (l *Ledger) Plans(now time.Time) []Plan { return nil }

// Choose says which targets may serve a request of a route now. It takes a permit if only
// the new version may, in the phase Trial. It must be called again before each attempt.
func (l *Ledger) Choose(now time.Time, service state.Service, route string) Choice { return Choice{} }

// Resume says whether a request that only targets of the given version can serve, because
// they have begun its stream, may be sent now. It takes a permit if there is one.
func (l *Ledger) Resume(now time.Time, service state.Service, route string, version state.SoftwareVersion) (Choice, bool) {
	return Choice{}, true
}

// ReturnPermit gives back the permit of a choice, if it has one, because the request was not
// sent to the new version. A permit that was used must not be returned.
func (l *Ledger) ReturnPermit(now time.Time, service state.Service, c Choice) {}

// Sent records that a request was sent to a target of a version. Permits are earned by
// first attempts only, because the platform counts the requests of callers. first reports
// whether this is the first attempt of the caller's request.
func (l *Ledger) Sent(now time.Time, service state.Service, software state.SoftwareVersion, first bool) {
}

// Observe records the end of a request at a target.
func (l *Ledger) Observe(now time.Time, o Observation) {}

// SetOpen takes the numbers of requests of this entry in progress, streams included, by
// service and version. A request counts from the Choose that precedes its sending on, or
// the wiring must call Choose again before it sends the request.
func (l *Ledger) SetOpen(now time.Time, open map[state.Service]map[state.SoftwareVersion]int) {}

// HasUnreported reports whether there is a verdict, a phase or an acknowledgement that is to
// be told at once.
func (l *Ledger) HasUnreported() bool { return false }

// Report returns what the next report to another entry is to contain.
func (l *Ledger) Report(now time.Time) Report { return Report{} }

// Learn takes the report of another entry.
func (l *Ledger) Learn(now time.Time, from state.InstanceID, r Report) {}

// Decide returns the next plan of a service that the leader is to write, if any. The leader
// calls StoredPlan after the write has succeeded or after it has read another plan. The
// plan takes effect only then.
func (l *Ledger) Decide(now time.Time, service state.Service) (Plan, bool) { return Plan{}, false }

// Services returns the services that have an order or a plan.
func (l *Ledger) Services() []state.Service { return nil }
