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

	maxPartitions   = 256
	maxOpenRequests = 1_000_000
	minMemory       = 16 * MiB
	maxMemory       = 64 * GiB
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

var levels = []string{"debug", "info", "warn", "error"}

// check reports values that are out of range and combinations that cannot work.
func (r *reader) check(s *Settings) {
	r.name("instance", string(s.Instance))
	r.name("failure_domain", string(s.FailureDomain))
	r.name("region", s.Region)
	r.allowed("role", s.Role == state.EntryRole || s.Role == state.SideRole)
	switch s.Role {
	case state.EntryRole:
		r.checkEntry(s)
	case state.SideRole:
		r.checkSide(s)
	}
	r.address("listen.admin", s.Listen.Admin)
	r.fileName("tls.certificate", s.TLS.Certificate)
	r.fileName("tls.key", s.TLS.Key)
	r.fileName("tls.authority", s.TLS.Authority)
	r.checkPlatform(&s.Platform)
	r.checkSigners(&s.BootstrapSigners)
	r.optional("log.level", slices.Contains(levels, s.Log.Level))
	r.optional("limits.open_requests", s.Limits.OpenRequests >= 1 && s.Limits.OpenRequests <= maxOpenRequests)
	r.optional("limits.memory", s.Limits.Memory >= minMemory && s.Limits.Memory <= maxMemory)
}

func (r *reader) checkEntry(s *Settings) {
	r.address("listen.callers", s.Listen.Callers)
	r.absent("listen.sessions", "only a side process accepts sessions")
	r.absent("target", "only a side process has a target")
	r.distinct("listen.admin", s.Listen.Admin, "listen.callers", s.Listen.Callers)
}

func (r *reader) checkSide(s *Settings) {
	r.address("listen.sessions", s.Listen.Sessions)
	r.absent("listen.callers", "only an entry instance serves callers")
	t := s.Target
	if t == nil {
		t = &Target{}
	}
	r.name("target.id", string(t.ID))
	r.name("target.service", string(t.Service))
	r.allowed("target.kind", t.Kind == state.EngineService || t.Kind == state.PlainService)
	r.address("target.address", t.Address)
	if t.Kind == state.PlainService && t.ChecksFence {
		r.refuse("target.checks_fence", `not possible with kind "plain"; plain services take no orders`)
	}
	r.distinct("listen.admin", s.Listen.Admin, "target.address", t.Address)
}

func (r *reader) checkPlatform(p *Platform) {
	r.baseURL("platform.log", &p.Log)
	r.baseURL("platform.instances", &p.Instances)
	r.allowed("platform.retention", p.Retention.Std() >= claimHorizon)
	r.optional("platform.claim_partitions", p.ClaimPartitions >= 1 && p.ClaimPartitions <= maxPartitions)
	if p.Log != "" && p.Log == p.Instances {
		r.refuse("platform.instances", "used for platform.log already; want different addresses")
	}
}

func (r *reader) checkSigners(b *BootstrapSigners) {
	r.allowed("bootstrap_signers.keys", len(b.Keys) > 0)
	r.allowed("bootstrap_signers.required", b.Required >= 1 && (b.Required <= len(b.Keys) || len(b.Keys) == 0))
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(b.Keys)) {
		key := "bootstrap_signers.keys." + name
		raw, err := base64.StdEncoding.DecodeString(b.Keys[name])
		switch owner, twice := owners[string(raw)]; {
		case !namePattern.MatchString(name):
			r.refuse(key, strconv.Quote(name)+" is not allowed as a name; want lower-case letters, digits, dots and hyphens")
		case err != nil || len(raw) != ed25519.PublicKeySize:
			r.refuse(key, fmt.Sprintf("not a public key; want the base64 form of %d bytes", ed25519.PublicKeySize))
		case twice:
			r.refuse(key, fmt.Sprintf("the same key as that of %q; want a different key for each operator", owner))
		default:
			owners[string(raw)] = name
		}
	}
}

// allowed reports the key at key as missing, or its value when ok is false.
func (r *reader) allowed(key string, ok bool) {
	if !r.present(key) {
		r.missing(key)
		return
	}
	r.optional(key, ok)
}

// optional is allowed for a key that may be missing.
func (r *reader) optional(key string, ok bool) {
	if ok || !r.present(key) {
		return
	}
	r.refuse(key, r.written[key]+" is not allowed; want "+wantOf(key))
}

func (r *reader) name(key, value string) {
	r.allowed(key, namePattern.MatchString(value))
}

func (r *reader) fileName(key, value string) {
	r.allowed(key, value != "")
}

func (r *reader) address(key string, a netip.AddrPort) {
	r.allowed(key, a.IsValid() && a.Port() != 0)
}

// baseURL checks an http or https URL of an IP address and port without path,
// and removes a slash at its end.
func (r *reader) baseURL(key string, value *string) {
	u, err := url.Parse(*value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && strings.Trim(u.Path, "/") == "" && u.RawQuery == "" && u.Fragment == "" && u.User == nil
	if ok {
		a, err := netip.ParseAddrPort(u.Host)
		ok = err == nil && a.Port() != 0
	}
	r.allowed(key, ok)
	*value = strings.TrimRight(*value, "/")
}

// absent reports a key that the role does not permit.
func (r *reader) absent(key, why string) {
	if r.present(key) {
		r.refuse(key, "not possible with this role; "+why)
	}
}

func (r *reader) distinct(key string, a netip.AddrPort, other string, b netip.AddrPort) {
	if a.IsValid() && a == b {
		r.refuse(key, "used for "+other+" already; want different addresses")
	}
}

func (r *reader) refuse(key, text string) {
	r.report(key, r.offsets[key], text)
}

func (r *reader) present(key string) bool {
	_, ok := r.offsets[key]
	return ok
}

// missing reports key at the nearest object around it that is present. When
// that object could not be read, its own problem suffices.
func (r *reader) missing(key string) {
	parent := key
	for !r.present(parent) {
		parent = parent[:max(0, strings.LastIndexByte(parent, '.'))]
	}
	if r.reported[parent] || parent == "" && r.reported[rootKey] {
		return
	}
	r.report(key, r.offsets[parent], "missing; want "+wantOf(key))
}
