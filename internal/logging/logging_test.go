package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against a log call that panics or drops a value, and against an event that
// takes more than one line. zap-logfmt without encoder panics on a slice of structs
// such as a list of models.
func TestFields(t *testing.T) {
	var out bytes.Buffer
	log, err := New(zapcore.AddSync(&out), "info")
	if err != nil {
		t.Fatal(err)
	}
	models := []state.ModelSpec{{Name: "m", Version: "1"}}
	log.With(zap.Any("context", models)).Info("order given",
		zap.Any("load", models), zap.Any("none", []state.ModelSpec(nil)), zap.Any("map", map[string]int{"a": 1}),
		zap.Any("struct", models[0]), zap.Strings("list", []string{"x", "y"}), zap.Duration("wait", time.Second),
		zap.Error(errors.New("two\nlines")), zap.Error(nil))
	log.Debug("below the level")
	line := out.String()
	if strings.Count(line, "\n") != 1 || !strings.HasSuffix(line, "\n") {
		t.Errorf("want one line, got %q", line)
	}
	for _, want := range []string{`context=`, `load="[{\"name\":\"m\",\"version\":\"1\"}]"`, `none=null`, `map="{\"a\":1}"`, `struct=`, `list=`, `wait=1s`, `error="two\nlines"`} {
		if !strings.Contains(line, want) {
			t.Errorf("%s is missing in the line %s", want, line)
		}
	}
}

// Guards against accepting an unknown level.
func TestUnknownLevel(t *testing.T) {
	if _, err := New(zapcore.AddSync(new(bytes.Buffer)), "loud"); err == nil {
		t.Error("an unknown level was accepted")
	}
}
