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
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
)

const (
	// reportInterval is the shortest time between reports to few entries. It is
	// below the time for which a slot is held, so that reports follow the load.
	reportInterval = 40 * time.Millisecond
	// quietInterval is the time between reports when nothing changes.
	quietInterval = 400 * time.Millisecond
	// greetInterval is the time between reports to all entries, also those that are
	// not near or not heard of.
	greetInterval = time.Second
	// firstGreetInterval is the same in the firstGreetTime after the start, when
	// the others are not heard of yet.
	firstGreetInterval = 120 * time.Millisecond
	firstGreetTime     = 3 * time.Second
	// greetCost for each entry is the least time between reports to all, so that a
	// start of hundreds of entries does not fill their links.
	greetCost = time.Millisecond
	// usedTime is how long reports to all name a customer after its use has changed.
	// It covers some lost reports.
	usedTime = 4 * time.Second
	// fewEntries is the number of entries up to which reports go at the shortest
	// interval. It grows in proportion beyond, to bound packets and processor time.
	fewEntries = 12
)

// exchangeReports sends reports to the other entries and takes over theirs.
func (p *gatewayProcess) exchangeReports(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.mesh.Receive(ctx, p.receive, p.malformed) })
	group.Go(func() error { return p.sendReports(ctx) })
	return group.Wait()
}

func (p *gatewayProcess) receive(m *mesh.Message, started bool) {
	if m.Leaving {
		p.quota.RemovePeer(m.Instance)
		p.scheduler.SetReport(m.Instance, dispatch.Report{})
		return
	}
	now := time.Now()
	if started {
		p.greetNext.Store(true)
	}
	p.quota.AdoptLevels(now, m.Levels)
	p.quota.ApplyReport(now, m.Instance, m.Incarnation, m.Used, m.UsedComplete)
	p.scheduler.SetReport(m.Instance, m.LoadReport())
	p.control.listReported(m)
	p.control.configurationReported(now, m.Instance, m.ConfigurationVersion)
	p.control.bundleReported(now, m.Instance, m.BundleVersion)
}

func (p *gatewayProcess) malformed(from netip.AddrPort, err error) {
	p.log.Warn("report ignored", zap.String("from", from.String()), zap.Error(err))
}

func (p *gatewayProcess) sendReports(ctx context.Context) error {
	r := reporter{p: p, started: time.Now()}
	tick := time.NewTicker(reportInterval)
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
	p        *gatewayProcess
	started  time.Time
	sequence uint64
	sent     time.Time // last report to the near entries
	greeted  time.Time // last report to all
	last     *mesh.Message
}

func (r *reporter) tick(now time.Time) {
	position := r.p.mesh.Position(now)
	r.p.scheduler.SetPosition(position)
	// A change of the list does not wait: entries must learn in time that a target
	// leaves.
	urgent := r.p.listChanged.Swap(false)
	if now.Sub(r.sent) < reportPause(position.Count) && !urgent {
		return
	}
	m := r.p.report(r.sent)
	greet := urgent || r.greetDue(now, position.Count)
	if !greet && now.Sub(r.sent) < quietInterval && sameReport(m, r.last) {
		return
	}
	r.send(now, m, greet)
}

// greetDue reports whether all entries are to be told.
func (r *reporter) greetDue(now time.Time, entries int) bool {
	since, running := now.Sub(r.greeted), now.Sub(r.started)
	if since <= greetPause(entries, running) {
		return false
	}
	return r.p.greetNext.Swap(false) || since > greetInterval || running < firstGreetTime
}

func (r *reporter) send(now time.Time, m *mesh.Message, greet bool) {
	r.sequence++
	m.Sequence = r.sequence
	r.sent, r.last = now, m
	reports := mesh.Reports{Near: m}
	if greet {
		r.greeted = now
		m.Used = r.p.quota.TotalsChangedSince(now.Add(-usedTime))
		reports.Far = r.p.farReport(m)
		reports.Newcomer = func() *mesh.Message { return r.p.newcomerReport(m, now) }
	}
	if err := r.p.mesh.Send(now, reports); err != nil {
		r.p.counters.Add("report_not_sent")
		r.p.log.Debug("report not sent", zap.Error(err))
	}
}

// reportPause returns the shortest time between reports to the near entries.
func reportPause(entries int) time.Duration {
	return reportInterval * time.Duration(max(1, (min(entries, dispatch.MaxFullMeshEntries)-1)/fewEntries))
}

// greetPause returns the shortest time between reports to all entries.
func greetPause(entries int, running time.Duration) time.Duration {
	pause := time.Duration(entries) * greetCost
	if running < firstGreetTime {
		return max(firstGreetInterval, pause)
	}
	return pause
}

// report returns what the near entries are told, with the use of allowances since
// the last report.
func (p *gatewayProcess) report(since time.Time) *mesh.Message {
	r := p.scheduler.Report(false)
	m := &mesh.Message{
		Instance: p.settings.Instance, Incarnation: p.incarnation, Open: r.Open, Prefill: r.Prefill, Waiting: r.Waiting,
		Used: p.quota.TotalsChangedSince(since), NextReportMillis: int(quietInterval.Milliseconds()), BundleVersion: p.rollout.Version(),
	}
	p.control.tellList(time.Now(), m)
	if c := p.gateway.Configuration(); c != nil {
		m.ConfigurationVersion = c.Version
	}
	return m
}

// farReport returns what all other entries are told, along with the near report m.
func (p *gatewayProcess) farReport(m *mesh.Message) *mesh.Message {
	far := *m
	r := p.scheduler.Report(true)
	far.Open, far.Prefill, far.Waiting = r.Open, r.Prefill, r.Waiting
	far.NextReportMillis = int(greetInterval.Milliseconds())
	return &far
}

// newcomerReport returns what entries that have just started are told: the near
// report m and all use of allowances.
func (p *gatewayProcess) newcomerReport(m *mesh.Message, now time.Time) *mesh.Message {
	n := *m
	n.Levels = p.quota.Levels(now)
	n.Used, n.UsedComplete = p.quota.TotalsChangedSince(time.Time{}), true
	return &n
}

func sameReport(a, b *mesh.Message) bool {
	return b != nil && a.ConfigurationVersion == b.ConfigurationVersion && maps.Equal(a.Open, b.Open) && len(a.Used) == 0 &&
		maps.EqualFunc(a.Waiting, b.Waiting, slices.Equal)
}
