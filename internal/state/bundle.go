package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text, for example "1.5s".
type Duration time.Duration

// MarshalJSON writes the form of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON accepts the text form of time.ParseDuration only.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s: want text with a unit such as \"1.5s\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Bundle is the versioned document of policies and configuration that operators
// sign and roll out. The field comments are the operators' reference.
type Bundle struct {
	// Version is one higher than the version of the bundle named in Base.
	Version uint64 `json:"version"`
	// Base is the identifier of the bundle that this one replaces. It is empty
	// for the first bundle and for an anchor, which starts a new sequence when
	// the earlier bundles are no longer retained.
	Base BundleID `json:"base"`
	// Note says what changed and why.
	Note string `json:"note,omitempty"`
	// Signers lists the operators and how many of them must sign the next bundle.
	Signers Signers `json:"signers"`
	// Tiers lists the tiers from the highest to the lowest, 1 to 8 of them.
	Tiers []TierPolicy `json:"tiers"`
	// Customers lists who may send requests.
	Customers []CustomerPolicy `json:"customers"`
	// Services lists groups of interchangeable targets.
	Services []ServicePolicy `json:"services"`
	// Policies maps a policy name to its filters, scorers and picker.
	Policies map[string]PlacementPolicy `json:"policies"`
	// Split divides requests between policies by the hash of the request id.
	// Shares are relative and must be positive.
	Split []PolicyShare `json:"split"`
	// Queue limits the queue and the concurrency window of each side process.
	Queue QueuePolicy `json:"queue"`
	// Retry limits retries at each entry.
	Retry RetryPolicy `json:"retry"`
	// Admission, if present, marks a bundle for a deployment whose entries send
	// requests directly to targets. Tiers, customers, services and targets then
	// come from the platform, and of the other fields only Signers, Policies and
	// Split are used.
	Admission *AdmissionPolicy `json:"admission,omitempty"`
	// Placement lists the models that each engine should have loaded, and its role.
	Placement []TargetPlacement `json:"placement,omitempty"`
	// WeightStore limits how fast targets load model weights.
	WeightStore WeightStorePolicy `json:"weight_store"`
}

// Signers lists operators' public keys.
type Signers struct {
	// Required is the number of distinct operators that must sign.
	Required int `json:"required"`
	// Keys maps an operator's name to the base64 Ed25519 public key.
	Keys map[string]string `json:"keys"`
}

// TierPolicy describes one tier.
type TierPolicy struct {
	// Name is the value of the Cassiaramp-Tier header.
	Name string `json:"name"`
	// Timeout applies to requests of this tier that state no timeout.
	Timeout Duration `json:"timeout"`
	// Reserve is the number of slots of the concurrency window that this tier
	// leaves free for higher tiers.
	Reserve int `json:"reserve"`
	// LimitReserve is the share (0 to 1) of a customer's burst that this tier
	// leaves for the customer's higher tiers.
	LimitReserve float64 `json:"limit_reserve"`
}

// CustomerPolicy describes one customer.
type CustomerPolicy struct {
	Name Customer `json:"name"`
	// KeySHA256 lists the lower-case hexadecimal SHA-256 of each bearer key.
	KeySHA256 []string `json:"key_sha256"`
	// RequestsPerSecond and Burst limit the customer at each entry.
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             int     `json:"burst"`
	// Weight is the fair-share weight relative to other customers, above 0.
	Weight float64 `json:"weight"`
	// HighestTier names the highest tier that the customer may request.
	HighestTier string `json:"highest_tier"`
}

// ServicePolicy describes one service.
type ServicePolicy struct {
	Name Service `json:"name"`
	// Kind is "engine" or "plain".
	Kind string `json:"kind"`
	// Models lists the models that the service serves; engines only.
	Models []string `json:"models,omitempty"`
	// DefaultTier names the tier of requests without a Cassiaramp-Tier header.
	DefaultTier string `json:"default_tier"`
	// NonIdempotent makes requests without a Cassiaramp-Idempotent header
	// non-idempotent.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// MaxTokens is the number of output tokens expected of a request that states
	// none.
	MaxTokens int `json:"max_tokens,omitempty"`
}

// The kinds of service.
const (
	EngineService = "engine"
	PlainService  = "plain"
)

// PlacementPolicy names the filters, scorers and picker of one policy.
type PlacementPolicy struct {
	Filters []string         `json:"filters"`
	Scorers []WeightedScorer `json:"scorers"`
	Picker  string           `json:"picker"`
}

// WeightedScorer is a scorer and the weight of its score in the sum.
type WeightedScorer struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// PolicyShare is one policy's share of the requests, see Bundle.Split.
type PolicyShare struct {
	Policy string  `json:"policy"`
	Share  float64 `json:"share"`
}

// QueuePolicy limits the queue and the concurrency window of a side process.
type QueuePolicy struct {
	MaxCount  int      `json:"max_count"`  // largest number of queued attempts
	MaxTokens int      `json:"max_tokens"` // largest number of queued prompt tokens
	MaxWindow int      `json:"max_window"` // largest number of attempts that run at once
	TokenGap  Duration `json:"token_gap"`  // target for the 95th percentile of the gap between tokens; the window adapts to it
}

// AdmissionPolicy says when an entry that sends requests directly to targets
// refuses a request.
type AdmissionPolicy struct {
	// RefuseShare is the largest predicted wait of an admitted request, as a share
	// of its route's objective; a request that would wait longer is refused at
	// once.
	RefuseShare float64 `json:"refuse_share"`
	// QueuedRequests is the number of requests that a target may have beyond its
	// slots, so that a slot that becomes free is reused at once.
	QueuedRequests int `json:"queued_requests"`
	// MinRetryAfter is the lower bound of the retry delay that a refused caller is
	// told. RetrySpread is the largest random addition to the delay, as a share of
	// it.
	MinRetryAfter Duration `json:"min_retry_after"`
	RetrySpread   float64  `json:"retry_spread"`
	// LateWork turns on rules that keep engine time for responses that come in time. They
	// act only while requests compete for slots; where they do not say otherwise, that is
	// while more requests wait at all entries than slots are free:
	//   - entries divide the free slots that they hear of in reports, instead of all sending
	//     to the same target, while fewer slots are free than others are expected to take
	//     before they hear of each other;
	//   - a request that is predicted to end after its deadline by a clear margin, as the errors
	//     of the predictions tell, gets no slot there, and is refused at once if that holds for
	//     every target. Requests that were admitted before are not.
	// See docs/design/late-work.md and docs/design/slot-contention.md.
	LateWork bool `json:"late_work,omitempty"`
	// Hedging is the extra work that hedges may do, as a share (0 to 0.2) of the slot
	// time of served requests. A hedge sends a request that may be repeated, and whose
	// target is slow for its size, to a second target. Without it, the daemon's
	// --hedging-share holds.
	Hedging *float64 `json:"hedging,omitempty"`
}

// RetryPolicy bounds retries of work that may have run.
type RetryPolicy struct {
	BudgetRatio float64  `json:"budget_ratio"` // added to the retry budget by each first attempt
	BudgetMax   float64  `json:"budget_max"`   // largest number of retries that the budget holds
	BackoffBase Duration `json:"backoff_base"`
	BackoffMax  Duration `json:"backoff_max"`
	Placements  int      `json:"placements"` // largest number of placements of one request
}

// TargetPlacement lists what one engine should have loaded.
type TargetPlacement struct {
	Target   TargetID    `json:"target"`
	Models   []ModelSpec `json:"models"`
	Adapters []string    `json:"adapters,omitempty"`
	// Role is "mixed", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// ModelSpec names a model and its version.
type ModelSpec struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// WeightStorePolicy limits the loads of model weights, summed over all targets.
type WeightStorePolicy struct {
	LoadsPerMinute float64 `json:"loads_per_minute"`
}

// TierByName returns the tier named name.
func (b *Bundle) TierByName(name string) (Tier, bool) {
	for i, t := range b.Tiers {
		if t.Name == name {
			return Tier(i), true
		}
	}
	return NoTier, false
}

// ServiceByName returns the service named name.
func (b *Bundle) ServiceByName(name Service) (*ServicePolicy, bool) {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i], true
		}
	}
	return nil, false
}

// ServiceForModel returns the engine service that serves model.
func (b *Bundle) ServiceForModel(model string) (*ServicePolicy, bool) {
	for i := range b.Services {
		for _, m := range b.Services[i].Models {
			if m == model {
				return &b.Services[i], true
			}
		}
	}
	return nil, false
}

// Validate returns all reasons why the bundle must not take effect, joined into
// one error, or nil.
func (b *Bundle) Validate() error {
	v := &bundleValidator{bundle: b}
	v.checkSigners()
	v.checkPolicies()
	if b.Admission != nil {
		v.checkAdmission(b.Admission)
		return errors.Join(v.errs...)
	}
	v.checkTiers()
	v.checkCustomers()
	v.checkServices()
	v.checkLimits()
	return errors.Join(v.errs...)
}

type bundleValidator struct {
	bundle *Bundle
	errs   []error
}

func (v *bundleValidator) require(ok bool, format string, args ...any) {
	if !ok {
		v.errs = append(v.errs, fmt.Errorf(format, args...))
	}
}

func (v *bundleValidator) checkSigners() {
	s := v.bundle.Signers
	v.require(s.Required >= 1, "signers.required: %d, want at least 1", s.Required)
	v.require(s.Required <= len(s.Keys), "signers.required: %d, but only %d keys are listed", s.Required, len(s.Keys))
}

func (v *bundleValidator) checkTiers() {
	n := len(v.bundle.Tiers)
	v.require(n >= 1 && n <= MaxTiers, "tiers: %d entries, want 1 to %d", n, MaxTiers)
	seen := map[string]bool{}
	for i, t := range v.bundle.Tiers {
		v.require(t.Name != "" && !seen[t.Name], "tiers[%d].name: %q is empty or used twice", i, t.Name)
		seen[t.Name] = true
		v.require(t.Timeout > 0, "tiers[%d].timeout: want more than 0", i)
		v.require(t.Reserve >= 0 && t.Reserve < v.bundle.Queue.MaxWindow, "tiers[%d].reserve: %d, want 0 to queue.max_window-1", i, t.Reserve)
		v.require(t.LimitReserve >= 0 && t.LimitReserve < 1, "tiers[%d].limit_reserve: %g, want 0 up to but not including 1", i, t.LimitReserve)
		if i > 0 {
			prev := v.bundle.Tiers[i-1]
			v.require(t.Reserve >= prev.Reserve, "tiers[%d].reserve: lower than that of the tier above", i)
			v.require(t.LimitReserve >= prev.LimitReserve, "tiers[%d].limit_reserve: lower than that of the tier above", i)
		} else {
			v.require(t.Reserve == 0 && t.LimitReserve == 0, "tiers[0]: the highest tier leaves no reserve")
		}
	}
}

func (v *bundleValidator) checkCustomers() {
	seen := map[Customer]bool{}
	keys := map[string]bool{}
	for i, c := range v.bundle.Customers {
		v.require(c.Name != "" && !seen[c.Name], "customers[%d].name: %q is empty or used twice", i, c.Name)
		seen[c.Name] = true
		for _, k := range c.KeySHA256 {
			v.require(len(k) == 64 && !keys[k], "customers[%d].key_sha256: %q is no SHA-256 in hexadecimal or used twice", i, k)
			keys[k] = true
		}
		v.require(c.RequestsPerSecond > 0 && c.Burst >= 1, "customers[%d]: requests_per_second and burst must be positive", i)
		v.require(c.Weight > 0, "customers[%d].weight: %g, want more than 0", i, c.Weight)
		_, ok := v.bundle.TierByName(c.HighestTier)
		v.require(ok, "customers[%d].highest_tier: %q is not a tier", i, c.HighestTier)
	}
}

func (v *bundleValidator) checkServices() {
	seen := map[Service]bool{}
	models := map[string]bool{}
	for i, s := range v.bundle.Services {
		v.require(s.Name != "" && !seen[s.Name], "services[%d].name: %q is empty or used twice", i, s.Name)
		seen[s.Name] = true
		v.require(s.Kind == EngineService || s.Kind == PlainService, "services[%d].kind: %q, want %q or %q", i, s.Kind, EngineService, PlainService)
		v.require((s.Kind == EngineService) == (len(s.Models) > 0), "services[%d].models: engines list at least one model, plain services none", i)
		_, ok := v.bundle.TierByName(s.DefaultTier)
		v.require(ok, "services[%d].default_tier: %q is not a tier", i, s.DefaultTier)
		for _, m := range s.Models {
			v.require(!models[m], "services[%d].models: %q is served by two services", i, m)
			models[m] = true
		}
	}
}

func (v *bundleValidator) checkPolicies() {
	v.require(len(v.bundle.Split) > 0, "split: want at least one policy")
	for i, s := range v.bundle.Split {
		_, ok := v.bundle.Policies[s.Policy]
		v.require(ok, "split[%d].policy: %q is not in policies", i, s.Policy)
		v.require(s.Share > 0, "split[%d].share: %g, want more than 0", i, s.Share)
	}
}

// Upper limits of AdmissionPolicy. With larger values an entry would hold
// requests until they are late, or flood targets and callers.
const (
	maxRefuseShare    = 2.0 // of the objective
	maxQueuedRequests = 8   // for each target
	maxMinRetryAfter  = 10 * time.Second
	maxRetrySpread    = 4.0 // of the retry delay
)

// maxHedgingShare is the largest share of extra work. Hedges also count in the users' budget of
// repeated sends, which is as large.
const maxHedgingShare = 0.2

// CheckHedgingShare returns an error unless share may be used for hedges.
func CheckHedgingShare(share float64) error {
	if share >= 0 && share <= maxHedgingShare {
		return nil
	}
	return fmt.Errorf("%g, want 0 to %g", share, maxHedgingShare)
}

func (v *bundleValidator) checkAdmission(a *AdmissionPolicy) {
	v.require(a.RefuseShare > 0 && a.RefuseShare <= maxRefuseShare, "admission.refuse_share: %g, want more than 0 and up to %g", a.RefuseShare, maxRefuseShare)
	v.require(a.QueuedRequests >= 0 && a.QueuedRequests <= maxQueuedRequests, "admission.queued_requests: %d, want 0 to %d", a.QueuedRequests, maxQueuedRequests)
	v.require(a.MinRetryAfter > 0 && a.MinRetryAfter.Std() <= maxMinRetryAfter, "admission.min_retry_after: %s, want more than 0 and up to %s", a.MinRetryAfter.Std(), maxMinRetryAfter)
	v.require(a.RetrySpread >= 0 && a.RetrySpread <= maxRetrySpread, "admission.retry_spread: %g, want 0 to %g", a.RetrySpread, maxRetrySpread)
	if a.Hedging != nil {
		err := CheckHedgingShare(*a.Hedging)
		v.require(err == nil, "admission.hedging: %v", err)
	}
	b := v.bundle
	v.require(len(b.Tiers) == 0 && len(b.Customers) == 0 && len(b.Services) == 0 && len(b.Placement) == 0,
		"admission: tiers, customers, services and placement must be empty: they are not taken from the bundle where entries send directly to targets")
}

func (v *bundleValidator) checkLimits() {
	b := v.bundle
	v.require(b.Queue.MaxCount >= 1 && b.Queue.MaxTokens >= 1 && b.Queue.MaxWindow >= 1, "queue: max_count, max_tokens and max_window must be positive")
	v.require(b.Queue.TokenGap > 0, "queue.token_gap: want more than 0")
	v.require(b.Retry.BudgetRatio >= 0 && b.Retry.BudgetRatio <= 1, "retry.budget_ratio: %g, want 0 to 1", b.Retry.BudgetRatio)
	v.require(b.Retry.Placements >= 1, "retry.placements: want at least 1")
	v.require(b.Retry.BackoffBase > 0 && b.Retry.BackoffMax >= b.Retry.BackoffBase, "retry: want 0 < backoff_base <= backoff_max")
	v.require(b.WeightStore.LoadsPerMinute >= 0, "weight_store.loads_per_minute: want 0 or more")
}
