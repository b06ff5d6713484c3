package document

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration that is a string such as "30s" in JSON.
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (s Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(s).String())
}

// UnmarshalJSON decodes the duration from a string.
func (s *Duration) UnmarshalJSON(text []byte) error {
	var written string
	if err := json.Unmarshal(text, &written); err != nil {
		return trace.BadParameter(`a time is a string such as "30s"`)
	}
	d, err := time.ParseDuration(written)
	if err != nil {
		return trace.BadParameter(`%q is not a time; write it like "250ms" or "30s"`, written)
	}
	*s = Duration(d)
	return nil
}
