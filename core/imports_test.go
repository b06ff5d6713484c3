package core_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// allowedImports are the packages that core may import besides its own: those
// for values, ordering and text.
var allowedImports = map[string]bool{
	"bytes": true, "cmp": true, "errors": true, "fmt": true, "maps": true, "math": true, "math/rand/v2": true, "regexp": true, "slices": true,
	"sort": true, "strconv": true, "strings": true, "time": true,
	"github.com/benbjohnson/immutable": true, "github.com/cespare/xxhash/v2": true,
}

// clockCalls are the calls of package time that read the clock or wait.
var clockCalls = []string{"time.Now(", "time.Since(", "time.Until(", "time.Sleep(", "time.After(", "time.NewTimer(", "time.NewTicker("}

func TestCoreImportsAndClocks(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
			if !allowedImports[name] && !strings.HasPrefix(name, "hornbeamtray/core/") {
				t.Errorf("%s imports %s, want only packages in allowedImports", path, name)
			}
		}
		checkNoClockCalls(t, path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkNoClockCalls(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, clock := range clockCalls {
		if strings.Contains(string(text), clock) {
			t.Errorf("%s calls %s); core must not read the clock or wait", path, clock)
		}
	}
}
