package main

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhsetting"
	"dandelionhoist.example/platform"
)

var updatePages = flag.Bool("update-pages", false, "Write docs/SETTINGS.md.")

const settingsPage = "../../docs/SETTINGS.md"

const settingsIntro = "# Settings\n\n" +
	"The settings of a daemon are one file of JSON with comments, read once at the start. `dandelionhoistd check-settings FILE` checks a file without starting; `dandelionhoistd print-defaults` prints the list below. A file states `format`, `name`, `zone`, `region`, the files under `keys` and what differs from the defaults. Unknown keys, durations without a unit, addresses without IP and port, and combinations that cannot work are refused with file, row and column.\n\n" +
	"Durations have a unit (`100ms`, `5s`, `24h`); sizes are in bytes. Worked examples for every VM are in [deploy/tringles/settings](../deploy/tringles/settings) and [deploy/kandy/settings](../deploy/kandy/settings).\n\n" +
	"Settings that must be the same on all VMs of a deployment: `state.voters`, `peers.entry-vms`, the keys, `timing` and, within a zone, `peers.zone-slots`. `keys` files are read at the start; `listen.cert-file` and `listen.key-file` are read again when they change.\n\n" +
	"This page is written by `go test ./cmd/dandelionhoistd -run TestSettingsPage -update-pages`; the test keeps it equal to package `dhsetting`.\n\n"

const platformSettingsIntro = "\n## Settings of the platform\n\n" +
	"The roles `entry` and `control` read the platform's settings file (TOML), which `DANDELIONHOIST_NODE_FILE` names, at the start, on SIGHUP and when it has changed; then `Seeds` take effect. `dandelionhoistd check-platform-settings FILE` checks one. Unknown fields are ignored, a number of 0 stands for its default. On the command line, `control --internal-listen IP:PORT` listens for other VMs on another address than they call, and `--source-ip IP` is where calls to other VMs leave from.\n\n"

// Guards against a settings page that lacks a setting or states a wrong default.
func TestSettingsPage(t *testing.T) {
	want := settingsIntro + "```jsonc\n" + dhsetting.Describe() + "```\n" + platformSettingsIntro + platform.Describe()
	if *updatePages {
		assert.NilError(t, os.WriteFile(settingsPage, []byte(want), 0o600))
	}
	got, err := os.ReadFile(settingsPage)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}
