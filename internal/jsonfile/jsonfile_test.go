package jsonfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Guards against ignoring a misspelled field, and against reporting a file that
// cannot be read as invalid.
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
		t.Errorf("read name %q, error %v", v.Name, err)
	}
	for _, text := range []string{`{"nmae": "a"}`, `{"name": 1}`, `{`} {
		write(text)
		if err := Read(path, &v); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: error %v, want ErrInvalid", text, err)
		}
	}
	if err := Read(path+".missing", &v); err == nil || errors.Is(err, ErrInvalid) {
		t.Errorf("missing file: error %v, want one other than ErrInvalid", err)
	}
}
