package document

import (
	"encoding/json"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"hornbeamtray/core/fleet"
)

// Bound is a number that the platform fills into settings, in any notation that JSON
// has. Decoding never fails: any other value becomes NaN, which checker.bound replaces.
type Bound float64

// UnmarshalJSON decodes any JSON value. A number beyond the range of float64 becomes
// infinite.
func (b *Bound) UnmarshalJSON(text []byte) error {
	*b = Bound(math.NaN())
	if value, ok := parseNumber(string(text)); ok {
		*b = Bound(value)
	}
	return nil
}

// Whole returns the bound rounded down.
func (b Bound) Whole() int { return int(math.Floor(float64(b))) }

// TimeBound is a time that the platform fills into settings: a string of a number in any
// notation that JSON has and a unit, such as "5000ms" or "8.5s". Decoding never fails: any
// other value becomes invalidTime, which checker.timeBound replaces.
type TimeBound time.Duration

const invalidTime = TimeBound(math.MinInt64)

// UnmarshalJSON decodes any JSON value. A time beyond the range of time.Duration becomes
// the longest one.
func (b *TimeBound) UnmarshalJSON(text []byte) error {
	*b = invalidTime
	var written string
	if json.Unmarshal(text, &written) != nil {
		return nil
	}
	if d, err := time.ParseDuration(written); err == nil {
		*b = TimeBound(d)
		return nil
	}
	number := strings.TrimRight(written, "hmsuµn")
	unit, err := time.ParseDuration("1" + written[len(number):])
	if value, ok := parseNumber(number); ok && err == nil {
		*b = TimeBound(min(max(value*float64(unit), 0), math.MaxInt64/2))
	}
	return nil
}

// parseNumber parses a number in JSON's notation.
func parseNumber(text string) (float64, bool) {
	if !json.Valid([]byte(text)) || !strings.ContainsAny(text[:1], "-0123456789") {
		return 0, false
	}
	value, _ := strconv.ParseFloat(text, 64) // fails only for a number out of range, and returns infinity
	return value, true
}

// isBound reports whether a type decodes any value.
func isBound(t reflect.Type) bool {
	return t == reflect.TypeFor[Bound]() || t == reflect.TypeFor[TimeBound]()
}

// bound returns value if it is within range, the nearest number within range if not, and
// fallback, a strict bound, if the value is not a number. Unless it returns value, it adds
// a fault to replaced: a process that refused its settings would not serve at all, and
// neither would any other with the same ones.
func (k *checker) bound(path string, value, least, most, fallback Bound) Bound {
	used := min(max(value, least), most)
	switch {
	case math.IsNaN(float64(value)):
		used = fallback
		k.addReplaced(path, "the value is not a number", "give a number", formatBound(used))
	case used != value:
		k.addReplaced(path, formatBound(value)+" is out of range", "give a number from "+formatBound(least)+" to "+formatBound(most), formatBound(used))
	}
	return used
}

// timeBound is bound for times.
func (k *checker) timeBound(path string, value TimeBound, least, most, fallback time.Duration) TimeBound {
	used := min(max(time.Duration(value), least), most)
	switch {
	case value == invalidTime:
		used = fallback
		k.addReplaced(path, "the value is not a time", `write it like "250ms" or "30s"`, used.String())
	case used != time.Duration(value):
		k.addReplaced(path, time.Duration(value).String()+" is out of range", "give a time from "+least.String()+" to "+most.String(), used.String())
	}
	return TimeBound(used)
}

func (k *checker) addReplaced(path, problem, remedy, used string) {
	k.replaced = append(k.replaced, fleet.Fault{Path: path, Problem: problem + ", " + used + " is used instead", Remedy: remedy})
}

func formatBound(b Bound) string { return strconv.FormatFloat(float64(b), 'g', -1, 64) }

// port returns a port that may have any notation of a whole number, or 0 with a fault.
func (k *checker) port(path string, value Bound, least int) int {
	port := value.Whole()
	if math.IsNaN(float64(value)) || Bound(port) != value || port < least || port > math.MaxUint16 {
		k.addFault(path, "the value is not a port", "give a whole number from "+strconv.Itoa(least)+" to 65535")
		return 0
	}
	return port
}
