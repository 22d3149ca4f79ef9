package jsonfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a misspelled field that is ignored, and against a file that
// cannot be read and is reported as invalid.
func TestRead(t *testing.T) {
	var v struct {
		Name string `json:"name"`
	}
	path := filepath.Join(t.TempDir(), "f.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("{ // a comment\n\"name\": \"a\",}")
	if err := Read(path, &v); err != nil || v.Name != "a" {
		t.Errorf("read %q, %v", v.Name, err)
	}
	for _, text := range []string{`{"nmae": "a"}`, `{"name": 1}`, `{`} {
		write(text)
		if err := Read(path, &v); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: error %v", text, err)
		}
	}
	if err := Read(path+".missing", &v); err == nil || errors.Is(err, ErrInvalid) {
		t.Errorf("missing file: error %v", err)
	}
}
