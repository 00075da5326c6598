package dhquorum_test

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhquorum"
	"dandelionhoist.example/dh/dhtimer"
)

// localTransport calls voters in this process by their address.
type localTransport map[string]*dhquorum.Voter

func (d localTransport) Prepare(ctx context.Context, address string, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error) {
	return d[address].Prepare(ctx, m)
}

func (d localTransport) Accept(ctx context.Context, address string, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	return d[address].Accept(ctx, m)
}

func (d localTransport) ReadState(ctx context.Context, address string, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	return d[address].ReadState(ctx, m)
}

// syncCountingDisk counts the file syncs of a real disk.
type syncCountingDisk struct {
	*dhdisk.OS
	syncs atomic.Int64
}

type syncCountingFile struct {
	dhdisk.File
	syncs *atomic.Int64
}

func (c *syncCountingDisk) Create(name string) (dhdisk.File, error) {
	f, err := c.OS.Create(name)
	return syncCountingFile{f, &c.syncs}, err
}

func (f syncCountingFile) Sync() error {
	f.syncs.Add(1)
	return f.File.Sync()
}

func openSyncCountingDisk(b *testing.B, folder string) *syncCountingDisk {
	system, err := dhdisk.OpenOS(folder)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = system.Close() })
	return &syncCountingDisk{OS: system}
}

// BenchmarkUpdate writes values of 200 bytes to new keys on three voters with
// real files. One update takes two records and two rounds.
func BenchmarkUpdate(b *testing.B) {
	for _, concurrent := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("concurrent=%d", concurrent), func(b *testing.B) {
			voters, disks := make(localTransport), []*syncCountingDisk{}
			owners := dhgroup.New(b.Context())
			var addresses []dhquorum.Member
			for i := range 3 {
				disk := openSyncCountingDisk(b, b.TempDir())
				name := fmt.Sprintf("v%d", i)
				v, err := dhquorum.OpenVoter(disk, name)
				assert.NilError(b, err)
				owners.Go(v.Run)
				voters[name], disks = v, append(disks, disk)
				addresses = append(addresses, dhquorum.Member{Address: name})
			}
			p := &dhquorum.Proposer{Name: "p", Transport: voters, Timers: dhtimer.NewSystem()}
			_, err := p.Bootstrap(b.Context(), addresses)
			assert.NilError(b, err)
			before := disks[0].syncs.Load()
			value := []byte(strings.Repeat("v", 200))
			group := dhgroup.New(b.Context())
			var next, failed atomic.Int64
			b.ResetTimer()
			for range concurrent {
				group.Go(func(ctx context.Context) error {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						key := fmt.Sprintf("claim/crew-east/%d", i)
						if _, err := p.Update(ctx, key, func([]byte) ([]byte, error) { return value, nil }); err != nil {
							failed.Add(1)
						}
					}
					return nil
				})
			}
			assert.NilError(b, group.Wait())
			b.StopTimer()
			b.ReportMetric(float64(b.N)/float64(disks[0].syncs.Load()-before), "updates/fsync")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "updates/s")
			b.ReportMetric(float64(failed.Load()), "failed")
			updates, tries := p.Counts()
			b.ReportMetric(float64(tries-updates)/float64(updates), "retries/update")
			owners.Stop()
			assert.NilError(b, owners.Wait())
		})
	}
}

// BenchmarkRestart opens a voter after 1,000 edits of 4 KB and 100,000 claims
// of 200 bytes.
func BenchmarkRestart(b *testing.B) {
	folder := b.TempDir()
	live := writeRegisters(b, folder)
	size := 0
	b.ResetTimer()
	for range b.N {
		disk := openSyncCountingDisk(b, folder)
		_, err := dhquorum.OpenVoter(disk, "unused")
		assert.NilError(b, err)
		size = sizeOnDisk(b, disk)
		assert.NilError(b, disk.Close())
	}
	b.ReportMetric(float64(size)/float64(live), "log/live")
}

// sizeOnDisk returns the total size of the files. It lists them again when one
// is renamed or removed while they are read.
func sizeOnDisk(b *testing.B, disk *syncCountingDisk) int {
	for {
		names, err := disk.List()
		assert.NilError(b, err)
		size, gone := 0, false
		for _, name := range names {
			data, err := disk.ReadFile(name)
			if gone = errors.Is(err, fs.ErrNotExist); gone {
				break
			}
			assert.NilError(b, err)
			size += len(data)
		}
		if !gone {
			return size
		}
	}
}

// writeRegisters writes all registers through the voter's messages, each key
// three times as claims are, and returns the total bytes of keys and values.
func writeRegisters(b *testing.B, folder string) (live int) {
	disk := openSyncCountingDisk(b, folder)
	v, err := dhquorum.OpenVoter(disk, "v0")
	assert.NilError(b, err)
	owner := dhgroup.New(b.Context())
	owner.Go(v.Run)
	voters := localTransport{"v0": v}
	p := &dhquorum.Proposer{Name: "p", Transport: voters, Timers: dhtimer.NewSystem()}
	set, err := p.Bootstrap(b.Context(), []dhquorum.Member{{Address: "v0"}})
	assert.NilError(b, err)
	_, err = p.Read(b.Context(), "none") // installs the voter set
	assert.NilError(b, err)
	group := dhgroup.New(b.Context())
	const writers = 1000
	var total, peak atomic.Int64
	for w := range writers {
		group.Go(func(ctx context.Context) error {
			for i := w; i < 101_000; i += writers {
				key, value := fmt.Sprintf("claim/crew-east/%d", i), make([]byte, 200)
				if i < 1000 {
					key, value = fmt.Sprintf("revision/%d", i), make([]byte, 4096)
				}
				for n := range uint64(3) {
					ballot := &dhpb.Ballot{Number: n + 1, Proposer: "p"}
					if _, err := v.Prepare(ctx, &dhpb.PrepareRequest{Epoch: set.Epoch, Key: key, Ballot: ballot}); err != nil {
						return err
					}
					a, err := v.Accept(ctx, &dhpb.AcceptRequest{Epoch: set.Epoch, Key: key, Ballot: ballot, Value: value})
					if err != nil || !a.Ok {
						return fmt.Errorf("accept: %v %w", a, err)
					}
				}
				total.Add(int64(len(key) + len(value)))
				if w == 0 {
					peak.Store(max(peak.Load(), int64(sizeOnDisk(b, disk))))
				}
			}
			return nil
		})
	}
	assert.NilError(b, group.Wait())
	owner.Stop()
	assert.NilError(b, owner.Wait())
	assert.NilError(b, disk.Close())
	b.Logf("live %d bytes, log %d bytes before the restart, peak %d", total.Load(), sizeOnDisk(b, disk), peak.Load())
	return int(total.Load())
}
