package daemon

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
)

const (
	// idleReportInterval is the time between reports to the near entries when nothing
	// changes.
	idleReportInterval = 400 * time.Millisecond
	// reportToAllInterval is the time between reports to all entries, including those
	// that are not near and those that have not been heard of yet.
	reportToAllInterval = time.Second
	// startupReportToAllInterval is the same during startupTime after the start, when
	// the other entries have not been heard of yet.
	startupReportToAllInterval = 120 * time.Millisecond
	startupTime                = 3 * time.Second
	// reportToAllTimePerEntry, multiplied by the number of entries, is the least time
	// between reports to all, so that the start of hundreds of entries does not saturate
	// their links.
	reportToAllTimePerEntry = time.Millisecond
	// usageReportTime is how long reports to all contain a customer after its usage has
	// changed. It spans several reports, because some may be lost.
	usageReportTime = 4 * time.Second
)

// exchangeReports sends reports to the other entries and handles theirs until ctx ends.
func (p *gatewayProcess) exchangeReports(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.mesh.Receive(ctx, p.handleReport, p.logMalformedReport) })
	group.Go(func() error { return p.sendReports(ctx) })
	return group.Wait()
}

// handleReport applies a report of another entry. started says that it is the first one
// since that entry started.
func (p *gatewayProcess) handleReport(m *mesh.Message, started bool) {
	if m.OriginsOnly {
		p.origins.Learn(time.Now(), m.Origins)
		return
	}
	if m.Leaving {
		p.quota.RemovePeer(m.Instance)
		if p.rollouts != nil {
			p.rollouts.Left(m.Instance)
		}
		p.scheduler.RemovePeer(m.Instance)
		return
	}
	now := time.Now()
	if started {
		p.reportToAllNext.Store(true)
	}
	p.quota.AdoptLevels(now, m.Levels)
	p.quota.ApplyReport(now, m.UsageReport())
	p.refusals.Learn(now, m.Refused)
	p.origins.Learn(now, m.Origins)
	p.origins.LearnMixed(now, m.Mixed)
	if m.Quarantine != nil {
		p.quarantine.Learn(now, m.Instance, m.Quarantine)
	}
	if m.Rollouts != nil && p.rollouts != nil {
		p.rollouts.Learn(now, m.Instance, *m.Rollouts) // before the targets of a new version
		p.control.noteDrained(m.Instance, m.Rollouts)
	}
	p.scheduler.SetReport(m.Instance, m.LoadReport())
	p.control.onEraReport(m.StoreEra)
	p.control.onListReport(m)
	p.control.onConfigurationReport(now, m.Instance, m.ConfigurationVersion)
	p.control.onBundleReport(now, m.Instance, m.BundleVersion)
}

func (p *gatewayProcess) logMalformedReport(from netip.AddrPort, err error) {
	p.log.Warn("report ignored", zap.String("from", from.String()), zap.Error(err))
}

func (p *gatewayProcess) sendReports(ctx context.Context) error {
	r := reporter{p: p, started: time.Now()}
	tick := time.NewTicker(dispatch.ReportInterval(1))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			r.tick(time.Now())
		}
	}
}

// reporter decides when reports are due and to whom.
type reporter struct {
	p          *gatewayProcess
	started    time.Time
	sequence   uint64
	nearSentAt time.Time // when the last report to the near entries was sent
	allSentAt  time.Time // when the last report to all entries was sent
	lastReport *mesh.Message
	recency    originRecency
}

// tick sends a report to the near entries or to all entries if one is due at now.
func (r *reporter) tick(now time.Time) {
	position := r.p.mesh.Position(now)
	r.p.scheduler.SetPosition(position)
	expected := r.p.mesh.ExpectedPeerCount(now)
	r.p.quota.SetExpectedPeers(expected)
	if now.Sub(r.started) > startupTime {
		expected = 0
	}
	r.p.scheduler.SetStartingPeers(expected)
	listCurrentAt, _ := r.p.control.listTimes()
	completeAt := r.recency.completeAt(now, r.p.mesh.LastHeard(now), listCurrentAt)
	if r.p.isConnected(now) {
		r.p.origins.Connected(now, now, completeAt)
	}
	// A change of the list of targets is reported at once, so that entries learn in
	// time that a target leaves.
	urgent := r.p.listChanged.Swap(false) || r.p.rollouts != nil && r.p.rollouts.HasUnreported()
	if now.Sub(r.nearSentAt) < dispatch.ReportInterval(position.Count) && !urgent {
		return
	}
	m := r.p.nearReport(r.nearSentAt)
	toAll := urgent || r.reportToAllDue(now, position.Count)
	if !toAll && now.Sub(r.nearSentAt) < idleReportInterval && sameReport(m, r.lastReport) && !r.p.refusals.HasUnreported() && !r.p.origins.HasUnreported(now) && !r.p.quarantine.HasUnreported() {
		return
	}
	r.send(now, m, toAll)
}

// reportToAllDue reports whether a report to all entries is due: at intervals, or
// because an entry has started. It clears reportToAllNext if so.
func (r *reporter) reportToAllDue(now time.Time, entries int) bool {
	sinceLast, uptime := now.Sub(r.allSentAt), now.Sub(r.started)
	if sinceLast <= minReportToAllInterval(entries, uptime) {
		return false
	}
	return r.p.reportToAllNext.Swap(false) || sinceLast > reportToAllInterval || uptime < startupTime
}

// send sends the report m to the near entries and, if toAll is set, a report to all
// other entries.
func (r *reporter) send(now time.Time, m *mesh.Message, toAll bool) {
	r.sequence++
	m.Sequence = r.sequence
	m.Refused, m.Origins = r.p.refusals.Unreported(now), r.p.origins.Unreported(now, false)
	if q := r.p.quarantine.Report(now, toAll); !q.Empty() {
		m.Quarantine = &q
	}
	if toAll || m.Change != nil {
		m.Rollouts = r.p.rolloutReport(now)
	}
	r.nearSentAt, r.lastReport = now, m
	reports := mesh.Reports{Near: m}
	if toAll {
		r.allSentAt = now
		m.Used = r.p.quota.TotalsChangedSince(now.Add(-usageReportTime))
		reports.Far = r.p.farReport(m, now)
		reports.Newcomer = func() *mesh.Message { return r.p.newcomerReport(m, now) }
	}
	if err := r.p.mesh.Send(now, reports); err != nil {
		r.p.counters.Add("report_not_sent")
		r.p.log.Debug("report not sent", zap.Error(err))
	}
}

// minReportToAllInterval returns the shortest time between reports to all entries.
// uptime is the time since this entry started.
func minReportToAllInterval(entries int, uptime time.Duration) time.Duration {
	interval := time.Duration(entries) * reportToAllTimePerEntry
	if uptime < startupTime {
		return max(startupReportToAllInterval, interval)
	}
	return interval
}

// nearReport returns the report to the near entries. It contains the totals of the
// customers whose usage has changed since the given time.
func (p *gatewayProcess) nearReport(since time.Time) *mesh.Message {
	r := p.scheduler.Report(false)
	m := &mesh.Message{
		Instance: p.settings.Instance, Incarnation: p.incarnation, Open: r.Open, Pending: r.Pending, Waiting: r.Waiting, Limits: r.Limits,
		UptimeMillis: time.Since(p.startedAt).Milliseconds(), Used: p.quota.TotalsChangedSince(since), NextReportMillis: int(idleReportInterval.Milliseconds()), BundleVersion: p.rollout.Version(),
	}
	p.control.addListState(time.Now(), m)
	if c := p.gateway.Configuration(); c != nil {
		m.ConfigurationVersion = c.Version
	}
	return m
}

// farReport returns the report to the entries that are not near: the near report m
// with the load limited to targets that are shared beyond the near entries.
func (p *gatewayProcess) farReport(m *mesh.Message, now time.Time) *mesh.Message {
	far := *m
	r := p.scheduler.Report(true)
	far.Open, far.Pending, far.Waiting = r.Open, r.Pending, r.Waiting
	far.Refused, far.Origins = nil, p.origins.Unreported(now, true)
	far.NextReportMillis = int(reportToAllInterval.Milliseconds())
	return &far
}

// newcomerReport returns the report to entries that have just started: the near report
// m with the levels of the customers' buckets, the totals of all customers and the services whose
// streams may have begun at several origins.
func (p *gatewayProcess) newcomerReport(m *mesh.Message, now time.Time) *mesh.Message {
	n := *m
	n.Levels, n.Mixed = p.quota.Levels(now), p.origins.ObservedMixed(now)
	n.Used, n.UsedComplete = p.quota.TotalsChangedSince(time.Time{}), true
	return &n
}

// sameReport reports whether a has the same configuration version, open requests, queues
// and parts of limits as b, the last report, and no usage. Then a can wait until idleReportInterval
// has passed. b may be nil.
func sameReport(a, b *mesh.Message) bool {
	return b != nil && a.ConfigurationVersion == b.ConfigurationVersion && maps.Equal(a.Open, b.Open) && len(a.Used) == 0 &&
		maps.EqualFunc(a.Waiting, b.Waiting, slices.Equal) && maps.EqualFunc(a.Limits, b.Limits, ratelimit.Note.SameExceptAge)
}
