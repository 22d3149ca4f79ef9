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

// parser decodes one settings file. It keeps the position and the text of each
// value for the problems that later checks report.
type parser struct {
	file         string
	data         []byte
	valueOffsets map[string]int    // byte offset of the value of each key that is set
	valueTexts   map[string]string // text of the value of each key that is set, for messages
	reported     map[string]bool   // keys that already have a problem
	problems     Problems
}

// Parse decodes and checks the content of a settings file; file is its name in
// messages. The type of the error is Problems.
func Parse(file string, data []byte) (*Settings, error) {
	p := &parser{file: file, data: data, valueOffsets: map[string]int{}, valueTexts: map[string]string{}, reported: map[string]bool{}}
	s := new(Settings)
	if root, ok := p.parseDocument(); ok {
		p.decode("", root, reflect.ValueOf(s).Elem(), "an object")
		p.check(s) // before setDefaults, so that an explicit 0 is reported
		s.setDefaults()
	}
	if len(p.problems) > 0 {
		p.problems.sort()
		return nil, p.problems
	}
	return s, nil
}

// rootKey stands for the whole document in messages.
const rootKey = "document"

// parseDocument parses the syntax of the file. It returns false after a problem.
func (p *parser) parseDocument() (hujson.Value, bool) {
	if len(p.data) > maxFileBytes {
		p.report(rootKey, 0, fmt.Sprintf("%d bytes; want at most %d", len(p.data), maxFileBytes))
		return hujson.Value{}, false
	}
	root, err := hujson.Parse(p.data)
	if err == nil {
		return root, true
	}
	problem := Problem{File: p.file, Line: 1, Column: 1, Key: rootKey, Text: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		problem.Line, problem.Column = line, column
	}
	if inner := errors.Unwrap(err); inner != nil {
		problem.Text = inner.Error()
	}
	problem.Text += "; want JSON, where comments and trailing commas are allowed"
	p.problems = append(p.problems, problem)
	return hujson.Value{}, false
}

// report adds a problem unless key already has one, so that a later check does not
// report a second time a value that could not be decoded.
func (p *parser) report(key string, offset int, text string) {
	if p.reported[key] {
		return
	}
	p.reported[key] = true
	line, column := position(p.data, offset)
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Column: column, Key: key, Text: text})
}

// decode decodes the value v of key into out; want says in messages what is
// allowed.
func (p *parser) decode(key string, v hujson.Value, out reflect.Value, want string) {
	p.valueOffsets[key] = v.StartOffset
	p.valueTexts[key] = describeValue(v)
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	object, isObject := v.Value.(*hujson.Object)
	switch {
	case isScalar(out):
		p.decodeScalar(key, v, out, want)
	case !isObject:
		p.reportWrongType(key, v, want)
	case out.Kind() == reflect.Map:
		p.decodeMap(key, object, out)
	default:
		p.decodeStruct(key, object, out)
	}
}

// isScalar reports whether out is decoded as a whole by encoding/json.
func isScalar(out reflect.Value) bool {
	switch out.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return out.Kind() != reflect.Struct && out.Kind() != reflect.Map
}

func (p *parser) decodeScalar(key string, v hujson.Value, out reflect.Value, want string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, out.Addr().Interface()) != nil {
		p.reportWrongType(key, v, want)
	}
}

func (p *parser) decodeMap(key string, object *hujson.Object, out reflect.Value) {
	out.Set(reflect.MakeMap(out.Type()))
	p.forEachMember(key, object, func(name string, m hujson.ObjectMember) {
		elem := reflect.New(out.Type().Elem()).Elem()
		p.decode(joinKey(key, name), m.Value, elem, "text")
		out.SetMapIndex(reflect.ValueOf(name), elem)
	})
}

func (p *parser) decodeStruct(key string, object *hujson.Object, out reflect.Value) {
	p.forEachMember(key, object, func(name string, m hujson.ObjectMember) {
		field, ok := fieldByKey(out.Type(), name)
		if !ok {
			p.report(joinKey(key, name), m.Name.StartOffset, "unknown key; want one of "+strings.Join(fieldKeys(out.Type()), ", "))
			return
		}
		p.decode(joinKey(key, name), m.Value, out.FieldByIndex(field.Index), field.Tag.Get("want"))
	})
}

// forEachMember calls f for the first member of each name in the object at key and
// reports the others as duplicates.
func (p *parser) forEachMember(key string, object *hujson.Object, f func(string, hujson.ObjectMember)) {
	lines := map[string]int{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		line, _ := position(p.data, m.Name.StartOffset)
		if first, duplicate := lines[name]; duplicate {
			// The first member of this name may have a problem of its own.
			delete(p.reported, joinKey(key, name))
			p.report(joinKey(key, name), m.Name.StartOffset, fmt.Sprintf("duplicate key, set on line %d already; want each key once", first))
			continue
		}
		lines[name] = line
		f(name, m)
	}
}

// reportWrongType reports a value that could not be decoded.
func (p *parser) reportWrongType(key string, v hujson.Value, want string) {
	if key == "" {
		key = rootKey
	}
	p.report(key, v.StartOffset, fmt.Sprintf("%s is not allowed; want %s", describeValue(v), want))
}

// maxShownBytes limits the length of a value in a message.
const maxShownBytes = 60

// describeValue returns the form of v in messages.
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

// fieldByKey returns the field of t with the JSON key name.
func fieldByKey(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// fieldKeys returns the JSON keys of the fields of t.
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

// joinKey returns the full key of the member called name of the object at key. An
// empty name is quoted, since the empty key stands for the document.
func joinKey(key, name string) string {
	if name == "" {
		name = `""`
	}
	if key == "" {
		return name
	}
	return key + "." + name
}
