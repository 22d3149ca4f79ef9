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

// Names of the parts that every configuration may have besides engines and
// plain services.
const (
	AdminName     = "admin"
	LogName       = "log"
	InstancesName = "instances"
	WeightsName   = "weights"
)

// Config is the settings file of cmd/standin: JSON with comments. Addresses
// are loopback IP addresses with a port; port 0 picks a free one.
type Config struct {
	// Seed makes the random decisions repeatable.
	Seed uint64 `json:"seed"`
	// Admin is the address of /admin/ledger, /admin/faults and /admin/instances.
	Admin     string           `json:"admin"`
	Log       *LogConfig       `json:"log,omitempty"`
	Instances *InstancesConfig `json:"instances,omitempty"`
	Weights   *WeightsConfig   `json:"weights,omitempty"`
	Engines   []EngineConfig   `json:"engines,omitempty"`
	Services  []ServiceConfig  `json:"services,omitempty"`
}

// LogConfig describes the log service.
type LogConfig struct {
	Address string `json:"address"`
	// Retention is how long a record is kept; the default is 10 minutes.
	Retention state.Duration `json:"retention,omitempty"`
	// AppendsPerSecond bounds append calls; the default is 300. Calls that would
	// wait longer than 500 ms get status 429.
	AppendsPerSecond float64 `json:"appends_per_second,omitempty"`
	// Latency is added to every call.
	Latency state.Duration `json:"latency,omitempty"`
}

// InstancesConfig describes the instance list.
type InstancesConfig struct {
	Address string `json:"address"`
	// Lag is the time after which a change becomes visible.
	Lag state.Duration `json:"lag,omitempty"`
	// Members is the list at start, visible at once.
	Members []state.Member `json:"members,omitempty"`
}

// WeightsConfig describes the weight store.
type WeightsConfig struct {
	Address string `json:"address"`
	// Delay is the duration of one fetch.
	Delay state.Duration `json:"delay,omitempty"`
	// FetchesPerMinute bounds fetches; 0 sets no bound.
	FetchesPerMinute float64 `json:"fetches_per_minute,omitempty"`
	// Burst is the number of fetches allowed at once; the default is 1.
	Burst int `json:"burst,omitempty"`
}

// EngineConfig describes one engine.
type EngineConfig struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// PrefillRate is in prompt tokens per second over all requests.
	PrefillRate float64 `json:"prefill_rate"`
	// DecodeRate is in generated tokens per second over all running requests.
	DecodeRate float64 `json:"decode_rate"`
	// RequestRate bounds the generated tokens per second of one request.
	RequestRate float64 `json:"request_rate"`
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int `json:"cache_tokens"`
	// Models are the models loaded at start.
	Models []state.ModelSpec `json:"models,omitempty"`
	// ChecksFence makes the engine reject orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// LoadLag is the age of the figures in GET /load.
	LoadLag state.Duration `json:"load_lag,omitempty"`
	// CacheLag is the delay of GET /cache/events.
	CacheLag state.Duration `json:"cache_lag,omitempty"`
	// CacheGap is the share (0 to 1) of cache events that are lost.
	CacheGap float64 `json:"cache_gap,omitempty"`
	// Retained is the number of finished requests that can still be resumed; the
	// default is 1,024.
	Retained int `json:"retained,omitempty"`
}

// ServiceConfig describes one target of a plain service.
type ServiceConfig struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Address string `json:"address"`
	// Latency is the duration of one call.
	Latency state.Duration `json:"latency,omitempty"`
}

// LoadConfig reads and checks a settings file. It reports all errors.
func LoadConfig(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
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

// Validate reports every error in c, joined.
func (c *Config) Validate() error {
	var errs []error
	names := map[string]bool{}
	part := func(name, address string) {
		if name == "" || names[name] {
			errs = append(errs, fmt.Errorf("name %q is empty or used twice", name))
		}
		names[name] = true
		if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
			errs = append(errs, fmt.Errorf("%s: address %q, want a loopback IP address with a port", name, address))
		}
	}
	if c.Admin != "" {
		part(AdminName, c.Admin)
	}
	if c.Log != nil {
		part(LogName, c.Log.Address)
	}
	if c.Instances != nil {
		part(InstancesName, c.Instances.Address)
	}
	if c.Weights != nil {
		part(WeightsName, c.Weights.Address)
	}
	for _, e := range c.Engines {
		part(e.Name, e.Address)
		if e.PrefillRate <= 0 || e.DecodeRate <= 0 || e.RequestRate <= 0 {
			errs = append(errs, fmt.Errorf("%s: prefill_rate, decode_rate and request_rate must be above 0", e.Name))
		}
		if e.CacheGap < 0 || e.CacheGap > 1 || e.CacheTokens < 0 {
			errs = append(errs, fmt.Errorf("%s: cache_gap must be 0 to 1 and cache_tokens 0 or more", e.Name))
		}
	}
	for _, s := range c.Services {
		part(s.Name, s.Address)
	}
	return errors.Join(errs...)
}
