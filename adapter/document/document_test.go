package document

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestFaults parses invalid files and compares the reported faults with the golden
// file of each.
func TestFaults(t *testing.T) {
	tests := []struct {
		file  string
		parse func([]byte) error
	}{
		{"configuration", func(b []byte) error { _, err := ParseConfiguration(b); return err }},
		{"structure", func(b []byte) error { _, err := ParseConfiguration(b); return err }},
		{"syntax", func(b []byte) error { _, err := ParseConfiguration(b); return err }},
		{"entry", func(b []byte) error { _, err := ParseEntrySettings(b); return err }},
		{"agent", func(b []byte) error { _, err := ParseAgentSettings(b); return err }},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", tt.file+".jsonc"))
			if err != nil {
				t.Fatal(err)
			}
			found := tt.parse(text)
			if found == nil {
				t.Fatal("no faults found")
			}
			golden := filepath.Join("testdata", tt.file+".golden")
			if *update {
				if err := os.WriteFile(golden, []byte(found.Error()+"\n"), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got := found.Error() + "\n"; got != string(want) {
				t.Errorf("faults:\n%s\nwant:\n%s", got, want)
			}
		})
	}
}

// TestPrintReadsBack checks that a configuration with every member set is unchanged
// after it is printed and parsed.
func TestPrintReadsBack(t *testing.T) {
	text := `{
		"domains": [{"name": "east", "out": true}],
		"services": [{"name": "quotes", "kind": "model", "deadline": "5s", "idempotent": ["generate"], "resumes": true}],
		"accounts": [{"name": "bench", "digest": "` + strings.Repeat("ab", 32) + `", "rate": 2.5, "burst": 3, "concurrent": 4, "priority": -1}],
		"targets": [{"name": "m1", "service": "quotes", "domain": "east", "address": "10.0.0.1:1", "limit": 9, "cold": 2, "warm": "1m", "load": "llm@3", "leaving": true}],
		"groups": [{"name": "g", "experts": 64, "targets": ["m1"]}],
	}`
	first, err := ParseConfiguration([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	printed, err := PrintConfiguration(first)
	if err != nil {
		t.Fatal(err)
	}
	second, err := ParseConfiguration(printed)
	if err != nil {
		t.Fatalf("%v\n%s", err, printed)
	}
	again, err := PrintConfiguration(second)
	if err != nil || string(again) != string(printed) {
		t.Errorf("second print:\n%s\nfirst print:\n%s", again, printed)
	}
	for _, member := range []string{`"out": true`, `"resumes": true`, `"priority": -1`, `"warm": "1m0s"`, `"leaving": true`, `"load": "llm@3"`, `"rate": 2.5`} {
		if !strings.Contains(string(printed), member) {
			t.Errorf("the printed configuration lacks %s", member)
		}
	}
}
