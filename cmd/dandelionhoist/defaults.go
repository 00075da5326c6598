package main

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhjson"
)

const defaultTimeout = 30 * time.Second

type defaults struct {
	Servers []string        `json:"servers"`
	KeyFile string          `json:"key-file"`
	CAFile  string          `json:"ca-file"`
	Timeout dhjson.Duration `json:"timeout"`
	Output  string          `json:"output"`
}

// loadDefaults sets flags that were not given from the defaults file. The file
// in the user's configuration folder is optional; one named by --config must exist.
func (p *program) loadDefaults() error {
	d, err := p.readDefaults()
	if err != nil {
		return exitUsage(err)
	}
	f := &p.flags
	if len(f.servers) == 0 {
		f.servers = d.Servers
	}
	// The environment variable of a repeatable flag holds one server per line.
	f.servers = strings.Fields(strings.Join(f.servers, " "))
	f.keyFile = firstNonEmpty(f.keyFile, d.KeyFile)
	f.caFile = firstNonEmpty(f.caFile, d.CAFile)
	f.output = firstNonEmpty(f.output, d.Output, "text")
	if f.output != "text" && f.output != "json" {
		return usageError("output %q is not known; expected text or json", f.output)
	}
	if f.timeout == 0 {
		f.timeout = time.Duration(d.Timeout)
	}
	if f.timeout == 0 {
		f.timeout = defaultTimeout
	}
	if f.timeout < 0 {
		return usageError("timeout %s is negative", f.timeout)
	}
	return nil
}

func (p *program) readDefaults() (defaults, error) {
	var d defaults
	name := p.flags.config
	if name == "" {
		folder := p.Getenv("XDG_CONFIG_HOME")
		if folder == "" && p.Getenv("HOME") != "" {
			folder = filepath.Join(p.Getenv("HOME"), ".config")
		}
		if folder == "" {
			return d, nil
		}
		name = filepath.Join(folder, "dandelionhoist", "defaults.json")
	}
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) && p.flags.config == "" {
		return d, nil
	}
	if err != nil {
		return d, err
	}
	doc, err := dhjson.Parse(name, data)
	if err != nil {
		return d, err
	}
	return d, doc.Decode(&d)
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
