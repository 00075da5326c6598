package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/golden"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"dandelionhoist": main})
}

// Guards against changes of what operators and their scripts see: output,
// exit status, completion, defaults and TLS.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: golden.FlagUpdate(),
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": checkExitStatus,
		},
		Setup: func(env *testscript.Env) error {
			d := newFakeDeployment(t)
			plain := (&fakeVM{deployment: d}).serve(t, false)
			secure := (&fakeVM{deployment: d}).serve(t, true)
			closed := httptest.NewServer(http.NotFoundHandler())
			closed.Close()
			env.Setenv("DANDELIONHOIST_SERVER", plain.URL)
			env.Setenv("DANDELIONHOIST_KEY_FILE", filepath.Join(env.WorkDir, "operator.key"))
			env.Setenv("TLS_SERVER", secure.URL)
			env.Setenv("CLOSED_SERVER", closed.URL)
			env.Setenv("CONTROL", (&fakeControl{}).serve(t))
			env.Setenv("HOME", env.WorkDir)
			env.Setenv("USER", "ines")
			return errors.Join(
				os.WriteFile(filepath.Join(env.WorkDir, "operator.key"), []byte(operatorKey+"\n"), 0o600),
				os.WriteFile(filepath.Join(env.WorkDir, "ca.pem"), certificate(secure), 0o600),
			)
		},
	})
}

// checkExitStatus is the script command "exits STATUS COMMAND...", which runs a
// command and compares its exit status.
func checkExitStatus(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	status := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		status = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(status) != args[0] {
		ts.Fatalf("exit status %d; expected %s", status, args[0])
	}
}
