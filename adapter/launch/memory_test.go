package launch

import (
	"context"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	"hornbeamtray/adapter/journal"
)

// TestLimitMemory guards against a process that takes more memory than its machine has
// before its garbage collector runs, and against one that loses the limit of its operators.
func TestLimitMemory(t *testing.T) {
	const unchanged = 123 << 30
	tests := []struct {
		name, variable string
		info           string // empty for no file
		want           int64
	}{
		{"usual", "", "MemTotal:         188416 kB\nMemFree:            2048 kB\n", 188416 * 1024 / 4 * 3},
		{"not the first line", "", "MemFree: 1 kB\nMemTotal: 4096 kB\n", 3 << 20},
		{"set by operators", "1GiB", "MemTotal: 4096 kB\n", unchanged},
		{"no file", "", "", unchanged},
		{"no such line", "", "MemFree: 4096 kB\nSwapTotal: 4096 kB\n", unchanged},
		{"no number", "", "MemTotal: lots kB\n", unchanged},
		{"another unit", "", "MemTotal: 4096 MB\n", unchanged},
		{"no unit", "", "MemTotal: 4096\n", unchanged},
		{"zero", "", "MemTotal: 0 kB\n", unchanged},
		{"negative", "", "MemTotal: -4096 kB\n", unchanged},
		{"too large", "", "MemTotal: 9223372036854775807 kB\n", unchanged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv(memoryLimitVariable, tt.variable)
			path := filepath.Join(t.TempDir(), "meminfo")
			if tt.info != "" {
				if err := os.WriteFile(path, []byte(tt.info), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(unchanged))
			limitMemory(path, journal.New("program"))
			if got := debug.SetMemoryLimit(-1); got != tt.want {
				t.Errorf("the limit is %d bytes, want %d", got, tt.want)
			}
		})
	}
}

// TestServerLimitsMemory guards against a program that serves without the limit.
func TestServerLimitsMemory(t *testing.T) {
	t.Setenv(memoryLimitVariable, "")
	want := debug.SetMemoryLimit(-1)
	if total, err := totalMemory(memoryInfoPath); err == nil {
		want = total / 4 * 3
	}
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	var got int64
	command := ServerCommand("program", "serve", func([]byte) (int, error) { return 0, nil }, func(context.Context, string, int) error {
		got = debug.SetMemoryLimit(-1)
		return nil
	})
	if code := run(t.Context(), command, []string{"program", "--settings", path}); code != Success || got != want {
		t.Errorf("the program ended with code %d and served with a limit of %d bytes, want %d", code, got, want)
	}
}
