package daemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

// applyConfiguration puts the configurations among the records of the topic into
// effect, and passes on the orders of roll-outs.
func (c *control) applyConfiguration(now time.Time, listed bool, records []keyedtopic.Record, next keyedtopic.Position) {
	c.applyOrders(now, listed, records, next)
	for _, r := range records {
		if r.Key != platform.ConfigurationKey || len(r.Value) == 0 {
			continue
		}
		config, err := platform.DecodeConfiguration(r.Value)
		if err != nil {
			c.p.log.Error("configuration record cannot be decoded", zap.Uint64("offset", r.Offset), zap.Error(err))
			continue
		}
		c.setConfiguration(config, "store")
	}
}

// setConfiguration puts a configuration into effect unless the gateway rejects it as
// not newer. source is the store or the address of another entry, for the log.
func (c *control) setConfiguration(config *state.Configuration, source string) {
	old := c.p.gateway.Configuration()
	if !c.p.gateway.SetConfiguration(config) {
		return
	}
	c.checkMixedServices()
	c.p.quota.SetCustomers(time.Now(), config.Customers)
	c.logChangedAllowances(old, config)
	c.p.log.Info("configuration in effect", zap.Int64("version", config.Version), zap.String("source", source),
		zap.Int("routes", len(config.Routes)), zap.Int("customers", len(config.Customers)))
}

// logChangedAllowances logs the allowance of each customer whose rate, burst or number
// of keys differs between the configurations. old may be nil.
func (c *control) logChangedAllowances(old, config *state.Configuration) {
	previous := make(map[state.Customer]state.CustomerConfig)
	if old != nil {
		for _, customer := range old.Customers {
			previous[customer.Name] = customer
		}
	}
	for _, customer := range config.Customers {
		oldConfig, ok := previous[customer.Name]
		if ok && oldConfig.Rate == customer.Rate && oldConfig.Burst == customer.Burst && len(oldConfig.Keys) == len(customer.Keys) {
			continue
		}
		c.p.log.Info("customer allowance", zap.Int64("version", config.Version), zap.String("customer", string(customer.Name)),
			zap.Float64("rate", customer.Rate), zap.Float64("burst", customer.Burst), zap.Bool("tokens", customer.CountsTokens),
			zap.Bool("has_tier", customer.HasTier), zap.Int("tier", customer.Tier), zap.Int("keys", len(customer.Keys)))
	}
}

// onConfigurationReport requests a fetch of the configuration when other entries have
// reported a newer one for configurationFetchDelay, or at once if there is none here.
func (c *control) onConfigurationReport(now time.Time, from state.InstanceID, version int64) {
	c.p.origins.ConfigurationReported(now, version)
	own := c.p.gateway.Configuration()
	if own == nil {
		if version > 0 {
			c.requestFetch(from)
		}
		return
	}
	if version > own.Version && c.configurationFetches.allow(now, uint64(own.Version), configurationFetchDelay) {
		c.p.log.Info("configuration is newer elsewhere", zap.String("entry", string(from)),
			zap.Int64("version", version), zap.Int64("own", own.Version))
		c.requestFetch(from)
	}
}
