// Package logging writes the log of a process in logfmt: one line of key=value
// pairs for each event.
package logging

import (
	"encoding/json"
	"fmt"
	"slices"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of level and above to w. An unknown
// level is an error.
func New(w zapcore.WriteSyncer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(encoder{zaplogfmt.NewEncoder(config)}, zapcore.Lock(w), parsed)), nil
}

// encoder writes values of zap.Any and zap.Reflect as JSON text, because zap-logfmt
// panics on a slice of structs and drops maps and structs.
type encoder struct{ zapcore.Encoder }

// Clone implements zapcore.Encoder.
func (e encoder) Clone() zapcore.Encoder { return encoder{e.Encoder.Clone()} }

// AddReflected implements zapcore.ObjectEncoder.
func (e encoder) AddReflected(key string, value any) error {
	e.AddString(key, jsonText(value))
	return nil
}

// EncodeEntry implements zapcore.Encoder.
func (e encoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (*buffer.Buffer, error) {
	fields = slices.Clone(fields)
	for i, f := range fields {
		if f.Type == zapcore.ReflectType {
			fields[i] = zap.String(f.Key, jsonText(f.Interface))
		}
	}
	return e.Encoder.EncodeEntry(entry, fields)
}

// jsonText returns value as JSON, or in the default format of fmt if it cannot be
// encoded.
func jsonText(value any) string {
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(b)
}
