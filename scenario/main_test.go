package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	agent "hornbeamtray/agent/command"
	entry "hornbeamtray/entry/command"
	operator "hornbeamtray/operator/command"
	standin "hornbeamtray/standin/command"
)

// parallelScripts limits how many scripts run at once, so that each script gets
// the CPU time that its time limits assume.
const parallelScripts = "3"

func TestMain(m *testing.M) {
	_ = flag.Set("test.parallel", parallelScripts)
	testscript.Main(m, map[string]func(){
		"agent":   func() { os.Exit(agent.Main(os.Args)) },
		"entry":   func() { os.Exit(entry.Main(os.Args)) },
		"tray":    func() { os.Exit(operator.Main(os.Args)) },
		"standin": func() { os.Exit(standin.Main(os.Args)) },
	})
}

// TestScripts runs each script in testdata. With UPDATE=1 in the environment it
// rewrites golden.txt in the scripts that compare with it.
func TestScripts(t *testing.T) {
	testscript.Run(t, scriptParams("testdata"))
}

// TestScriptsAlone runs the scripts whose time limits depend on CPU time. They do
// not run at the same time as those of TestScripts.
func TestScriptsAlone(t *testing.T) {
	testscript.Run(t, scriptParams("testdata/alone"))
}

func scriptParams(dir string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		UpdateScripts:       os.Getenv("UPDATE") != "",
		Setup: func(e *testscript.Env) error {
			s := newSite(filepath.Join(e.WorkDir, "site"))
			e.Values[siteKey{}] = s
			e.Setenv("IP", s.network)
			e.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"site":       cmdSite,
			"up":         cmdUp,
			"spawn":      cmdSpawn,
			"signal":     cmdSignal,
			"reap":       cmdReap,
			"publish":    cmdPublish,
			"session":    cmdSession,
			"eventually": cmdEventually,
			"logged":     cmdLogged,
			"sleep":      cmdSleep,
			"verify":     cmdVerify,
			"figure":     cmdFigure,
			"peak":       cmdPeak,
			"assault":    cmdAssault,
			"settled":    cmdSettled,
		},
	}
}
