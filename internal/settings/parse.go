package settings

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// reader decodes one file and keeps the position of each key, so that later
// checks can report it.
type reader struct {
	file     string
	data     []byte
	offsets  map[string]int    // of the value of each key present
	written  map[string]string // value of each key present, for messages
	reported map[string]bool   // keys that have a problem already
	problems Problems
}

// Parse reads and checks the content of a settings file; file is the name in
// messages. The error is Problems.
func Parse(file string, data []byte) (*Settings, error) {
	r := &reader{file: file, data: data, offsets: map[string]int{}, written: map[string]string{}, reported: map[string]bool{}}
	s := new(Settings)
	if root, ok := r.parse(); ok {
		r.decode("", root, reflect.ValueOf(s).Elem(), "an object")
		r.check(s) // before the defaults, so that an explicit 0 is reported
		s.setDefaults()
	}
	if len(r.problems) > 0 {
		r.problems.sort()
		return nil, r.problems
	}
	return s, nil
}

// rootKey stands for the whole document in messages.
const rootKey = "document"

func (r *reader) parse() (hujson.Value, bool) {
	if len(r.data) > maxFile {
		r.report(rootKey, 0, fmt.Sprintf("%d bytes; want at most %d", len(r.data), maxFile))
		return hujson.Value{}, false
	}
	root, err := hujson.Parse(r.data)
	if err == nil {
		return root, true
	}
	p := Problem{File: r.file, Line: 1, Column: 1, Key: rootKey, Text: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		p.Line, p.Column = line, column
	}
	if inner := errors.Unwrap(err); inner != nil {
		p.Text = inner.Error()
	}
	p.Text += "; want JSON, where comments and trailing commas are allowed"
	r.problems = append(r.problems, p)
	return hujson.Value{}, false
}

// report adds a problem unless key has one already, so that a value that could
// not be read is not reported a second time by a later check.
func (r *reader) report(key string, offset int, text string) {
	if r.reported[key] {
		return
	}
	r.reported[key] = true
	line, column := position(r.data, offset)
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Column: column, Key: key, Text: text})
}

func (r *reader) decode(key string, v hujson.Value, out reflect.Value, want string) {
	r.offsets[key] = v.StartOffset
	r.written[key] = describe(v)
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	object, isObject := v.Value.(*hujson.Object)
	switch {
	case isLeaf(out):
		r.decodeLeaf(key, v, out, want)
	case !isObject:
		r.reject(key, v, want)
	case out.Kind() == reflect.Map:
		r.decodeMap(key, object, out)
	default:
		r.decodeStruct(key, object, out)
	}
}

func isLeaf(out reflect.Value) bool {
	switch out.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return out.Kind() != reflect.Struct && out.Kind() != reflect.Map
}

func (r *reader) decodeLeaf(key string, v hujson.Value, out reflect.Value, want string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, out.Addr().Interface()) != nil {
		r.reject(key, v, want)
	}
}

func (r *reader) decodeMap(key string, object *hujson.Object, out reflect.Value) {
	out.Set(reflect.MakeMap(out.Type()))
	r.members(key, object, func(name string, m hujson.ObjectMember) {
		elem := reflect.New(out.Type().Elem()).Elem()
		r.decode(join(key, name), m.Value, elem, "text")
		out.SetMapIndex(reflect.ValueOf(name), elem)
	})
}

func (r *reader) decodeStruct(key string, object *hujson.Object, out reflect.Value) {
	r.members(key, object, func(name string, m hujson.ObjectMember) {
		field, ok := fieldNamed(out.Type(), name)
		if !ok {
			r.report(join(key, name), m.Name.StartOffset, "unknown key; want one of "+strings.Join(fieldNames(out.Type()), ", "))
			return
		}
		r.decode(join(key, name), m.Value, out.FieldByIndex(field.Index), field.Tag.Get("want"))
	})
}

// members calls f for the first member of each name and reports the others.
func (r *reader) members(key string, object *hujson.Object, f func(string, hujson.ObjectMember)) {
	lines := map[string]int{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		line, _ := position(r.data, m.Name.StartOffset)
		if first, twice := lines[name]; twice {
			// The first occurrence may have a problem of its own under this key.
			delete(r.reported, join(key, name))
			r.report(join(key, name), m.Name.StartOffset, fmt.Sprintf("duplicate key, set on line %d already; want each key once", first))
			continue
		}
		lines[name] = line
		f(name, m)
	}
}

func (r *reader) reject(key string, v hujson.Value, want string) {
	if key == "" {
		key = rootKey
	}
	r.report(key, v.StartOffset, fmt.Sprintf("%s is not allowed; want %s", describe(v), want))
}

// maxShown bounds the length of a value in a message.
const maxShown = 60

func describe(v hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	switch {
	case !ok && v.Value.Kind() == '{':
		return "an object"
	case !ok:
		return "an array"
	case len(literal) > maxShown:
		return strconv.Quote(string(literal[:maxShown])) + " and more"
	default:
		return string(literal)
	}
}

func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
	}
	return names
}

// wantOf returns the "want" tag of the field at key.
func wantOf(key string) string {
	t := reflect.TypeFor[Settings]()
	var want string
	for name := range strings.SplitSeq(key, ".") {
		if t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		field, ok := fieldNamed(t, name)
		if !ok {
			panic("settings: no field for key " + key)
		}
		t, want = field.Type, field.Tag.Get("want")
	}
	return want
}

// join returns the key of the member called name. An empty name is quoted, so
// that it differs from the document.
func join(key, name string) string {
	if name == "" {
		name = `""`
	}
	if key == "" {
		return name
	}
	return key + "." + name
}
