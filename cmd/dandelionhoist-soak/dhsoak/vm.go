package dhsoak

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/platform"
)

// vm is a process of the system with its settings, disk and log. Faults that
// overlap are counted, so that the last one to end brings the process back.
type vm struct {
	deployment *deployment
	name, role string
	// public is the IP that others use, hidden the one that the process listens on.
	public, hidden string
	settings       string
	// disk is empty on entry VMs.
	disk string

	mu      sync.Mutex
	process *process
	down    int
	paused  int
	ended   bool
}

// process is one start of a VM.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	// expected tells that a fault ends the process; status is set when it has exited.
	expected bool
	status   error
}

// start starts the process. The caller holds mu.
func (v *vm) start() error {
	if v.ended {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(v.deployment.soak.Folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return errors.Join(err, log.Close())
	}
	arguments := []string{"--source-ip", v.hidden, v.role}
	if v.role == roleControl {
		arguments = append(arguments, "--internal-listen", address(v.hidden, portInternal))
	}
	p := &process{command: exec.Command(v.deployment.soak.Program, arguments...), exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	p.command.Stdout, p.command.Stderr = writer, writer
	// A soak that is killed leaves no process behind.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return errors.Join(err, log.Close(), reader.Close(), writer.Close())
	}
	v.process = p
	v.deployment.group.Go(func(context.Context) error {
		defer func() { _ = log.Close() }()
		// The log goes through a pipe, since a fault limits the size of files.
		if _, err := log.ReadFrom(reader); err != nil {
			return err
		}
		return reader.Close()
	})
	v.deployment.group.Go(func(context.Context) error {
		_ = writer.Close() // the process has its own copy
		p.status = p.command.Wait()
		close(p.exited)
		v.mu.Lock()
		defer v.mu.Unlock()
		if p.expected || v.ended {
			return nil
		}
		v.deployment.judge.Broken("fault", "%s ended by itself: %v", v.name, p.status)
		if v.process != p {
			return nil
		}
		if v.process = nil; v.down == 0 {
			v.restart() // as the platform does
		}
		return nil
	})
	return nil
}

// signal sends a signal to the running process, if there is one. The caller holds mu.
func (v *vm) signal(s syscall.Signal) {
	if v.process == nil {
		return
	}
	if err := v.process.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		v.deployment.judge.Broken("soak", "signal to %s: %v", v.name, err)
	}
}

// kill ends the process and keeps it down until up is called.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down++
	v.killNow()
}

func (v *vm) killNow() {
	if v.process == nil {
		return
	}
	v.process.expected = true
	v.signal(syscall.SIGKILL)
	<-v.process.exited
	v.process = nil
}

// up ends one fault that keeps the process down.
func (v *vm) up() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down--; v.down == 0 && v.process == nil {
		v.restart()
	}
}

func (v *vm) restart() {
	if err := v.start(); err != nil {
		v.deployment.judge.Broken("soak", "start of %s: %v", v.name, err)
	}
}

// pause stops the process until resume is called.
func (v *vm) pause() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.paused++
	v.signal(syscall.SIGSTOP)
}

func (v *vm) resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.paused--; v.paused == 0 {
		v.signal(syscall.SIGCONT)
	}
}

// stop sends SIGTERM, waits for the end of the process and starts it again. A
// process that nothing else meets ends with 0 within the grace period.
func (v *vm) stop(ctx context.Context) {
	j := v.deployment.judge
	end := j.Disturb(stopping(v.name))
	defer end()
	v.mu.Lock()
	p := v.process
	if p == nil || p.expected {
		v.mu.Unlock()
		return
	}
	p.expected = true
	begin := j.Timers.Now()
	v.signal(syscall.SIGTERM)
	v.mu.Unlock()
	// The platform kills the process after the grace period; requests that run
	// until then may lose their answers.
	limited, cancel := dhtimer.WithTimeout(ctx, j.Timers, graceBound*5/6)
	defer cancel()
	select {
	case <-p.exited:
	case <-limited.Done():
		defer j.Disturb(v.name)()
	}
	late, cancelLate := dhtimer.WithTimeout(ctx, j.Timers, graceBound-j.Timers.Now().Sub(begin))
	defer cancelLate()
	select {
	case <-p.exited:
		j.Stopped(v.name, begin, p.status)
	case <-late.Done():
		if ctx.Err() == nil {
			j.Stopped(v.name, begin, fmt.Errorf("still running after %v", graceBound))
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == p {
		v.killNow()
		if v.down == 0 {
			v.restart()
		}
	}
}

// wipe empties the disk of a process that is down.
func (v *vm) wipe() error {
	return errors.Join(os.RemoveAll(v.disk), os.Mkdir(v.disk, 0o755))
}

// limitFiles makes writes beyond the present size of the largest file, and
// slack bytes, end the process. It returns false if there is no process.
func (v *vm) limitFiles(slack int) bool {
	largest := int64(0)
	err := filepath.WalkDir(v.disk, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // files come and go meanwhile
		}
		if info, err := entry.Info(); err == nil {
			largest = max(largest, info.Size())
		}
		return nil
	})
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return false
	}
	v.process.expected = true
	pid := v.process.command.Process.Pid
	var limit unix.Rlimit
	err = unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit)
	if err == nil {
		limit.Cur = min(uint64(largest)+uint64(slack), limit.Max)
		err = unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil)
	}
	if err != nil && !errors.Is(err, unix.ESRCH) {
		v.deployment.judge.Broken("soak", "file limit of %s: %v", v.name, err)
	}
	return true
}

// end kills the process for good.
func (v *vm) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended = true
	v.killNow()
}
