package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	keyA = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
	keyB = "AQAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
)

const entryFile = `{
  "instance": "entry-1", // a comment
  "role": "entry",
  "failure_domain": "tema-a",
  "region": "gh-south",
  "listen": {"callers": "127.0.0.1:8080", "admin": "127.0.0.1:9000"},
  "tls": {"certificate": "entry-1.pem", "key": "/keys/entry-1.key", "authority": "ca.pem"},
  "platform": {"log": "http://127.0.0.1:7100/", "instances": "http://127.0.0.1:7200", "retention": "1h"},
  "bootstrap_signers": {"required": 1, "keys": {"ama": "` + keyA + `"}},
}`

const sideFile = `{
  "instance": "side-1",
  "role": "side",
  "failure_domain": "tema-a",
  "region": "gh-south",
  "listen": {"sessions": "127.0.0.1:7000", "admin": "127.0.0.1:9001"},
  "tls": {"certificate": "c", "key": "k", "authority": "a"},
  "platform": {"log": "http://127.0.0.1:7100", "instances": "http://127.0.0.1:7200", "retention": "10m", "claim_partitions": 4},
  "target": {"id": "crane-1", "service": "plan-llm", "kind": "engine", "address": "127.0.0.1:8000", "checks_fence": true},
  "bootstrap_signers": {"required": 1, "keys": {"ama": "` + keyA + `", "kofi": "` + keyB + `"}},
  "log": {"level": "debug"},
  "limits": {"open_requests": 10, "memory": "32MiB"}
}`

// Guards against a value that is decoded into the wrong field, and against missing
// defaults.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "entry.jsonc")
	if err := os.WriteFile(path, []byte(entryFile), 0o600); err != nil {
		t.Fatal(err)
	}
	e, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if e.TLS.Certificate != filepath.Join(dir, "entry-1.pem") || e.TLS.Key != "/keys/entry-1.key" {
		t.Errorf("file names %+v", e.TLS)
	}
	if e.Platform != (Platform{Log: "http://127.0.0.1:7100", Instances: "http://127.0.0.1:7200", Retention: state.Duration(time.Hour), ClaimPartitions: 1}) {
		t.Errorf("platform %+v", e.Platform)
	}
	if e.Log.Level != "info" || e.Limits != (Limits{OpenRequests: 4096, Memory: 64 * MiB}) || e.Target != nil {
		t.Errorf("defaults %+v", e)
	}
	s, err := Parse("side.jsonc", []byte(sideFile))
	if err != nil {
		t.Fatal(err)
	}
	if s.Target.ID != "crane-1" || !s.Target.ChecksFence || s.Target.Address.String() != "127.0.0.1:8000" || s.Limits.Memory != 32*MiB {
		t.Errorf("side %+v", s)
	}
	if _, err := Load(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
}

// Guards against an invalid file that is accepted, and against messages that name
// the wrong position or do not say what is allowed.
func TestProblemMessages(t *testing.T) {
	tests := []struct {
		name     string
		file     string // in which new replaces old
		old, new string
		want     []string
	}{
		{"unknown key", entryFile, `"callers"`, `"caller"`, []string{
			`f:6:13: listen.callers: missing; want an IP address and port such as "10.0.0.1:8080"`,
			`f:6:14: listen.caller: unknown key; want one of sessions, callers, admin`}},
		{"duplicate key", entryFile, `"region": "gh-south",`, "\"region\": \"gh-south\",\n  \"role\": 5,", []string{
			`f:6:3: role: duplicate key, set on line 3 already; want each key once`}},
		{"duplicate of a bad value", entryFile, `"role": "entry",`, `"role": 5, "role": "entry",`, []string{
			`f:3:11: role: 5 is not allowed; want "entry" or "side"`,
			`f:3:14: role: duplicate key, set on line 3 already; want each key once`}},
		{"number as duration", entryFile, `"1h"`, `3600`, []string{
			`f:8:100: platform.retention: 3600 is not allowed; want a duration with a unit, at least "10m"`}},
		{"duration without unit", entryFile, `"1h"`, `"3600"`, []string{
			`f:8:100: platform.retention: "3600" is not allowed; want a duration with a unit, at least "10m"`}},
		{"retention below the horizon", entryFile, `"1h"`, `"9m59s"`, []string{
			`f:8:100: platform.retention: "9m59s" is not allowed; want a duration with a unit, at least "10m"`}},
		{"size unit", sideFile, `"32MiB"`, `"32MB"`, []string{
			`f:12:45: limits.memory: "32MB" is not allowed; want a size with KiB, MiB or GiB, from "16MiB" to "64GiB"`}},
		{"size range", sideFile, `"32MiB"`, `"1MiB"`, []string{
			`f:12:45: limits.memory: "1MiB" is not allowed; want a size with KiB, MiB or GiB, from "16MiB" to "64GiB"`}},
		{"zero is no default", sideFile, `"open_requests": 10`, `"open_requests": 0`, []string{
			`f:12:31: limits.open_requests: 0 is not allowed; want a whole number from 1 to 1000000`}},
		{"entry with side keys", entryFile, `"listen": {`, "\"target\": {},\n  \"listen\": {\"sessions\": \"127.0.0.1:1\", ", []string{
			`f:6:13: target: not possible with this role; only a side process has a target`,
			`f:7:26: listen.sessions: not possible with this role; only a side process accepts sessions`}},
		{"side with entry keys", sideFile, `"listen": {`, `"listen": {"callers": "127.0.0.1:1", `, []string{
			`f:6:25: listen.callers: not possible with this role; only an entry instance serves callers`}},
		{"side without target", sideFile, `"target": {"id": "crane-1", "service": "plan-llm", "kind": "engine", "address": "127.0.0.1:8000", "checks_fence": true},`, ``, []string{
			`f:1:1: target.address: missing; want an IP address and port such as "10.0.0.1:8000"`,
			`f:1:1: target.id: missing; want a name`,
			`f:1:1: target.kind: missing; want "engine" or "plain"`,
			`f:1:1: target.service: missing; want a name`}},
		{"plain service with a fence", sideFile, `"engine"`, `"plain"`, []string{
			`f:9:116: target.checks_fence: not possible with kind "plain"; plain services take no orders`}},
		{"one address twice", entryFile, `"127.0.0.1:9000"`, `"127.0.0.1:8080"`, []string{
			`f:6:52: listen.admin: used for listen.callers already; want different addresses`}},
		{"same platform address", entryFile, `http://127.0.0.1:7200`, `http://127.0.0.1:7100`, []string{
			`f:8:62: platform.instances: used for platform.log already; want different addresses`}},
		{"host name", entryFile, `http://127.0.0.1:7200`, `http://list:7200`, []string{
			`f:8:62: platform.instances: "http://list:7200" is not allowed; want a URL such as "http://10.0.0.1:7200"`}},
		{"port 0", entryFile, `"127.0.0.1:9000"`, `"127.0.0.1:0"`, []string{
			`f:6:52: listen.admin: "127.0.0.1:0" is not allowed; want an IP address and port such as "10.0.0.1:9000"`}},
		{"name", entryFile, `"entry-1", //`, `"Entry 1", //`, []string{
			`f:2:15: instance: "Entry 1" is not allowed; want a name`}},
		{"null", entryFile, `"gh-south"`, `null`, []string{
			`f:5:13: region: null is not allowed; want a name`}},
		{"object of the wrong type", entryFile, `{"certificate": "entry-1.pem", "key": "/keys/entry-1.key", "authority": "ca.pem"}`, `[]`, []string{
			`f:7:10: tls: an array is not allowed; want an object`}},
		{"signers", sideFile, `"required": 1, "keys": {"ama"`, `"required": 4, "keys": {"esi": "AA==", "ama"`, []string{
			`f:10:37: bootstrap_signers.required: 4 is not allowed; want a whole number from 1 to the number of keys`,
			`f:10:56: bootstrap_signers.keys.esi: not a public key; want the base64 form of 32 bytes`}},
		{"one key for two operators", sideFile, keyB, keyA, []string{
			`f:10:112: bootstrap_signers.keys.kofi: the same key as that of "ama"; want a different key for each operator`}},
		{"two operators of one name", sideFile, `"kofi"`, `"ama"`, []string{
			`f:10:104: bootstrap_signers.keys.ama: duplicate key, set on line 10 already; want each key once`}},
		{"syntax", entryFile, `"region": `, `"region" `, []string{
			`f:5:12: document: invalid character '"' after object name; want JSON, where comments and trailing commas are allowed`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(tt.file, tt.old) {
				t.Fatalf("the base file has no %s", tt.old)
			}
			_, err := Parse("f", []byte(strings.Replace(tt.file, tt.old, tt.new, 1)))
			if err == nil {
				t.Fatal("accepted")
			}
			if diff := cmp.Diff(tt.want, strings.Split(err.Error(), "\n")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a check that stops at the first problem.
func TestEmptyDocumentReportsEveryKey(t *testing.T) {
	_, err := Parse("f", []byte(`{"role": "entry"}`))
	want := `f:1:1: bootstrap_signers.keys: missing; want an object of names and base64 Ed25519 public keys
f:1:1: bootstrap_signers.required: missing; want a whole number from 1 to the number of keys
f:1:1: failure_domain: missing; want a name
f:1:1: instance: missing; want a name
f:1:1: listen.admin: missing; want an IP address and port such as "10.0.0.1:9000"
f:1:1: listen.callers: missing; want an IP address and port such as "10.0.0.1:8080"
f:1:1: platform.instances: missing; want a URL such as "http://10.0.0.1:7200"
f:1:1: platform.log: missing; want a URL such as "http://10.0.0.1:7100"
f:1:1: platform.retention: missing; want a duration with a unit, at least "10m"
f:1:1: region: missing; want a name
f:1:1: tls.authority: missing; want a file name
f:1:1: tls.certificate: missing; want a file name
f:1:1: tls.key: missing; want a file name`
	if err == nil || err.Error() != want {
		t.Errorf("got:\n%v\nwant:\n%s", err, want)
	}
}

// Guards against a panic on any input, against problems without a position in the
// file, and against settings that lack a required value.
func FuzzParse(f *testing.F) {
	f.Add([]byte(entryFile))
	f.Add([]byte(sideFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err == nil {
			if s.Instance == "" || !s.Listen.Admin.IsValid() || (s.Role == state.SideRole) != (s.Target != nil) {
				t.Errorf("accepted invalid settings %+v", s)
			}
			return
		}
		var problems Problems
		if !errors.As(err, &problems) || len(problems) == 0 {
			t.Fatalf("error %v, want Problems", err)
		}
		lines := strings.Count(string(data), "\n") + 1
		for _, p := range problems {
			if p.Line < 1 || p.Line > lines || p.Column < 1 || p.Key == "" || !strings.Contains(p.Text, "; ") {
				t.Errorf("problem %+v in %d lines", p, lines)
			}
		}
	})
}
