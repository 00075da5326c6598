package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// deployments are started at the same time, each by itself.
	deployments = 20
	// startGap is the time between the starts of two control machines: all start within 0.3 s, in
	// any order.
	startGap = 100 * time.Millisecond
	// downTime is how long killed processes are away: "back within a second".
	downTime = 700 * time.Millisecond
	// recovery is RecoveryS, contact is ContactMs.
	recovery = 12 * time.Second
	contact  = 3 * time.Second
)

// firstStart starts deployments for the first time and kills all processes of the core shortly
// after the last has started. The operator sends a configuration until it is acknowledged, and
// reads it back at the end.
func firstStart(d *deployment) (broken int, err error) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range deployments {
		part := &deployment{program: d.program, record: d.record, trouble: d.trouble, place: i}
		all.Add(1)
		go func() {
			defer all.Done()
			defer part.end()
			came, startErr := part.firstStart(fmt.Sprintf("deployment %d", i))
			mu.Lock()
			defer mu.Unlock()
			if startErr != nil {
				err = startErr
			} else if !came {
				broken++
			}
		}()
	}
	all.Wait()
	return broken, err
}

func (d *deployment) firstStart(name string) (came bool, err error) {
	if err := d.build(3, 0); err != nil {
		return false, err
	}
	if err := d.openLinks(); err != nil {
		return false, err
	}
	for i := range d.controls {
		m := d.controls[len(d.controls)-1-i]
		if i > 0 {
			time.Sleep(startGap)
		}
		if err := m.start(); err != nil {
			return false, err
		}
	}
	killAfter := time.Duration(25+rand.IntN(40)) * time.Millisecond
	time.Sleep(killAfter)
	if d.trouble {
		var kills sync.WaitGroup
		for _, m := range d.controls {
			kills.Add(1)
			go func() { defer kills.Done(); m.kill() }()
		}
		kills.Wait()
		time.Sleep(downTime)
		for _, m := range d.controls {
			if err := m.endFirstStart(); err != nil {
				return false, err
			}
			if err := m.start(); err != nil {
				return false, err
			}
		}
	}
	back, body, acknowledged := time.Now(), newConfiguration(3, 0, tenants(nil)).encode(), false
	for try := 0; time.Since(back) < recovery && !acknowledged; try++ {
		status, _ := call(http.MethodPost, address(d.controls[try%len(d.controls)].ip, portControl), "/dandelionhoist/Config.Replace", body)
		acknowledged = status == http.StatusOK
		time.Sleep(100 * time.Millisecond)
	}
	d.record.add("%s: configuration acknowledged: %v, %.1f s after the core was back", name, acknowledged, time.Since(back).Seconds())
	for begin, try := time.Now(), 0; time.Since(begin) < contact && !came; try++ {
		status, text := call(http.MethodGet, address(d.controls[try%len(d.controls)].ip, portControl), "/dandelionhoist/Config.Read", nil)
		var c struct{ Version int }
		came = status == http.StatusOK && json.Unmarshal(text, &c) == nil && c.Version == 3
		if !came {
			d.record.add("%s: Config.Read: %d %s", name, status, text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !came {
		d.record.add("BROKEN: %s, killed %v after the last start: the configuration doesn't come", name, killAfter)
	}
	return came, nil
}

// endFirstStart makes the settings those of a later start: the disks are not empty any more.
func (m *machine) endFirstStart() error {
	text, err := os.ReadFile(m.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, bytes.Replace(text, []byte("Bootstrap = true"), []byte("Bootstrap = false"), 1), 0o644)
}
