package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhsetting"
	"dandelionhoist.example/dh/dhtable"
)

// Guards against example settings that the daemon refuses, that give two VMs
// one name, address or zone slot, or that disagree about voters.
func TestDeployedSettings(t *testing.T) {
	for deployment, vms := range map[string]int{"tringles": 8, "kandy": 9} {
		folder := filepath.Join("..", "..", "deploy", deployment)
		text, err := os.ReadFile(filepath.Join(folder, "tables.json"))
		assert.NilError(t, err)
		tables, err := dhtable.Parse("tables.json", text)
		assert.NilError(t, err)
		files, err := filepath.Glob(filepath.Join(folder, "settings", "*.json"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), vms, deployment)
		checkDeployment(t, files, tables)
	}
}

func checkDeployment(t *testing.T, files []string, tables *dhtable.Tables) {
	t.Helper()
	type slot struct {
		zone   string
		number int
	}
	names, addresses, slots := map[string]bool{}, map[string]bool{}, map[slot]bool{}
	var first dhsetting.Settings
	voters, disks := 0, 0
	for i, file := range files {
		command := exec.CommandContext(t.Context(), os.Args[0], "check-settings", file)
		command.Env = append(os.Environ(), runMain+"=1")
		out, err := command.CombinedOutput()
		assert.NilError(t, err, "%s", out)
		s, err := dhsetting.Load(file)
		assert.NilError(t, err)
		if i == 0 {
			first = s
		}
		at := slot{s.Zone, s.Peers.ZoneSlot}
		assert.Assert(t, !names[s.Name] && !addresses[s.Listen.Peers] && !slots[at], file)
		names[s.Name], addresses[s.Listen.Peers], slots[at] = true, true, true
		assert.Equal(t, filepath.Base(file), s.Name+".json")
		assert.Equal(t, tables.Zones[s.Zone].Region, s.Region, file)
		assert.Equal(t, s.Peers.EntryVMs, len(files), file)
		assert.Assert(t, slices.Equal(s.State.Voters, first.State.Voters), file)
		if s.IsVoter() {
			voters++
		}
		if s.State.Folder != "" {
			disks++
		}
	}
	assert.Equal(t, voters, len(first.State.Voters))
	assert.Equal(t, voters, 3)
	assert.Equal(t, disks, 4, "three voters and a spare")
}
