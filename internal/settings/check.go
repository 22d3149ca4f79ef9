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
	// claimHorizon is how long a claim holds its key, as in package claim. With a
	// shorter retention the log could drop a claim within that time, and a request
	// with the same key could run twice.
	claimHorizon = 10 * time.Minute

	maxClaimPartitions = 256
	maxOpenRequests    = 1_000_000
	minMemory          = 16 * MiB
	maxMemory          = 64 * GiB
)

// namePattern is the form of names, see Settings.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// check reports missing keys, values that are not allowed, and combinations of
// values that cannot work.
func (p *parser) check(s *Settings) {
	p.requireName("instance", string(s.Instance))
	p.requireName("failure_domain", string(s.FailureDomain))
	p.requireName("region", s.Region)
	p.requireValid("role", s.Role == state.EntryRole || s.Role == state.SideRole)
	switch s.Role {
	case state.EntryRole:
		p.checkEntry(s)
	case state.SideRole:
		p.checkSide(s)
	}
	p.requireAddress("listen.admin", s.Listen.Admin)
	p.requireFileName("tls.certificate", s.TLS.Certificate)
	p.requireFileName("tls.key", s.TLS.Key)
	p.requireFileName("tls.authority", s.TLS.Authority)
	p.checkPlatform(&s.Platform)
	p.checkSigners(&s.BootstrapSigners)
	p.requireValidIfSet("log.level", slices.Contains(logLevels, s.Log.Level))
	p.requireValidIfSet("limits.open_requests", s.Limits.OpenRequests >= 1 && s.Limits.OpenRequests <= maxOpenRequests)
	p.requireValidIfSet("limits.memory", s.Limits.Memory >= minMemory && s.Limits.Memory <= maxMemory)
}

func (p *parser) checkEntry(s *Settings) {
	p.requireAddress("listen.callers", s.Listen.Callers)
	p.forbid("listen.sessions", "only a side process accepts sessions")
	p.forbid("target", "only a side process has a target")
	p.requireDistinct("listen.admin", s.Listen.Admin, "listen.callers", s.Listen.Callers)
}

func (p *parser) checkSide(s *Settings) {
	p.requireAddress("listen.sessions", s.Listen.Sessions)
	p.forbid("listen.callers", "only an entry instance serves callers")
	t := s.Target
	if t == nil {
		t = &Target{}
	}
	p.requireName("target.id", string(t.ID))
	p.requireName("target.service", string(t.Service))
	p.requireValid("target.kind", t.Kind == state.EngineService || t.Kind == state.PlainService)
	p.requireAddress("target.address", t.Address)
	if t.Kind == state.PlainService && t.ChecksFence {
		p.reportKey("target.checks_fence", `not possible with kind "plain"; plain services take no orders`)
	}
	p.requireDistinct("listen.admin", s.Listen.Admin, "target.address", t.Address)
}

func (p *parser) checkPlatform(platform *Platform) {
	p.requireBaseURL("platform.log", &platform.Log)
	p.requireBaseURL("platform.instances", &platform.Instances)
	p.requireValid("platform.retention", platform.Retention.Std() >= claimHorizon)
	p.requireValidIfSet("platform.claim_partitions", platform.ClaimPartitions >= 1 && platform.ClaimPartitions <= maxClaimPartitions)
	if platform.Log != "" && platform.Log == platform.Instances {
		p.reportKey("platform.instances", "used for platform.log already; want different addresses")
	}
}

func (p *parser) checkSigners(b *BootstrapSigners) {
	p.requireValid("bootstrap_signers.keys", len(b.Keys) > 0)
	p.requireValid("bootstrap_signers.required", b.Required >= 1 && (b.Required <= len(b.Keys) || len(b.Keys) == 0))
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(b.Keys)) {
		key := "bootstrap_signers.keys." + name
		raw, err := base64.StdEncoding.DecodeString(b.Keys[name])
		switch owner, duplicate := owners[string(raw)]; {
		case !namePattern.MatchString(name):
			p.reportKey(key, strconv.Quote(name)+" is not allowed as a name; want lower-case letters, digits, dots and hyphens")
		case err != nil || len(raw) != ed25519.PublicKeySize:
			p.reportKey(key, fmt.Sprintf("not a public key; want the base64 form of %d bytes", ed25519.PublicKeySize))
		case duplicate:
			p.reportKey(key, fmt.Sprintf("the same key as that of %q; want a different key for each operator", owner))
		default:
			owners[string(raw)] = name
		}
	}
}

// requireValid reports key as missing if it is not set, and its value as not
// allowed if ok is false.
func (p *parser) requireValid(key string, ok bool) {
	if !p.isSet(key) {
		p.reportMissing(key)
		return
	}
	p.requireValidIfSet(key, ok)
}

// requireValidIfSet is requireValid for an optional key.
func (p *parser) requireValidIfSet(key string, ok bool) {
	if ok || !p.isSet(key) {
		return
	}
	p.reportKey(key, p.valueTexts[key]+" is not allowed; want "+wantTag(key))
}

func (p *parser) requireName(key, value string) {
	p.requireValid(key, namePattern.MatchString(value))
}

func (p *parser) requireFileName(key, value string) {
	p.requireValid(key, value != "")
}

func (p *parser) requireAddress(key string, a netip.AddrPort) {
	p.requireValid(key, a.IsValid() && a.Port() != 0)
}

// requireBaseURL requires an http or https URL that consists of an IP address and
// a port, and removes trailing slashes from value.
func (p *parser) requireBaseURL(key string, value *string) {
	u, err := url.Parse(*value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && strings.Trim(u.Path, "/") == "" && u.RawQuery == "" && u.Fragment == "" && u.User == nil
	if ok {
		a, err := netip.ParseAddrPort(u.Host)
		ok = err == nil && a.Port() != 0
	}
	p.requireValid(key, ok)
	*value = strings.TrimRight(*value, "/")
}

// forbid reports key if it is set although the role does not permit it.
func (p *parser) forbid(key, why string) {
	if p.isSet(key) {
		p.reportKey(key, "not possible with this role; "+why)
	}
}

// requireDistinct reports key if its address a is the address b of the key other.
func (p *parser) requireDistinct(key string, a netip.AddrPort, other string, b netip.AddrPort) {
	if a.IsValid() && a == b {
		p.reportKey(key, "used for "+other+" already; want different addresses")
	}
}

// reportKey adds a problem at the position of the value of key.
func (p *parser) reportKey(key, text string) {
	p.report(key, p.valueOffsets[key], text)
}

func (p *parser) isSet(key string) bool {
	_, ok := p.valueOffsets[key]
	return ok
}

// reportMissing reports key as missing, at the position of the closest enclosing
// object that is set. If that object could not be decoded, which is reported
// already, it adds no problem.
func (p *parser) reportMissing(key string) {
	parent := key
	for !p.isSet(parent) {
		parent = parent[:max(0, strings.LastIndexByte(parent, '.'))]
	}
	if p.reported[parent] || parent == "" && p.reported[rootKey] {
		return
	}
	p.report(key, p.valueOffsets[parent], "missing; want "+wantTag(key))
}
