// Package settings reads the settings file of cassiarampd, which is JSON with
// comments and trailing commas. Load reports all problems at once, each with
// file, line, column, key and what is allowed.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Settings is the configuration that a process needs before it has a bundle. The
// field comments are the reference manual of the file. Durations are text with a unit ("1.5s"),
// sizes are text with KiB, MiB or GiB ("64MiB"). Names consist of lower-case
// letters, digits, dots and hyphens, start with a letter or digit and have at
// most 63 characters.
type Settings struct {
	// Instance is the unique name of this process. The certificate is issued to
	// this name.
	Instance state.InstanceID `json:"instance" want:"a name"`
	// Role is "entry" for a process that serves callers, and "side" for one that
	// runs beside a target.
	Role state.Role `json:"role" want:"\"entry\" or \"side\""`
	// FailureDomain is the name of the zone that the process runs in.
	FailureDomain state.FailureDomain `json:"failure_domain" want:"a name"`
	// Region is the name of the region that the failure domain belongs to.
	Region string `json:"region" want:"a name"`
	// Listen lists the addresses that the process serves.
	Listen Listen `json:"listen" want:"an object"`
	// TLS names the key and certificate files for sessions between processes.
	TLS TLS `json:"tls" want:"an object"`
	// Platform locates the platform's services.
	Platform Platform `json:"platform" want:"an object"`
	// Target describes the target that a side process runs beside; side only.
	Target *Target `json:"target" want:"an object"`
	// BootstrapSigners are the operators that must sign the first bundle. Later
	// bundles are verified against the signers in the bundle in effect.
	BootstrapSigners BootstrapSigners `json:"bootstrap_signers" want:"an object"`
	// Log configures the log, which is written to standard error.
	Log Log `json:"log" want:"an object"`
	// Limits bounds what the process accepts.
	Limits Limits `json:"limits" want:"an object"`
}

// Listen lists the addresses that a process serves. An address is an IP
// address and a port; the port is not 0.
type Listen struct {
	// Sessions is the UDP address for sessions of entry instances; side only.
	Sessions netip.AddrPort `json:"sessions" want:"an IP address and port such as \"10.0.0.1:7000\""`
	// Callers is the TCP address for callers (HTTP); entry only.
	Callers netip.AddrPort `json:"callers" want:"an IP address and port such as \"10.0.0.1:8080\""`
	// Admin is the TCP address of /healthz, /readyz and /debug/vars.
	Admin netip.AddrPort `json:"admin" want:"an IP address and port such as \"10.0.0.1:9000\""`
}

// TLS names PEM files. A relative name is relative to the settings file.
type TLS struct {
	// Certificate is the certificate that Authority issued to the instance name.
	Certificate string `json:"certificate" want:"a file name"`
	// Key is the private key of Certificate.
	Key string `json:"key" want:"a file name"`
	// Authority is the certificate of the authority that signs the certificates of
	// all processes.
	Authority string `json:"authority" want:"a file name"`
}

// Platform locates the platform's services.
type Platform struct {
	// Log is the base URL of the log service.
	Log string `json:"log" want:"a URL such as \"http://10.0.0.1:7100\""`
	// Instances is the base URL of the instance list.
	Instances string `json:"instances" want:"a URL such as \"http://10.0.0.1:7200\""`
	// Retention is how long the log service keeps a record. It must be the same
	// in all processes and at least 10m, the time for which a claim holds its key.
	Retention state.Duration `json:"retention" want:"a duration with a unit, at least \"10m\""`
	// ClaimPartitions is the number of log streams that claims are divided into.
	// It must be the same in all processes; the default is 1.
	ClaimPartitions int `json:"claim_partitions" want:"a whole number from 1 to 256"`
}

// Target describes the target beside a side process.
type Target struct {
	// ID is the unique name of the target.
	ID state.TargetID `json:"id" want:"a name"`
	// Service is the name of the target's service in the bundle.
	Service state.Service `json:"service" want:"a name"`
	// Kind is "engine" or "plain".
	Kind string `json:"kind" want:"\"engine\" or \"plain\""`
	// Address is the TCP address of the target (HTTP).
	Address netip.AddrPort `json:"address" want:"an IP address and port such as \"10.0.0.1:8000\""`
	// ChecksFence says that the engine rejects orders with an outdated fencing token;
	// engines only. The default is false.
	ChecksFence bool `json:"checks_fence" want:"true or false"`
}

// BootstrapSigners are the operators that must sign the first bundle.
type BootstrapSigners struct {
	// Required is the number of distinct operators that must sign.
	Required int `json:"required" want:"a whole number from 1 to the number of keys"`
	// Keys maps an operator's name to the base64 Ed25519 public key.
	Keys map[string]string `json:"keys" want:"an object of names and base64 Ed25519 public keys"`
}

// Log configures the log of the process.
type Log struct {
	// Level is the lowest level that is logged; the default is "info".
	Level string `json:"level" want:"\"debug\", \"info\", \"warn\" or \"error\""`
}

// Limits bounds what the process accepts.
type Limits struct {
	// OpenRequests limits the number of requests that are open at once; the
	// default is 4096.
	OpenRequests int `json:"open_requests" want:"a whole number from 1 to 1000000"`
	// Memory limits the memory of the process; the default is "64MiB". It is
	// passed to the garbage collector as the soft limit.
	Memory Bytes `json:"memory" want:"a size with KiB, MiB or GiB, from \"16MiB\" to \"64GiB\""`
}

// Bytes is a size that is written as text, for example "64MiB".
type Bytes int64

// Units of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

const (
	// maxFileBytes is the largest size of a settings file.
	maxFileBytes = 256 << 10

	defaultLogLevel        = "info"
	defaultOpenRequests    = 4096
	defaultMemory          = 64 * MiB
	defaultClaimPartitions = 1
)

// Load reads and checks the file at path. The type of the error is Problems if the
// content is invalid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	s.resolveFileNames(filepath.Dir(path))
	return s, nil
}

// resolveFileNames makes relative file names relative to dir.
func (s *Settings) resolveFileNames(dir string) {
	for _, name := range []*string{&s.TLS.Certificate, &s.TLS.Key, &s.TLS.Authority} {
		if !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

func (s *Settings) setDefaults() {
	if s.Log.Level == "" {
		s.Log.Level = defaultLogLevel
	}
	if s.Limits.OpenRequests == 0 {
		s.Limits.OpenRequests = defaultOpenRequests
	}
	if s.Limits.Memory == 0 {
		s.Limits.Memory = defaultMemory
	}
	if s.Platform.ClaimPartitions == 0 {
		s.Platform.ClaimPartitions = defaultClaimPartitions
	}
}
