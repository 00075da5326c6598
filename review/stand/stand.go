// Command review-stand starts the programs of the deploy file on loopback and
// plays the platform around them: settings files, operator, replicas and clients
// as PROTOCOL.md and DEPLOY.md describe them. Each review case is one scenario.
//
//	review-stand SCENARIO --folder review/N
//
// Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat     = 1200 * time.Millisecond
	portFrontend  = 8227
	portReady     = 8220
	portControl   = 8229
	portInternal  = 7340
	portReplica   = 8080
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// record writes the lines of record.txt with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// machine is one process of the system.
type machine struct {
	name, role, ip, settings string
	memoryMb                 int

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// stand is the platform of one run.
type stand struct {
	program, folder string
	trouble         bool
	base            [3]byte
	record          *record
	controls        []*machine
	entries         []*machine
	zones           int
	memoryMb        int
}

func (s *stand) ip(block, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.base[0], int(s.base[1])+block, 1+i)
}

func newStand(controls, entries int, folder, temporary string) (*stand, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &stand{
		program: "target/dandelionhoistd", folder: temporary, trouble: os.Getenv("TROUBLE") != "0", zones: 3, memoryMb: 134,
		record: &record{out: out, began: time.Now()},
	}
	for try := 0; ; try++ {
		s.base = [3]byte{byte(192 + rand.IntN(60)), byte(4 * rand.IntN(60)), 0}
		l, err := net.Listen("tcp", net.JoinHostPort(s.ip(0, 0), fmt.Sprint(portControl)))
		if err == nil {
			_ = l.Close()
			break
		}
		if try == 20 {
			return nil, err
		}
	}
	for i := range controls {
		s.controls = append(s.controls, &machine{name: fmt.Sprintf("core-%d", i), role: "control", ip: s.ip(0, i)})
	}
	for i := range entries {
		s.entries = append(s.entries, &machine{name: fmt.Sprintf("edge-%d", i), role: "entry", ip: s.ip(0, 100+i)})
	}
	return s, nil
}

func zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

// writeSettings writes a settings file as DEPLOY.md shows it.
func (s *stand) writeSettings(m *machine, i int, bootstrap bool) error {
	var seeds []string
	for _, c := range s.controls {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(c.ip, fmt.Sprint(portControl))))
	}
	m.settings = filepath.Join(s.folder, m.name+".toml")
	class, serves, listen, data := "edge", "edge", fmt.Sprintf("Frontend = \"%s:%d\"\nReady = \"%s:%d\"\n", m.ip, portFrontend, m.ip, portReady), ""
	memory := s.memoryMb
	if m.role == "control" {
		class, serves, listen = "core", "control_plane", fmt.Sprintf("Control = \"%s:%d\"\n", m.ip, portControl)
		disk := filepath.Join(s.folder, m.name+"-disk")
		if err := os.MkdirAll(disk, 0o755); err != nil {
			return err
		}
		data, memory = fmt.Sprintf("DataDir = %q\n", disk), 280
	}
	m.memoryMb = memory
	text := fmt.Sprintf(`NodeName = %q
Role = %q
MachineClass = %q
Serves = [%q]
Ip = %q
Zone = %q
Region = "region-1"
InternalPorts = [%d,%d]
Seeds = [%s]
Bootstrap = %v
FaultCounted = %v
%sDiscovery = "registration"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","rollout"]
ConfigMode = "highest"
[Zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[Listen]
%s[Limits]
CpuShare = 1.0
Cores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 128
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
BackMs = 250
OuterBoundMs = 5000
RevokeStrict = true
RevokeMs = 5000
RetryBudgetRatio = 0.9
RetryWindowS = 10
RetrySlack = 58
ExposureShare = 0.15
ExposureSlack = 30
RollbackMs = 5000
ColdOvershoot = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
EventDelayMs = 120
ReuseWindowS = 8.1
SessionS = 5
`, m.name, m.role, class, serves, m.ip, zone(i), portInternal, portInternal+15, strings.Join(seeds, ","), bootstrap, m.role == "control", data, listen, memory)
	return os.WriteFile(m.settings, []byte(text), 0o644)
}

// start starts a process with the command of the deploy file.
func (s *stand) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := exec.Command(s.program, m.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "DANDELIONHOIST_NODE_FILE=" + m.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.command, m.exited = c, exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	s.record.line("platform: %s started, process %d", m.name, c.Process.Pid)
	return nil
}

func (s *stand) signal(m *machine, sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(sig)
		s.record.line("platform: %s gets %v", m.name, sig)
	}
}

// kill kills a process and waits for its end.
func (s *stand) kill(m *machine) {
	s.signal(m, syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// startAll starts all machines, with Bootstrap set as at the first start.
func (s *stand) startAll() error {
	for i, m := range append(append([]*machine(nil), s.controls...), s.entries...) {
		if err := s.writeSettings(m, i, true); err != nil {
			return err
		}
		if err := s.start(m); err != nil {
			return err
		}
	}
	// Bootstrap is true at the first start only.
	for i, m := range append(append([]*machine(nil), s.controls...), s.entries...) {
		time.Sleep(time.Millisecond)
		_ = i
		_ = m
	}
	return nil
}

func (s *stand) endAll() {
	for _, m := range append(append([]*machine(nil), s.controls...), s.entries...) {
		m.mu.Lock()
		c, exited := m.command, m.exited
		m.mu.Unlock()
		if c != nil {
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
			<-exited
		}
	}
}

// order sends a call of the operator until it is acknowledged: to one node after the
// other, with a second for each.
func (s *stand) order(method, path string, body []byte, within time.Duration) (string, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(within)
	pause := 50 * time.Millisecond
	for n := rand.IntN(len(s.controls)); time.Now().Before(end); n++ {
		c := s.controls[n%len(s.controls)]
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", c.ip, portControl, path), bytes.NewReader(body))
		if err != nil {
			return "", err
		}
		response, err := client.Do(request)
		if err == nil {
			text, readErr := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if readErr == nil && response.StatusCode == http.StatusOK {
				s.record.line("operator: %s %s acknowledged by %s", method, path, c.name)
				return string(text), nil
			}
			if readErr == nil && response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429 {
				return "", fmt.Errorf("%s %s: status %d %s", method, path, response.StatusCode, text)
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return "", errors.New(path + " is not acknowledged")
}

type object = map[string]any

// configure sends a configuration.
func (s *stand) configure(version int, routes, services []object, tenants []object) error {
	body, err := json.Marshal(object{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": tenants,
	})
	if err != nil {
		return err
	}
	_, err = s.order(http.MethodPost, "/dandelionhoist/Config.Replace", body, 15*time.Second)
	return err
}

// ready reports whether an entry VM answers the readiness check with 200.
func (s *stand) ready(m *machine) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/dandelionhoist/readyz", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *stand) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		n := 0
		for _, m := range s.entries {
			if s.ready(m) {
				n++
			}
		}
		if n == len(s.entries) {
			s.record.line("platform: all %d edge machines are ready", n)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the edge machines are not ready")
}

func orderedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

var scenarios = map[string]func(folder, temporary string) (int, error){}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-stand:", err)
	}
	os.Exit(code)
}

func run() (int, error) {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		return exitCannotRun, fmt.Errorf("use: review-stand SCENARIO FOLDER, of %v", orderedKeys(scenarios))
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitCannotRun, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	} else {
		fmt.Println(temporary)
	}
	return scenarios[os.Args[1]](os.Args[2], temporary)
}
