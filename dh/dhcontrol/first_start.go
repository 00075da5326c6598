package dhcontrol

import (
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"slices"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhquorum"
)

// firstStartFile tells that a disk has been in use since the first start of the system. It is
// synced before the voter's files exist, and stays.
const firstStartFile = "first-start.json"

// firstStart is the content of firstStartFile.
type firstStart struct {
	// Voters are the addresses of the first voters.
	Voters []string `json:"voters"`
}

// openFirstStart notes the first start on an empty disk if this VM is to create the first voter
// set, or reads at a later start what was noted.
func (c *Control) openFirstStart(disk dhdisk.Disk) error {
	if !c.Bootstrap {
		return c.readFirstStart(disk)
	}
	names, err := disk.List()
	if err != nil {
		return dhcode.Wrap(dhcode.DiskFailed, err)
	}
	if len(names) > 0 {
		return nil // a start before this one has been here
	}
	text, err := json.Marshal(firstStart{Voters: c.Seeds})
	if err == nil {
		err = writeSynced(disk, firstStartFile, text)
	}
	if err != nil {
		return dhcode.Wrap(dhcode.DiskFailed, err)
	}
	return nil
}

func (c *Control) readFirstStart(disk dhdisk.Disk) error {
	text, err := disk.ReadFile(firstStartFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return dhcode.Wrap(dhcode.DiskFailed, err)
	}
	var s firstStart
	if err := json.Unmarshal(text, &s); err != nil {
		c.Log.Warn("note of the first start not read", slog.String("error", err.Error()))
		return nil // power was lost while it was being written, before the voter's files
	}
	c.firstStart.Store(&s)
	return nil
}

// writeSynced writes a file and makes it durable.
func writeSynced(disk dhdisk.Disk, name string, text []byte) error {
	file, err := disk.Create(name)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = disk.SyncDir()
	}
	return err
}

// firstVoters returns the addresses of the voters of the set that this VM may create, or nil
// if it may create none. After the first start a VM may only finish a creation that was
// interrupted, and only if it is one of the first voters and has its disk since then: all of
// these install the first set before any of them serves in it. Other VMs, and those whose
// disk was lost, may have missed a set.
func (c *Control) firstVoters() []string {
	if c.Bootstrap {
		return c.Seeds
	}
	s, v := c.firstStart.Load(), c.voter.Load()
	if s == nil || v == nil || v.Status().Set.Serving() || !slices.Contains(s.Voters, c.Address) {
		return nil
	}
	return s.Voters
}

// members returns the members at addresses, with identities that are not known yet.
func members(addresses []string) []dhquorum.Member {
	list := make([]dhquorum.Member, 0, len(addresses))
	for _, address := range addresses {
		list = append(list, dhquorum.Member{Address: address})
	}
	return list
}
