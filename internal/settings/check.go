package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// claimHorizon is the time for which a key is honoured. With a shorter
	// retention a claim could be lost within it and the key run twice.
	claimHorizon = 10 * time.Minute

	maxClaimPartitions = 256
	maxOpenRequests    = 1_000_000
	minMemory          = 16 * MiB
	maxMemory          = 64 * GiB
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// check reports values that are out of range and combinations that cannot work.
func (r *parser) check(s *Settings) {
	r.requireName("instance", string(s.Instance))
	r.requireName("failure_domain", string(s.FailureDomain))
	r.requireName("region", s.Region)
	r.requireValid("role", s.Role == state.EntryRole || s.Role == state.SideRole)
	switch s.Role {
	case state.EntryRole:
		r.checkEntry(s)
	case state.SideRole:
		r.checkSide(s)
	}
	r.requireAddress("listen.admin", s.Listen.Admin)
	r.requireFileName("tls.certificate", s.TLS.Certificate)
	r.requireFileName("tls.key", s.TLS.Key)
	r.requireFileName("tls.authority", s.TLS.Authority)
	r.checkPlatform(&s.Platform)
	r.checkSigners(&s.BootstrapSigners)
	r.requireValidIfSet("log.level", slices.Contains(logLevels, s.Log.Level))
	r.requireValidIfSet("limits.open_requests", s.Limits.OpenRequests >= 1 && s.Limits.OpenRequests <= maxOpenRequests)
	r.requireValidIfSet("limits.memory", s.Limits.Memory >= minMemory && s.Limits.Memory <= maxMemory)
}

func (r *parser) checkEntry(s *Settings) {
	r.requireAddress("listen.callers", s.Listen.Callers)
	r.forbid("listen.sessions", "only a side process accepts sessions")
	r.forbid("target", "only a side process has a target")
	r.requireDistinct("listen.admin", s.Listen.Admin, "listen.callers", s.Listen.Callers)
}

func (r *parser) checkSide(s *Settings) {
	r.requireAddress("listen.sessions", s.Listen.Sessions)
	r.forbid("listen.callers", "only an entry instance serves callers")
	t := s.Target
	if t == nil {
		t = &Target{}
	}
	r.requireName("target.id", string(t.ID))
	r.requireName("target.service", string(t.Service))
	r.requireValid("target.kind", t.Kind == state.EngineService || t.Kind == state.PlainService)
	r.requireAddress("target.address", t.Address)
	if t.Kind == state.PlainService && t.ChecksFence {
		r.reportKey("target.checks_fence", `not possible with kind "plain"; plain services take no orders`)
	}
	r.requireDistinct("listen.admin", s.Listen.Admin, "target.address", t.Address)
}

func (r *parser) checkPlatform(p *Platform) {
	r.requireBaseURL("platform.log", &p.Log)
	r.requireBaseURL("platform.instances", &p.Instances)
	r.requireValid("platform.retention", p.Retention.Std() >= claimHorizon)
	r.requireValidIfSet("platform.claim_partitions", p.ClaimPartitions >= 1 && p.ClaimPartitions <= maxClaimPartitions)
	if p.Log != "" && p.Log == p.Instances {
		r.reportKey("platform.instances", "used for platform.log already; want different addresses")
	}
}

func (r *parser) checkSigners(b *BootstrapSigners) {
	r.requireValid("bootstrap_signers.keys", len(b.Keys) > 0)
	r.requireValid("bootstrap_signers.required", b.Required >= 1 && (b.Required <= len(b.Keys) || len(b.Keys) == 0))
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(b.Keys)) {
		key := "bootstrap_signers.keys." + name
		raw, err := base64.StdEncoding.DecodeString(b.Keys[name])
		switch owner, twice := owners[string(raw)]; {
		case !namePattern.MatchString(name):
			r.reportKey(key, strconv.Quote(name)+" is not allowed as a name; want lower-case letters, digits, dots and hyphens")
		case err != nil || len(raw) != ed25519.PublicKeySize:
			r.reportKey(key, fmt.Sprintf("not a public key; want the base64 form of %d bytes", ed25519.PublicKeySize))
		case twice:
			r.reportKey(key, fmt.Sprintf("the same key as that of %q; want a different key for each operator", owner))
		default:
			owners[string(raw)] = name
		}
	}
}

// requireValid reports the key at key as missing, or its value when ok is false.
func (r *parser) requireValid(key string, ok bool) {
	if !r.isSet(key) {
		r.reportMissing(key)
		return
	}
	r.requireValidIfSet(key, ok)
}

// requireValidIfSet is allowed for a key that may be missing.
func (r *parser) requireValidIfSet(key string, ok bool) {
	if ok || !r.isSet(key) {
		return
	}
	r.reportKey(key, r.valueTexts[key]+" is not allowed; want "+wantTag(key))
}

func (r *parser) requireName(key, value string) {
	r.requireValid(key, namePattern.MatchString(value))
}

func (r *parser) requireFileName(key, value string) {
	r.requireValid(key, value != "")
}

func (r *parser) requireAddress(key string, a netip.AddrPort) {
	r.requireValid(key, a.IsValid() && a.Port() != 0)
}

// requireBaseURL checks an http or https URL of an IP address and port without path,
// and removes a slash at its end.
func (r *parser) requireBaseURL(key string, value *string) {
	u, err := url.Parse(*value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && strings.Trim(u.Path, "/") == "" && u.RawQuery == "" && u.Fragment == "" && u.User == nil
	if ok {
		a, err := netip.ParseAddrPort(u.Host)
		ok = err == nil && a.Port() != 0
	}
	r.requireValid(key, ok)
	*value = strings.TrimRight(*value, "/")
}

// forbid reports a key that the role does not permit.
func (r *parser) forbid(key, why string) {
	if r.isSet(key) {
		r.reportKey(key, "not possible with this role; "+why)
	}
}

func (r *parser) requireDistinct(key string, a netip.AddrPort, other string, b netip.AddrPort) {
	if a.IsValid() && a == b {
		r.reportKey(key, "used for "+other+" already; want different addresses")
	}
}

func (r *parser) reportKey(key, text string) {
	r.report(key, r.valueOffsets[key], text)
}

func (r *parser) isSet(key string) bool {
	_, ok := r.valueOffsets[key]
	return ok
}

// reportMissing reports key at the nearest object around it that is present. When
// that object could not be read, its own problem suffices.
func (r *parser) reportMissing(key string) {
	parent := key
	for !r.isSet(parent) {
		parent = parent[:max(0, strings.LastIndexByte(parent, '.'))]
	}
	if r.reported[parent] || parent == "" && r.reported[rootKey] {
		return
	}
	r.report(key, r.valueOffsets[parent], "missing; want "+wantTag(key))
}
