package daemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/registry"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

func (c *control) applyConfiguration(_ time.Time, _ bool, records []registry.Record, _ uint64) {
	for _, r := range records {
		if r.Key != platform.ConfigurationKey || len(r.Value) == 0 {
			continue
		}
		config, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			c.p.log.Error("configuration not decoded", zap.Uint64("offset", r.Offset), zap.Error(err))
			continue
		}
		c.setConfiguration(config, "store")
	}
}

func (c *control) setConfiguration(config *state.Configuration, source string) {
	old := c.p.gateway.Configuration()
	if !c.p.gateway.SetConfiguration(config) {
		return
	}
	c.logCustomers(old, config)
	c.p.log.Info("configuration in effect", zap.Int64("version", config.Version), zap.String("source", source),
		zap.Int("routes", len(config.Routes)), zap.Int("customers", len(config.Customers)))
}

// logCustomers logs the allowances that a configuration changes.
func (c *control) logCustomers(old, config *state.Configuration) {
	before := make(map[state.Customer]state.CustomerConfig)
	if old != nil {
		for _, customer := range old.Customers {
			before[customer.Name] = customer
		}
	}
	for _, customer := range config.Customers {
		was, ok := before[customer.Name]
		if ok && was.Rate == customer.Rate && was.Burst == customer.Burst && len(was.Keys) == len(customer.Keys) {
			continue
		}
		c.p.log.Info("customer allowance", zap.Int64("version", config.Version), zap.String("customer", string(customer.Name)),
			zap.Float64("rate", customer.Rate), zap.Float64("burst", customer.Burst), zap.Bool("tokens", customer.CountsTokens),
			zap.Bool("has_tier", customer.HasTier), zap.Int("tier", customer.Tier), zap.Int("keys", len(customer.Keys)))
	}
}

// configurationReported has the configuration fetched when another entry has had a
// newer one for a while.
func (c *control) configurationReported(now time.Time, from state.InstanceID, version int64) {
	own := c.p.gateway.Configuration()
	if own == nil {
		return // asked for at intervals already
	}
	if version > own.Version && c.configurationBehind.ask(now, uint64(own.Version), behindTime) {
		c.p.log.Info("configuration is newer elsewhere", zap.String("entry", string(from)),
			zap.Int64("version", version), zap.Int64("own", own.Version))
		c.askFor(from)
	}
}
