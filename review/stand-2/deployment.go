package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines. The address tells them apart.
const (
	portFrontend = 8227
	portReady    = 8220
	portControl  = 8229
	portInternal = 7340
	portReplica  = 8400
)

// Bounds of the small deployment (SYSTEM.md, Saint-Maurice).
const (
	revokeBound  = 5 * time.Second
	applyBound   = 2 * time.Second
	heartbeat    = 1200 * time.Millisecond
	operatorCall = time.Second
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// deployment holds the processes and stand-ins of a case.
type deployment struct {
	program string
	record  *record
	trouble bool
	folder  string
	network string // the first three numbers of its loopback addresses
	// place tells apart deployments that run at the same time.
	place    int
	controls []*machine
	entries  []*machine
	replicas []*replica
	links    links
}

// machine is a machine of the system with one process.
type machine struct {
	deployment     *deployment
	name, role, ip string
	// privateIP is where a control machine listens for others, behind the links.
	privateIP      string
	zone           string
	settings, disk string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func zone(i int) string { return []string{"mrc-a", "mrc-b", "mrc-c", "mrc-d"}[i%4] }

// build finds free loopback addresses and writes the settings.
func (d *deployment) build(controls, entries int) error {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return err
	}
	d.folder = folder
	for i := range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+(i+10*d.place)%200, 1+os.Getpid()%250)
		listener, err := net.Listen("tcp", address(network+".11", portControl))
		if err != nil {
			continue
		}
		_ = listener.Close()
		d.network = network
		break
	}
	if d.network == "" {
		return fmt.Errorf("no free loopback addresses")
	}
	for i := range controls {
		d.controls = append(d.controls, &machine{deployment: d, role: "control", name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.%d", d.network, 11+i), privateIP: fmt.Sprintf("%s.%d", d.network, 61+i), zone: zone(i)})
	}
	for i := range entries {
		d.entries = append(d.entries, &machine{deployment: d, role: "entry", name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", d.network, 31+i), zone: zone(i)})
	}
	var seeds []string
	for _, m := range d.controls[:min(3, len(d.controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", address(m.ip, portControl)))
	}
	for _, m := range append(append([]*machine{}, d.controls...), d.entries...) {
		m.settings = filepath.Join(folder, m.name+".toml")
		serves, listen, class, memory := `["edge"]`, fmt.Sprintf("Frontend = %q\nReady = %q\n", address(m.ip, portFrontend), address(m.ip, portReady)), "edge", 284
		data := ""
		if m.role == "control" {
			m.disk = filepath.Join(folder, m.name+"-disk")
			if err := os.Mkdir(m.disk, 0o755); err != nil {
				return err
			}
			serves, listen, class, memory = `["control_plane"]`, fmt.Sprintf("Control = %q\n", address(m.ip, portControl)), "core", 280
			data = fmt.Sprintf("DataDir = %q\n", m.disk)
		}
		text := fmt.Sprintf(`NodeName = %q
Role = %q
MachineClass = %q
Serves = %s
Ip = %q
Zone = %q
Region = "mauricie"
InternalPorts = [%d,%d]
Seeds = [%s]
Bootstrap = true
FaultCounted = %v
Discovery = "registration"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","rollout"]
ConfigMode = "highest"
%s[Zones]
mrc-a = "mauricie"
mrc-b = "mauricie"
mrc-c = "mauricie"
mrc-d = "mauricie"
[Listen]
%s[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
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
RetrySlack = 56
ExposureShare = 0.15
ExposureSlack = 30
RollbackMs = 5000
ColdOvershoot = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
EventDelayMs = 120
ReuseWindowS = 10
SessionS = 5
`, m.name, m.role, class, serves, m.ip, m.zone, portInternal, portInternal+15, strings.Join(seeds, ","), m.role == "control", data, listen, memory)
		if err := os.WriteFile(m.settings, []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of the machine, as the deploy file says.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.deployment.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	// The flags only let a proxy stand between the machines, as the project's own soak does.
	arguments := []string{"--source-ip", m.ip, m.role}
	if m.role == "control" {
		arguments = []string{m.role, "--internal-listen", address(m.privateIP, portInternal)}
	}
	command := exec.Command(m.deployment.program, arguments...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONHOIST_NODE_FILE=" + m.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	m.command, m.exited, m.log = command, exited, log
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	m.deployment.record.add("%s starts", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
		m.deployment.record.add("%s gets signal %v", m.name, s)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ready asks the machine as the platform does.
func (m *machine) ready() bool {
	status, _ := call("GET", address(m.ip, portReady), "/dandelionhoist/readyz", nil)
	return status == http.StatusOK
}

// openLinks lets the machines reach the control machines.
func (d *deployment) openLinks() error {
	for _, m := range d.controls {
		if err := d.links.listen(address(m.ip, portInternal), address(m.privateIP, portInternal)); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startAll() error {
	if err := d.openLinks(); err != nil {
		return err
	}
	for _, m := range append(append([]*machine{}, d.controls...), d.entries...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, r := range d.replicas {
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// end kills all processes and removes the folder.
func (d *deployment) end() {
	for _, m := range append(append([]*machine{}, d.controls...), d.entries...) {
		m.kill()
	}
	if d.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println(d.folder)
	}
}

var oneCall = &http.Client{Timeout: operatorCall, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call, with a second for the answer. The status is 0 without one.
func call(method, host, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := oneCall.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// order sends an order of the operator to one machine after the other until it has a clear
// answer, and returns when that came.
func (d *deployment) order(method, path string, body []byte, first int) (acknowledged time.Time, err error) {
	status := 0
	for try := range 40 {
		m := d.controls[(first+try)%len(d.controls)]
		status, _ = call(method, address(m.ip, portControl), path, body)
		d.record.add("operator: %s %s (%d bytes) to %s: %d", method, path, len(body), m.name, status)
		if status >= 200 && status < 300 {
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%s %s has no acknowledgement: %d", method, path, status)
}

// awaitReady waits until all entry machines are ready and serve.
func (d *deployment) awaitReady() error {
	for range 300 {
		ready := 0
		for _, m := range d.entries {
			if m.ready() {
				ready++
			}
		}
		if ready == len(d.entries) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entry machines are not ready")
}

type configuration struct {
	Version  int
	Routes   []map[string]any
	Services []map[string]any
	Limits   map[string]any
	Tenants  []map[string]any
}

func (c configuration) encode() []byte {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}

const host = "ficu95.example"

// newConfiguration returns a configuration with a route of each kind and, as big_config adds
// them, more routes to the same service.
func newConfiguration(version, more int, tenants []map[string]any) configuration {
	c := configuration{Version: version, Tenants: tenants}
	c.Limits = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	c.addService("app")
	c.addRoute("stock-look", "/look/", "idempotent", "app", false)
	c.addRoute("cut-order", "/order/", "non_idempotent", "app", false)
	for i := range more {
		c.addRoute(fmt.Sprintf("r-more-%d", i), fmt.Sprintf("/more%d/", i), "idempotent", "app", false)
	}
	return c
}

func (c *configuration) addService(name string) {
	c.Services = append(c.Services, map[string]any{
		"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false, "ColdStartS": 0.0, "ColdPerS": 0.0,
	})
}

func (c *configuration) addRoute(name, prefix, kind, service string, public bool) {
	attempts := 1
	if kind == "idempotent" {
		attempts = 2
	}
	c.Routes = append(c.Routes, map[string]any{
		"Name": name, "Host": host, "PathPrefix": prefix, "RouteKind": kind, "TimeoutMs": 800, "SloMs": 150, "Priority": 2, "Service": service,
		"MaxAttempts": attempts, "Public": public, "Sticky": false, "Resumable": false, "ItlTargetMs": 0,
	})
}
