package main

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/coordination/placement"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// operators are the two signers of every bundle. Their keys are derived from their
// names and need not be secret, because the bundles exist only in a measurement.
var operators = []string{"ama", "kofi"}

func operatorKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("slopes " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func signers() state.Signers {
	s := state.Signers{Required: len(operators), Keys: map[string]string{}}
	for _, name := range operators {
		s.Keys[name] = base64.StdEncoding.EncodeToString(operatorKey(name).Public().(ed25519.PublicKey))
	}
	return s
}

func customerKey(i int) string { return fmt.Sprintf("slopes-key-%d", i) }

// modelName returns the name of the model that the k-th service serves.
func modelName(k int) string { return fmt.Sprintf("model-large-%d", k) }

func serviceName(k int) state.Service { return state.Service(fmt.Sprintf("llm-%d", k)) }

func targetName(i int) state.TargetID { return state.TargetID(fmt.Sprintf("engine-%03d", i)) }

// newBundle returns a bundle with the given numbers of customers, services and placed
// targets.
func newBundle(version uint64, base state.BundleID, customers, services, placements int) *state.Bundle {
	b := &state.Bundle{
		Version: version, Base: base, Signers: signers(),
		Tiers: []state.TierPolicy{
			{Name: "alarm", Timeout: state.Duration(5 * time.Second)},
			{Name: "plan", Timeout: state.Duration(time.Minute), Reserve: 1, LimitReserve: 0.1},
			{Name: "check", Timeout: state.Duration(2 * time.Minute), Reserve: 2, LimitReserve: 0.2},
			{Name: "bulk", Timeout: state.Duration(10 * time.Minute), Reserve: 4, LimitReserve: 0.4},
		},
		Policies: placement.BuiltInPolicies(), Split: []state.PolicyShare{{Policy: placement.PolicyCost, Share: 1}},
		Queue: state.QueuePolicy{MaxCount: 1 << 16, MaxTokens: 1 << 30, MaxWindow: 256, TokenGap: state.Duration(200 * time.Millisecond)},
		Retry: state.RetryPolicy{BudgetRatio: 0.1, BudgetMax: 10, BackoffBase: state.Duration(50 * time.Millisecond),
			BackoffMax: state.Duration(2 * time.Second), Placements: 4},
		WeightStore: state.WeightStorePolicy{LoadsPerMinute: 60},
	}
	for i := range customers {
		sum := sha256.Sum256([]byte(customerKey(i)))
		b.Customers = append(b.Customers, state.CustomerPolicy{
			Name: state.Customer(fmt.Sprintf("customer-name-%04d", i)), KeySHA256: []string{hex.EncodeToString(sum[:])},
			RequestsPerSecond: 1000, Burst: 2000, Weight: 4, HighestTier: "alarm",
		})
	}
	for k := range services {
		b.Services = append(b.Services, state.ServicePolicy{
			Name: serviceName(k), Kind: state.EngineService, Models: []string{modelName(k)}, DefaultTier: "plan", MaxTokens: 400,
		})
	}
	for i := range placements {
		b.Placement = append(b.Placement, state.TargetPlacement{
			Target: targetName(i), Models: []state.ModelSpec{{Name: modelName(i % services), Version: "1"}}, Role: "mixed",
		})
	}
	return b
}

// sign returns the encoded document of b and the signatures of both operators.
func sign(b *state.Bundle) ([]byte, []state.Signature, error) {
	document, err := bundle.Encode(b)
	if err != nil {
		return nil, nil, err
	}
	var signatures []state.Signature
	for _, name := range operators {
		s, err := bundle.Sign(document, name, operatorKey(name))
		if err != nil {
			return nil, nil, err
		}
		signatures = append(signatures, s)
	}
	return document, signatures, nil
}

// publish appends b to the log and returns its identifier.
func publish(ctx context.Context, log logstream.Log, b *state.Bundle) (state.BundleID, error) {
	document, signatures, err := sign(b)
	if err != nil {
		return "", err
	}
	p := bundle.Publish(ctx, log, signers(), document, signatures)
	if p.Outcome != bundle.OutcomeAccepted {
		return "", fmt.Errorf("publish version %d: %s: %w", b.Version, p.Outcome, p.Err)
	}
	return p.ID, nil
}
