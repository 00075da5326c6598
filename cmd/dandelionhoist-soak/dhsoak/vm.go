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

// vm is a VM of the system, run as one process with its own settings, disk and
// log. Overlapping faults are counted, so that the process is restored when the
// last of them ends.
type vm struct {
	deployment *deployment
	name, role string
	// publicIP is the IP that others connect to. The process of a control VM listens on
	// privateIP, behind the network.
	publicIP, privateIP string
	settings            string
	// disk is the path of the disk; it is empty for entry VMs.
	disk string

	mu sync.Mutex
	// old is set while the VM is to run the old program.
	old         bool
	process     *process
	downFaults  int
	pauseFaults int
	ended       bool
}

// process is one start of a VM.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	// expected is true if a fault makes the process exit; status is set once it has
	// exited.
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
	arguments := []string{"--source-ip", v.privateIP, v.role}
	if v.role == roleControl {
		arguments = append(arguments, "--internal-listen", address(v.privateIP, portInternal))
	}
	program := v.deployment.soak.Program
	if v.old {
		program = v.deployment.soak.OldProgram
	}
	p := &process{command: exec.Command(program, arguments...), exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	p.command.Stdout, p.command.Stderr = writer, writer
	// The kernel kills the process if the soak is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return errors.Join(err, log.Close(), reader.Close(), writer.Close())
	}
	v.process = p
	v.deployment.group.Go(func(context.Context) error {
		defer func() { _ = log.Close() }()
		// The log goes through a pipe, since the limit-disk fault limits the size of
		// files that the process writes.
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
		v.deployment.checker.RecordViolation("fault", "%s ended by itself: %v", v.name, p.status)
		if v.process != p {
			return nil
		}
		if v.process = nil; v.downFaults == 0 {
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
		v.deployment.checker.RecordViolation("soak", "signal to %s: %v", v.name, err)
	}
}

// kill kills the process and keeps it down until bringUp is called.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.downFaults++
	v.killProcess()
}

func (v *vm) killProcess() {
	if v.process == nil {
		return
	}
	v.process.expected = true
	v.signal(syscall.SIGKILL)
	<-v.process.exited
	v.process = nil
}

// bringUp ends one fault that keeps the process down, and restarts the process
// if it was the last one.
func (v *vm) bringUp() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.downFaults--; v.downFaults == 0 && v.process == nil {
		v.restart()
	}
}

func (v *vm) restart() {
	if err := v.start(); err != nil {
		v.deployment.checker.RecordViolation("soak", "start of %s: %v", v.name, err)
	}
}

// pause stops the process until resume is called.
func (v *vm) pause() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pauseFaults++
	v.signal(syscall.SIGSTOP)
}

func (v *vm) resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pauseFaults--; v.pauseFaults == 0 {
		v.signal(syscall.SIGCONT)
	}
}

// stop sends SIGTERM, waits for the process to exit and starts it again. Without
// another fault the process must exit with 0 within the grace period.
func (v *vm) stop(ctx context.Context) {
	j := v.deployment.checker
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
		j.ProcessStopped(v.name, begin, p.status)
	case <-late.Done():
		if ctx.Err() == nil {
			j.ProcessStopped(v.name, begin, fmt.Errorf("still running after %v", graceBound))
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == p {
		v.killProcess()
		if v.downFaults == 0 {
			v.restart()
		}
	}
}

// exchange stops the process as planned and starts it with the other program.
func (v *vm) exchange(ctx context.Context) {
	v.mu.Lock()
	v.old = !v.old
	v.mu.Unlock()
	v.stop(ctx)
}

func (v *vm) runsOld() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.old
}

// wipe empties the disk of a process that is down.
func (v *vm) wipe() error {
	return errors.Join(os.RemoveAll(v.disk), os.Mkdir(v.disk, 0o755))
}

// limitFiles limits the size of files to that of the largest one plus slack bytes;
// a write beyond the limit ends the process. It returns false if there is no
// process.
func (v *vm) limitFiles(slack int) bool {
	largest := int64(0)
	err := filepath.WalkDir(v.disk, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // files may be created and removed meanwhile
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
		v.deployment.checker.RecordViolation("soak", "file limit of %s: %v", v.name, err)
	}
	return true
}

// end kills the process and prevents restarts.
func (v *vm) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended = true
	v.killProcess()
}
