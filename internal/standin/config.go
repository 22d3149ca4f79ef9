package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/tailscale/hujson"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Names of the stand-ins of which there is at most one each. Engines and plain
// services get their names from the settings.
const (
	AdminName     = "admin"
	LogName       = "log"
	InstancesName = "instances"
	WeightsName   = "weights"
)

// Config holds the settings of a Platform, and is the format of the settings
// file of cmd/standin: JSON with comments. Addresses are loopback IP addresses
// with a port; port 0 picks a free one. A stand-in without settings is not
// started.
type Config struct {
	// Seed seeds the random decisions of the faults, so that they are repeatable.
	Seed uint64 `json:"seed"`
	// Admin is the address that serves /admin/ledger, /admin/faults and
	// /admin/instances.
	Admin     string           `json:"admin"`
	Log       *LogConfig       `json:"log,omitempty"`
	Instances *InstancesConfig `json:"instances,omitempty"`
	Weights   *WeightsConfig   `json:"weights,omitempty"`
	Engines   []EngineConfig   `json:"engines,omitempty"`
	Services  []ServiceConfig  `json:"services,omitempty"`
}

// LogConfig holds the settings of the log service.
type LogConfig struct {
	Address string `json:"address"`
	// Retention is how long a record is kept; the default is 10 minutes.
	Retention state.Duration `json:"retention,omitempty"`
	// AppendsPerSecond is the rate limit of append calls; the default is 300.
	// Calls that would have to wait longer than 500 ms get status 429.
	AppendsPerSecond float64 `json:"appends_per_second,omitempty"`
	// Latency delays every call.
	Latency state.Duration `json:"latency,omitempty"`
}

// InstancesConfig holds the settings of the instance list.
type InstancesConfig struct {
	Address string `json:"address"`
	// Lag is the time until a change becomes visible to readers.
	Lag state.Duration `json:"lag,omitempty"`
	// Members is the initial list; it is visible at once.
	Members []state.Member `json:"members,omitempty"`
}

// WeightsConfig holds the settings of the weight store.
type WeightsConfig struct {
	Address string `json:"address"`
	// Delay is the duration of one fetch.
	Delay state.Duration `json:"delay,omitempty"`
	// FetchesPerMinute is the rate limit of fetches; 0 means no limit.
	FetchesPerMinute float64 `json:"fetches_per_minute,omitempty"`
	// Burst is the number of fetches that the rate limit allows at once; the
	// default is 1.
	Burst int `json:"burst,omitempty"`
}

// EngineConfig holds the settings of one engine.
type EngineConfig struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// PrefillRate is the number of prompt tokens that are prefilled per second,
	// over all requests.
	PrefillRate float64 `json:"prefill_rate"`
	// DecodeRate is the number of tokens that are generated per second, over all
	// requests past their prefill.
	DecodeRate float64 `json:"decode_rate"`
	// RequestRate bounds the generated tokens per second of one request.
	RequestRate float64 `json:"request_rate"`
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int `json:"cache_tokens"`
	// Models are the models loaded at start.
	Models []state.ModelSpec `json:"models,omitempty"`
	// ChecksFence makes the engine reject orders with an outdated fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// LoadLag is the age of the load report in GET /load.
	LoadLag state.Duration `json:"load_lag,omitempty"`
	// CacheLag is the time until a cache event appears in GET /cache/events.
	CacheLag state.Duration `json:"cache_lag,omitempty"`
	// CacheGap is the share (0 to 1) of cache events that are lost.
	CacheGap float64 `json:"cache_gap,omitempty"`
	// Retained is the number of finished requests that can still be resumed; the
	// default is 1,024.
	Retained int `json:"retained,omitempty"`
}

// ServiceConfig holds the settings of one target of a plain service.
type ServiceConfig struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Address string `json:"address"`
	// Latency is the duration of one call.
	Latency state.Duration `json:"latency,omitempty"`
}

// LoadConfig reads a settings file and validates it as Validate does.
func LoadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	standardJSON, err := hujson.Standardize(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	dec := json.NewDecoder(bytes.NewReader(standardJSON))
	dec.DisallowUnknownFields()
	c := new(Config)
	if err := dec.Decode(c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := c.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Validate checks names, addresses, rates and shares. It returns all errors,
// joined.
func (c *Config) Validate() error {
	var errs []error
	usedNames := map[string]bool{}
	checkEndpoint := func(name, address string) {
		if name == "" || usedNames[name] {
			errs = append(errs, fmt.Errorf("stand-in name %q is empty or used twice", name))
		}
		usedNames[name] = true
		if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
			errs = append(errs, fmt.Errorf("%s: address %q, want a loopback IP address with a port", name, address))
		}
	}
	if c.Admin != "" {
		checkEndpoint(AdminName, c.Admin)
	}
	if c.Log != nil {
		checkEndpoint(LogName, c.Log.Address)
	}
	if c.Instances != nil {
		checkEndpoint(InstancesName, c.Instances.Address)
	}
	if c.Weights != nil {
		checkEndpoint(WeightsName, c.Weights.Address)
	}
	for _, e := range c.Engines {
		checkEndpoint(e.Name, e.Address)
		if e.PrefillRate <= 0 || e.DecodeRate <= 0 || e.RequestRate <= 0 {
			errs = append(errs, fmt.Errorf("%s: prefill_rate, decode_rate and request_rate must be above 0", e.Name))
		}
		if e.CacheGap < 0 || e.CacheGap > 1 || e.CacheTokens < 0 {
			errs = append(errs, fmt.Errorf("%s: cache_gap must be 0 to 1 and cache_tokens 0 or more", e.Name))
		}
	}
	for _, s := range c.Services {
		checkEndpoint(s.Name, s.Address)
	}
	return errors.Join(errs...)
}
