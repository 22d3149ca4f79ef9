package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream/logtest"
	"github.com/cassiaramp/cassiaramp/internal/ctl/bundlecmd"
	"github.com/cassiaramp/cassiaramp/internal/transport/quicsession"
)

const template = `{
  // comments are allowed
  "version": 0, "base": "",
  "signers": {"required": 2, "keys": KEYS},
  "tiers": [{"name": "urgent", "timeout": "1s", "reserve": 0, "limit_reserve": 0}],
  "customers": [], "services": [],
  "policies": {"cost": {"filters": [], "scorers": [], "picker": "best"}},
  "split": [{"policy": "cost", "share": 1}],
  "queue": {"max_count": 1, "max_tokens": 1, "max_window": 1, "token_gap": "38ms"},
  "retry": {"budget_ratio": 0.1, "budget_max": 10, "backoff_base": "50ms", "backoff_max": "2s", "placements": 4},
  "weight_store": {"loads_per_minute": 6},
}`

// shell runs commands in one directory.
type shell struct {
	t   *testing.T
	dir string
}

// run runs a command and returns its standard output. A word that starts with "@" is
// replaced by the path of the file in s.dir. It fails the test unless the command ends
// with the given exit code.
func (s *shell) run(code int, command string) string {
	s.t.Helper()
	var args []string
	for _, word := range strings.Fields(command) {
		if name, ok := strings.CutPrefix(word, "@"); ok {
			word = filepath.Join(s.dir, name)
		}
		args = append(args, word)
	}
	var stdout, stderr bytes.Buffer
	if got := run(s.t.Context(), args, &stdout, &stderr); got != code {
		s.t.Fatalf("%s: exit code %d, want %d\n%s%s", command, got, code, &stdout, &stderr)
	}
	return stdout.String()
}

func (s *shell) write(name, content string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(content), 0o644); err != nil {
		s.t.Fatal(err)
	}
}

// setUp returns a shell, whose directory has the keys of anna and ben, signers.json and
// template.json, and the log that the commands use.
func setUp(t *testing.T) (*shell, *logtest.Log) {
	t.Helper()
	s := &shell{t: t, dir: t.TempDir()}
	public := map[string]string{}
	for _, name := range []string{"anna", "ben"} {
		var result struct {
			PublicKey string `json:"public_key"`
		}
		if err := json.Unmarshal([]byte(s.run(0, "keys new "+name+" --dir @ --json")), &result); err != nil {
			t.Fatal(err)
		}
		public[name] = result.PublicKey
	}
	keys, err := json.Marshal(public)
	if err != nil {
		t.Fatal(err)
	}
	s.write("signers.json", `{"required": 2, "keys": `+string(keys)+`}`)
	s.write("template.json", strings.Replace(template, "KEYS", string(keys), 1))
	log := new(logtest.Log)
	server := httptest.NewServer(log.Handler())
	t.Cleanup(server.Close)
	t.Setenv("CASSIARAMP_LOG", server.URL)
	t.Setenv("CASSIARAMP_SIGNERS", filepath.Join(s.dir, "signers.json"))
	return s, log
}

// signed signs a bundle file as both operators and returns the arguments that name the
// file and the signatures.
func (s *shell) signed(file string) string {
	s.run(0, "bundle sign @"+file+" --operator anna --key @anna.key")
	s.run(0, "bundle sign @"+file+" --operator ben --key @ben.key")
	return "@" + file + " --signature @" + file + ".anna.sig --signature @" + file + ".ben.sig"
}

// Guards against subcommands that do not work together and against wrong exit codes,
// from the creation of keys to a bundle that is superseded by another of its version.
func TestBundleLifecycle(t *testing.T) {
	s, log := setUp(t)
	s.run(bundlecmd.ExitNoBundle, "bundle status")
	s.run(bundlecmd.ExitNoBundle, "bundle new @early.json")
	s.run(0, "bundle new @v1.json --anchor --template @template.json --note first")
	s.run(0, "bundle check @v1.json")
	v1 := s.signed("v1.json")
	s.run(bundlecmd.ExitInvalid, "bundle publish @v1.json --signature @v1.json.anna.sig")
	log.LoseAcks(1)
	s.run(0, "bundle publish "+v1)
	if n := log.Appends(); n != 1 {
		t.Errorf("%d records after a lost acknowledgement, want 1", n)
	}
	s.run(0, "bundle publish "+v1) // a repeat is harmless
	s.run(0, "bundle new @v2a.json --note a")
	s.run(0, "bundle new @v2b.json --note b")
	s.run(bundlecmd.ExitFailure, "bundle new @v2b.json --note b") // never replaces a file
	s.run(0, "bundle publish "+s.signed("v2a.json"))
	s.run(bundlecmd.ExitSuperseded, "bundle publish "+s.signed("v2b.json"))
	s.run(bundlecmd.ExitInvalid, "bundle publish @v2a.json --signature @v1.json.anna.sig")
	var status struct {
		Version  uint64   `json:"version"`
		Note     string   `json:"note"`
		SignedBy []string `json:"signed_by"`
	}
	if err := json.Unmarshal([]byte(s.run(0, "bundle status --json")), &status); err != nil {
		t.Fatal(err)
	}
	if status.Version != 2 || status.Note != "a" || len(status.SignedBy) != 2 {
		t.Errorf("status %+v, want version 2 with note a signed by two", status)
	}
	var history []map[string]any
	if err := json.Unmarshal([]byte(s.run(0, "bundle history --json")), &history); err != nil {
		t.Fatal(err)
	}
	if len(history) != 2 || history[1]["accepted"] != true {
		t.Errorf("history %v, want two accepted records", history)
	}
	log.SetDown(true)
	s.run(bundlecmd.ExitFailure, "bundle status --timeout 100ms")
}

// Guards against an invalid command line or bundle file that is accepted.
func TestInvalidInput(t *testing.T) {
	s, _ := setUp(t)
	s.run(bundlecmd.ExitUsage, "")
	s.run(bundlecmd.ExitUsage, "bundle")
	s.run(bundlecmd.ExitUsage, "bundle publish")
	s.run(bundlecmd.ExitUsage, "bundle new @x.json --anchor")
	s.run(bundlecmd.ExitUsage, "bundle status --log nonsense")
	s.run(bundlecmd.ExitUsage, "keys tls a --ip nonsense --dir @")
	s.run(bundlecmd.ExitFailure, "bundle check @missing.json")
	s.run(bundlecmd.ExitFailure, "keys new anna --dir @") // never replaces a key
	for name, content := range map[string]string{
		"syntax":  `{`,
		"unknown": `{"version": 1, "tires": []}`,
		"invalid": `{"version": 1}`,
	} {
		s.write(name, content)
		if out := s.run(bundlecmd.ExitInvalid, "bundle check --json @"+name); !strings.Contains(out, `"error"`) {
			t.Errorf("%s: output %q does not contain the error", name, out)
		}
	}
	for _, words := range []string{"--help", "bundle --help", "bundle publish --help"} {
		if help := s.run(0, words); !strings.Contains(help, "Exit codes:") || !strings.Contains(help, "Examples:") {
			t.Errorf("%s lacks examples or exit codes:\n%s", words, help)
		}
	}
}

// Guards against accepting a policy that entries cannot build. They would keep their
// earlier policies although the bundle is in effect.
func TestUnknownPlugin(t *testing.T) {
	s, _ := setUp(t)
	raw, err := os.ReadFile(filepath.Join(s.dir, "template.json"))
	if err != nil {
		t.Fatal(err)
	}
	valid := strings.Replace(string(raw), `"version": 0`, `"version": 1`, 1)
	s.write("sound.json", valid)
	s.run(0, "bundle check @sound.json")
	s.write("unknown.json", strings.Replace(valid, `"best"`, `"bets"`, 1))
	if out := s.run(bundlecmd.ExitInvalid, "bundle check --json @unknown.json"); !strings.Contains(out, "bets") {
		t.Errorf("output %q does not name the plugin", out)
	}
}

// Guards against certificates that sessions between processes reject, and against a
// second call that replaces the authority.
func TestKeysTLS(t *testing.T) {
	s := &shell{t: t, dir: t.TempDir()}
	s.run(0, "keys tls entry-1 --dir @")
	s.run(0, "keys tls side-1 --dir @ --validity 1h")
	for _, name := range []string{"entry-1", "side-1"} {
		path := filepath.Join(s.dir, name)
		creds, err := quicsession.LoadCredentials(path+".pem", path+".key", filepath.Join(s.dir, "authority.pem"))
		if err != nil {
			t.Fatal(err)
		}
		checkCertificate(t, creds.Certificate, creds.Authority, name)
	}
}

// checkCertificate checks that cert is valid for name and for 127.0.0.1, as a server's
// and as a client's certificate.
func checkCertificate(t *testing.T, cert tls.Certificate, roots *x509.CertPool, name string) {
	t.Helper()
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		for _, host := range []string{name, "127.0.0.1"} {
			opts := x509.VerifyOptions{Roots: roots, DNSName: host, CurrentTime: time.Now(), KeyUsages: []x509.ExtKeyUsage{usage}}
			if _, err := leaf.Verify(opts); err != nil {
				t.Errorf("%s as %s: %v", name, host, err)
			}
		}
	}
}
