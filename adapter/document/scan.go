package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"hornbeamtray/core/fleet"
)

// Fault is a fault and its line in the text, or line 0 if the line is unknown.
type Fault struct {
	fleet.Fault
	Line int
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Fault.String()
	}
	return fmt.Sprintf("line %d: %s", f.Line, f.Fault)
}

// Faults is an error that consists of several faults.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// scanner compares a parsed text with the Go type that it will be decoded into. It
// reports unknown, repeated and mistyped members and can record the line of each
// path.
type scanner struct {
	lineBreaks []int // offsets of the line breaks in ascending order
	fields     map[reflect.Type]map[string]reflect.Type
	lines      map[string]int // lines by path; nil if they aren't recorded
	faults     Faults
}

// pathNode is the last element of a path in the text and links to its parent. The
// path is formatted only for a fault or a recorded line, since a large text has
// many paths and few faults.
type pathNode struct {
	parent    *pathNode
	name      string
	isElement bool // whether the node is an element of a list
}

// String returns the path, such as targets[m1].address.
func (p *pathNode) String() string {
	switch {
	case p == nil:
		return ""
	case p.isElement:
		return p.parent.String() + "[" + p.name + "]"
	case p.parent == nil:
		return p.name
	default:
		return p.parent.String() + "." + p.name
	}
}

func newScanner(text []byte) *scanner {
	s := &scanner{fields: map[reflect.Type]map[string]reflect.Type{}}
	for i, b := range text {
		if b == '\n' {
			s.lineBreaks = append(s.lineBreaks, i)
		}
	}
	return s
}

// decode decodes JSON with comments into the struct that into points to.
func decode(text []byte, into any) Faults {
	tree, err := hujson.Parse(text)
	if err != nil {
		return Faults{{Fault: fleet.Fault{Path: "text", Problem: err.Error(), Remedy: "write JSON; // and /* */ comments are allowed"}, Line: lineInMessage(err.Error())}}
	}
	s := newScanner(text)
	s.value(nil, tree, reflect.TypeOf(into).Elem())
	if len(s.faults) > 0 {
		return s.faults
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), into); err != nil {
		s.addFault(&pathNode{name: "text"}, 1, trace.Unwrap(err).Error(), "correct the value")
	}
	return s.faults
}

// linesByPath returns the line of each path in a text that was decoded without faults.
func linesByPath(text []byte, into any) map[string]int {
	tree, err := hujson.Parse(text)
	if err != nil {
		return nil
	}
	s := newScanner(text)
	s.lines = map[string]int{}
	s.value(nil, tree, reflect.TypeOf(into).Elem())
	return s.lines
}

func (s *scanner) value(at *pathNode, v hujson.Value, want reflect.Type) {
	if s.lines != nil {
		s.lines[at.String()] = s.line(v.StartOffset)
	}
	if want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	if isBound(want) {
		return
	}
	switch actual := v.Value.(type) {
	case *hujson.Object:
		if want.Kind() != reflect.Struct {
			s.addTypeFault(at, s.line(v.StartOffset), want)
			return
		}
		s.object(at, actual, want)
	case *hujson.Array:
		if want.Kind() != reflect.Slice {
			s.addTypeFault(at, s.line(v.StartOffset), want)
			return
		}
		s.array(at, actual, want.Elem())
	case hujson.Literal:
		s.literal(at, v.StartOffset, actual, want)
	}
}

func (s *scanner) object(at *pathNode, object *hujson.Object, want reflect.Type) {
	fields := s.fieldsOf(want)
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := textOf(member.Name.Value.(hujson.Literal))
		here := &pathNode{parent: at, name: name}
		field, known := fields[name]
		switch {
		case !known:
			s.addFault(here, s.line(member.Name.StartOffset), fmt.Sprintf("member %q does not exist", name), "use one of: "+strings.Join(namesOf(want), ", "))
		case seen[name]:
			s.addFault(here, s.line(member.Name.StartOffset), fmt.Sprintf("member %q is repeated", name), "keep one of them")
		default:
			s.value(here, member.Value, field)
		}
		seen[name] = true
	}
}

func (s *scanner) array(at *pathNode, array *hujson.Array, want reflect.Type) {
	seen := map[string]int{}
	for i, element := range array.Elements {
		label := nameMember(element)
		named := label != ""
		if !named {
			label = strconv.Itoa(i)
		}
		here := &pathNode{parent: at, name: label, isElement: true}
		if first, twice := seen[label]; named && twice {
			s.addFault(here, s.line(element.StartOffset), fmt.Sprintf("name %q is already used on line %d", label, s.line(first)), "give each element a different name")
		}
		seen[label] = element.StartOffset
		s.value(here, element, want)
	}
}

func (s *scanner) literal(at *pathNode, offset int, literal hujson.Literal, want reflect.Type) {
	if literal.Kind() == 'n' {
		s.addFault(at, s.line(offset), "null is not allowed", "omit the member")
		return
	}
	if want.Kind() == reflect.String && literal.Kind() == '"' {
		return // every string is valid
	}
	if err := json.Unmarshal(literal, reflect.New(want).Interface()); err != nil {
		s.addTypeFault(at, s.line(offset), want)
	}
}

func (s *scanner) addTypeFault(at *pathNode, line int, want reflect.Type) {
	s.addFault(at, line, "the value has the wrong type or range", "write "+expectedType(want))
}

func (s *scanner) addFault(at *pathNode, line int, problem, remedy string) {
	s.faults = append(s.faults, Fault{Fault: fleet.Fault{Path: at.String(), Problem: problem, Remedy: remedy}, Line: line})
}

func (s *scanner) line(offset int) int {
	before, _ := slices.BinarySearch(s.lineBreaks, offset)
	return 1 + before
}

// withLines adds lines to the core's faults. A path that isn't in lines gets the line of
// its closest ancestor.
func withLines(faults []fleet.Fault, lines map[string]int) Faults {
	located := make(Faults, 0, len(faults))
	for _, fault := range faults {
		located = append(located, Fault{Fault: fault, Line: closestLine(fault.Path, lines)})
	}
	return located
}

func closestLine(path string, lines map[string]int) int {
	for path != "" {
		if line, found := lines[path]; found {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return lines[""]
}

// nameMember returns the value of the string member "name" of an object, or "" if v
// has none.
func nameMember(v hujson.Value) string {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return ""
	}
	for _, member := range object.Members {
		if literal, ok := member.Value.Value.(hujson.Literal); ok && literal.Kind() == '"' && textOf(member.Name.Value.(hujson.Literal)) == "name" {
			return textOf(literal)
		}
	}
	return ""
}

// textOf returns the value of a string literal. It decodes only those with escapes, since
// decoding allocates memory for each member of each object.
func textOf(literal hujson.Literal) string {
	if inner := literal[1 : len(literal)-1]; bytes.IndexByte(inner, '\\') < 0 && utf8.Valid(inner) {
		return string(inner)
	}
	return literal.String()
}

func (s *scanner) fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields, found := s.fields[t]
	if found {
		return fields
	}
	fields = map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		if f.IsExported() {
			fields[jsonName(f)] = f.Type
		}
	}
	s.fields[t] = fields
	return fields
}

func namesOf(t reflect.Type) []string {
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		if f.IsExported() {
			names = append(names, jsonName(f))
		}
	}
	return names
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func expectedType(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `a time such as "250ms" or "30s"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string in double quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list in square brackets"
	case reflect.Struct:
		return "an object in braces"
	default:
		return "a number in range"
	}
}

// lineInMessage returns the line number in the parser's message, or 1 if it contains none.
func lineInMessage(message string) int {
	line := 1
	if i := strings.Index(message, "line "); i >= 0 {
		_, _ = fmt.Sscanf(message[i:], "line %d", &line)
	}
	return line
}
