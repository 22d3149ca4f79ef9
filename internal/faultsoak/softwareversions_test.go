package faultsoak

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/emulator"
)

var (
	versionsFlag = flag.String("faultsoak.versions", "", "software versions of a deployment's targets, drawn by the seed if not given: one; two, drawn at each start; roll, v1 at first and v2 for targets that replace others; new, another one every five starts; services, one for each of the two services of streams")
	inPlaceFlag  = flag.Bool("faultsoak.inplace", false, "a target that replaces another keeps its identifier and address; no conforming deployment does so")
)

const (
	versionsOne      = "one"
	versionsTwo      = "two"
	versionsRoll     = "roll"
	versionsNew      = "new"
	versionsServices = "services"

	// startsPerVersion is the number of starts of targets with the same version of versionsNew.
	startsPerVersion = 5
)

var versionsForms = []string{versionsOne, versionsTwo, versionsRoll, versionsNew, versionsServices}

// software returns the software version of a target of a service that starts. It is called by one
// goroutine at a time.
func (d *deploymentRun) software(service string, replaces bool) string {
	n := 0
	switch d.targetStarts++; d.fleet.versions {
	case versionsTwo:
		n = d.versions.IntN(2)
	case versionsRoll:
		if replaces {
			n = 1
		}
	case versionsNew:
		n = (d.targetStarts - 1) / startsPerVersion
	case versionsServices:
		if strings.HasSuffix(service, movedSuffix) {
			n = 1
		}
	}
	return fmt.Sprintf("v%d", n+1)
}

// listLater writes the record of a target that replaces another, after a while if records of the fleet
// are late. The caller holds the lock of the world.
func (d *deploymentRun) listLater(e *engine) {
	w := d.world
	if d.fleet.recordLag == 0 {
		w.putTargetRecord(e, "ready")
		return
	}
	lag := time.Duration(rand.Int64N(int64(d.fleet.recordLag)))
	e.listedFrom = time.Now().Add(lag)
	time.AfterFunc(lag, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !e.removed {
			w.putTargetRecord(e, "ready")
		}
	})
}

// removeRecord removes the record of a target that has ended, unless another one has its identifier.
func (w *world) removeRecord(e *engine) {
	if !*inPlaceFlag {
		w.store.Put("keyed.servers", e.ID, nil)
	}
}

// written is a whole event that a caller got.
type written struct {
	number int
	by     emulator.Run
}

func (d *deploymentRun) eventsOf(a *attempt) (events []written) {
	runs := d.runsOf(a.id)
	n := a.after
	for event := range strings.SplitAfterSeq(a.body, "\n\n") {
		n++
		i := slices.IndexFunc(runs, func(r emulator.Run) bool {
			return strings.HasSuffix(event, fmt.Sprintf(" %s run %d\n\n", r.Software, r.Number))
		})
		if i >= 0 {
			events = append(events, written{n, runs[i]})
		}
	}
	return events
}

// place is where runs of one stream may follow each other.
type place struct{ service, software string }

func placeOf(r emulator.Run) place { return place{r.Service, r.Software} }

// joined says who joined events of two places in a stream and which. by is "" for none.
type joined struct {
	by          string
	event       int
	piece, from emulator.Run // that wrote the event, and the first one of the stream
}

const joinedByEntry, joinedByCaller = "the entry", "the caller"

// what names that in which the places differ.
func (j joined) what() string {
	switch sameService := j.piece.Service == j.from.Service; {
	case sameService:
		return "two software versions"
	case j.piece.Software == j.from.Software:
		return "two services"
	}
	return "two services and software versions"
}

func (j joined) String() string {
	describe := func(r emulator.Run) string {
		return fmt.Sprintf("run %d at %s of %s, %s", r.Number, r.Target, r.Service, r.Software)
	}
	return fmt.Sprintf("%s joined %s: event %d came from %s, the first from %s", j.by, j.what(), j.event, describe(j.piece), describe(j.from))
}

// joinedPlaces compares the events of an attempt with the first one of its stream, which may have
// come in one of the attempts before.
func (d *deploymentRun) joinedPlaces(a *attempt, before []*attempt) joined {
	if a.kind.kind != "streaming" {
		return joined{}
	}
	events := d.eventsOf(a)
	var first []written
	for _, b := range slices.Backward(before) {
		if first = d.eventsOf(b); len(first) > 0 {
			break
		}
	}
	first = append(first, events...)
	i := slices.IndexFunc(events, func(e written) bool { return placeOf(e.by) != placeOf(first[0].by) })
	if i < 0 {
		return joined{}
	}
	by := joinedByEntry
	if i == 0 {
		by = joinedByCaller
	}
	return joined{by: by, event: events[i].number, piece: events[i].by, from: first[0].by}
}

// resumptions counts resumptions of streams before their last event, by what came of them.
type resumptions struct {
	total, wentOn int
	refused       map[string]int // by reason
}

func (r *resumptions) count(refusal string) {
	if r.total++; refusal == "" {
		r.wentOn++
		return
	}
	if r.refused == nil {
		r.refused = make(map[string]int)
	}
	r.refused[refusal]++
}

func (r resumptions) String() string {
	return fmt.Sprintf("%d of %d went on, refused: %v", r.wentOn, r.total, r.refused)
}

// refusalPattern finds the reason for which an entry broke a stream off or refused a request.
var refusalPattern = regexp.MustCompile(`msg="(stream aborted|request failed|placement refused)".* request=(\S+) .*reason=(\S+)`)

// countResumptions counts those of streams whose route allows it. An entry resumes a stream that its
// target breaks off after the first event; it is refused if the entry aborts the stream before its
// last event. One that is aborted behind it counts in the line of streams.
//
// A caller that does not name the request that began its stream counts in unnamed.
func (d *deploymentRun) countResumptions() (byEntry, named, unnamed resumptions) {
	reasons := make(map[string]map[string]string) // by request and message
	for _, line := range d.world.logLines() {
		if m := refusalPattern.FindStringSubmatch(line); m != nil {
			if reasons[m[2]] == nil {
				reasons[m[2]] = make(map[string]string)
			}
			reasons[m[2]][m[1]] = m[3]
		}
	}
	for _, a := range d.attempts {
		if !a.kind.resumable {
			continue
		}
		aborted := reasons[a.id]["stream aborted"]
		if aborted != "" && reasons[a.id]["placement refused"] != "" {
			aborted += "/" + reasons[a.id]["placement refused"]
		}
		goesOn := slices.ContainsFunc(ranOf(d.runsOf(a.id)), func(r emulator.Run) bool { return r.After > a.after && r.After < a.events })
		if took := a.ended.Sub(a.begun); aborted != "" && took > min(a.limit, a.kind.timeout)*9/10 {
			aborted = "time limit"
		}
		if goesOn && aborted == "" || aborted != "" && a.after+a.received() < a.events {
			byEntry.count(aborted)
		}
		if a.resumes == "" || a.behindEnd() {
			continue
		}
		byCaller := &named
		if a.unnamed {
			byCaller = &unnamed
		}
		switch reason := reasons[a.id]["request failed"]; {
		case a.status == http.StatusOK:
			byCaller.count("")
		case reason != "":
			if placement := reasons[a.id]["placement refused"]; placement != "" {
				reason += "/" + placement
			}
			byCaller.count(fmt.Sprintf("%s (%d)", reason, a.status))
		default:
			byCaller.count(fmt.Sprintf("status %d", a.status))
		}
	}
	return byEntry, named, unnamed
}

// describeResumptions also says how many streams were joined from two places, and of which there are
// several.
func (d *deploymentRun) describeResumptions() string {
	byEntry, named, unnamed := d.countResumptions()
	joins := make(map[string]int)
	byID := d.attemptsByID()
	places := make(map[string]bool)
	for _, a := range d.attempts {
		if j := d.joinedPlaces(a, attemptsBefore(a, byID)); j.by != "" {
			joins[j.by+", "+j.what()]++
		}
		if a.kind.kind != "streaming" {
			continue
		}
		for _, r := range d.runsOf(a.id) {
			places[r.Service+" "+r.Software] = true
		}
	}
	return fmt.Sprintf("by the entry: %v; by callers that name the request: %v; by those that do not: %v; attempts joined from two places: %v; services and software versions of streams: %v",
		byEntry, named, unnamed, joins, slices.Sorted(maps.Keys(places)))
}
