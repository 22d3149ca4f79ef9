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

// parser decodes one file and keeps the position of each key, so that later
// checks can report it.
type parser struct {
	file         string
	data         []byte
	valueOffsets map[string]int    // of the value of each key present
	valueTexts   map[string]string // value of each key present, for messages
	reported     map[string]bool   // keys that have a problem already
	problems     Problems
}

// Parse reads and checks the content of a settings file; file is the name in
// messages. The error is Problems.
func Parse(file string, data []byte) (*Settings, error) {
	r := &parser{file: file, data: data, valueOffsets: map[string]int{}, valueTexts: map[string]string{}, reported: map[string]bool{}}
	s := new(Settings)
	if root, ok := r.parseDocument(); ok {
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

func (r *parser) parseDocument() (hujson.Value, bool) {
	if len(r.data) > maxFileBytes {
		r.report(rootKey, 0, fmt.Sprintf("%d bytes; want at most %d", len(r.data), maxFileBytes))
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
func (r *parser) report(key string, offset int, text string) {
	if r.reported[key] {
		return
	}
	r.reported[key] = true
	line, column := position(r.data, offset)
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Column: column, Key: key, Text: text})
}

func (r *parser) decode(key string, v hujson.Value, out reflect.Value, want string) {
	r.valueOffsets[key] = v.StartOffset
	r.valueTexts[key] = describeValue(v)
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	object, isObject := v.Value.(*hujson.Object)
	switch {
	case isScalar(out):
		r.decodeScalar(key, v, out, want)
	case !isObject:
		r.reportWrongType(key, v, want)
	case out.Kind() == reflect.Map:
		r.decodeMap(key, object, out)
	default:
		r.decodeStruct(key, object, out)
	}
}

func isScalar(out reflect.Value) bool {
	switch out.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return out.Kind() != reflect.Struct && out.Kind() != reflect.Map
}

func (r *parser) decodeScalar(key string, v hujson.Value, out reflect.Value, want string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, out.Addr().Interface()) != nil {
		r.reportWrongType(key, v, want)
	}
}

func (r *parser) decodeMap(key string, object *hujson.Object, out reflect.Value) {
	out.Set(reflect.MakeMap(out.Type()))
	r.forEachMember(key, object, func(name string, m hujson.ObjectMember) {
		elem := reflect.New(out.Type().Elem()).Elem()
		r.decode(joinKey(key, name), m.Value, elem, "text")
		out.SetMapIndex(reflect.ValueOf(name), elem)
	})
}

func (r *parser) decodeStruct(key string, object *hujson.Object, out reflect.Value) {
	r.forEachMember(key, object, func(name string, m hujson.ObjectMember) {
		field, ok := fieldByKey(out.Type(), name)
		if !ok {
			r.report(joinKey(key, name), m.Name.StartOffset, "unknown key; want one of "+strings.Join(fieldKeys(out.Type()), ", "))
			return
		}
		r.decode(joinKey(key, name), m.Value, out.FieldByIndex(field.Index), field.Tag.Get("want"))
	})
}

// forEachMember calls f for the first member of each name and reports the others.
func (r *parser) forEachMember(key string, object *hujson.Object, f func(string, hujson.ObjectMember)) {
	lines := map[string]int{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		line, _ := position(r.data, m.Name.StartOffset)
		if first, twice := lines[name]; twice {
			// The first occurrence may have a problem of its own under this key.
			delete(r.reported, joinKey(key, name))
			r.report(joinKey(key, name), m.Name.StartOffset, fmt.Sprintf("duplicate key, set on line %d already; want each key once", first))
			continue
		}
		lines[name] = line
		f(name, m)
	}
}

func (r *parser) reportWrongType(key string, v hujson.Value, want string) {
	if key == "" {
		key = rootKey
	}
	r.report(key, v.StartOffset, fmt.Sprintf("%s is not allowed; want %s", describeValue(v), want))
}

// maxShownBytes bounds the length of a value in a message.
const maxShownBytes = 60

func describeValue(v hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	switch {
	case !ok && v.Value.Kind() == '{':
		return "an object"
	case !ok:
		return "an array"
	case len(literal) > maxShownBytes:
		return strconv.Quote(string(literal[:maxShownBytes])) + " and more"
	default:
		return string(literal)
	}
}

func fieldByKey(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func fieldKeys(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
	}
	return names
}

// wantTag returns the "want" tag of the field at key.
func wantTag(key string) string {
	t := reflect.TypeFor[Settings]()
	var want string
	for name := range strings.SplitSeq(key, ".") {
		if t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		field, ok := fieldByKey(t, name)
		if !ok {
			panic("settings: no field for key " + key)
		}
		t, want = field.Type, field.Tag.Get("want")
	}
	return want
}

// joinKey returns the key of the member called name. An empty name is quoted, so
// that it differs from the document.
func joinKey(key, name string) string {
	if name == "" {
		name = `""`
	}
	if key == "" {
		return name
	}
	return key + "." + name
}
