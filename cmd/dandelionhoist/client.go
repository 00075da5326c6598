package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

// callTimeout bounds one call, so that an unresponsive server does not use up
// the time of the whole command.
const callTimeout = 5 * time.Second

// server is the operator service of one entry VM.
type server struct {
	url     string
	service dhpbconnect.OperatorServiceClient
}

// client calls the servers in order until one answers.
type client struct {
	servers []server
	timers  dhtimer.Service
	// preferred is the index of the server to call first: the one that answered last.
	preferred int
}

// maxAnswerBytes bounds an answer of a VM: a document, or a page of bills or edits.
const maxAnswerBytes = 16 << 20

func (p *program) connect() (*client, error) {
	if p.client != nil {
		return p.client, nil
	}
	if len(p.flags.servers) == 0 {
		return nil, usageError("no server is given; use --server, DANDELIONHOIST_SERVER or the defaults file")
	}
	key, err := readKey(p.flags.keyFile)
	if err != nil {
		return nil, err
	}
	transport, err := dhwire.NewTransport(p.flags.caFile)
	if err != nil {
		return nil, exitUsage(err)
	}
	bounds := &dhwire.Bounds{MaxBytes: maxAnswerBytes, MaxTotalBytes: 2 * maxAnswerBytes}
	c := &client{timers: p.Timers}
	for _, text := range p.flags.servers {
		if err := dhwire.CheckURL(text); err != nil {
			return nil, exitUsage(err)
		}
		service := dhpbconnect.NewOperatorServiceClient(bounds.ConnectClient(transport),
			strings.TrimSuffix(text, "/"), dhwire.WithKey(key))
		c.servers = append(c.servers, server{url: text, service: service})
	}
	p.client = c
	return c, nil
}

func readKey(name string) (string, error) {
	if name == "" {
		return "", usageError("no key file is given; use --key-file, DANDELIONHOIST_KEY_FILE or the defaults file")
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return "", exitUsage(err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" || strings.ContainsAny(key, " \t\r\n") {
		return "", usageError("key file %s does not hold one word", name)
	}
	return key, nil
}

// callServer calls one server and limits the call to callTimeout.
func (c *client) callServer(ctx context.Context, s server, call func(context.Context, server) error) error {
	ctx, cancel := dhtimer.WithTimeout(ctx, c.timers, callTimeout)
	defer cancel()
	err := call(ctx, s)
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return dhcode.Errorf(dhcode.DeadlineExceeded, "%s: no answer in time", s.url)
	}
	return wrapServerError(s, dhwire.FromConnect(err))
}

// wrapServerError adds the server's URL to err, whose result code is kept.
func wrapServerError(s server, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", s.url, err)
}

// tryServers calls the servers, beginning with the preferred one, until one
// answers. It is for calls that change nothing: after any failure of one server
// the next can be tried, and a lost answer counts as not run.
func (c *client) tryServers(ctx context.Context, call func(context.Context, server) error) error {
	var firstErr error
	for i := range c.servers {
		index := (c.preferred + i) % len(c.servers)
		err := c.callServer(ctx, c.servers[index], call)
		if err == nil || isDefinitive(err) {
			c.preferred = index
			return err
		}
		if firstErr == nil {
			firstErr = dhcode.WithRan(err, dhcode.NotRun)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return firstErr
}

// isDefinitive reports whether every other server would return the same error.
func isDefinitive(err error) bool {
	switch dhcode.ClassOf(err) {
	case dhcode.ClassInvalid, dhcode.ClassNotAllowed, dhcode.ClassConflict:
		return true
	}
	return dhcode.Of(err) == dhcode.EditUnknown
}
