package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
)

type entryVM struct{ records chan *dhpb.BackendRecord }

func (e *entryVM) Announce(ctx context.Context, req *dhpb.AnnounceRequest) (*dhpb.AnnounceResponse, error) {
	select {
	case e.records <- req.GetBackend():
	case <-ctx.Done():
	}
	return &dhpb.AnnounceResponse{}, nil
}

func postFaults(t *testing.T, address, body string) int {
	t.Helper()
	response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against a planned stop that breaks off a running answer, is not
// announced or does not finish, and against accepting fault requests with an
// unknown field.
func TestStopCompletesRunningWork(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	entry := &entryVM{records: make(chan *dhpb.BackendRecord)}
	_, handler := dhpbconnect.NewAnnounceServiceHandler(entry)
	server := dhengine.NewHTTPServer(handler)
	keyFile := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(keyFile, []byte("secret\n"), 0o600))

	ctx := context.Background()
	signals := make(chan os.Signal, 1)
	entries := dhgroup.New(ctx)
	entries.Go(func(context.Context) error {
		_ = server.Serve(listener)
		return nil
	})
	program := dhgroup.New(ctx)
	program.Go(func(ctx context.Context) error {
		return run(ctx, []string{
			"--id", "e1", "--zone", "z", "--pool", "p", "--version", "oak/v1", "--peer-key-file", keyFile,
			"--entry", "http://" + listener.Addr().String(), "--leave-grace", "1ms", "--step", "1ms",
		}, signals, io.Discard)
	})
	address := (<-entry.records).GetAddress()
	assert.Equal(t, postFaults(t, address, `{"crsh": true}`), http.StatusBadRequest)
	assert.Equal(t, postFaults(t, address, `{"versions": {"oak/v1": {"slowness": 1.5}}, "stall": "1ms"}`), http.StatusNoContent)

	var client dhengine.Client
	stream, err := client.Generate(ctx, address, &dhpb.GenerateRequest{RequestId: "r", Model: "oak", Version: "v1", Prompt: "p", MaxTokens: 400})
	assert.NilError(t, err)
	var text strings.Builder
	chunk, err := stream.Next()
	assert.NilError(t, err)
	signals <- syscall.SIGTERM
	for ; err == nil; chunk, err = stream.Next() {
		text.WriteString(chunk.GetText())
	}
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, text.String(), dhengine.Answer("p", "oak", "v1", 400))
	for (<-entry.records).GetState() != "leaving" {
		continue
	}
	assert.NilError(t, program.Wait())
	assert.NilError(t, server.Close())
	assert.NilError(t, entries.Wait())
}

// Guards against accepting missing required flags or invalid values, and
// against lost default values.
func TestFlagErrors(t *testing.T) {
	base := []string{"--id", "e1", "--zone", "z", "--pool", "p", "--version", "oak/v1"}
	o, err := parseOptions(base)
	assert.NilError(t, err)
	assert.Equal(t, o.listen, "127.0.0.1:0") // kingpin applies no defaults if --version is given
	_, err = parseOptions(base[2:])
	assert.ErrorContains(t, err, "required")
	for _, bad := range [][]string{{"--version", "oak"}, {"--kind", "queue"}, {"--fault", "oak/v1:eror-rate=1"}, {"--peer-key-file", "/nonexistent"}} {
		_, err := parseOptions(append(base, bad...))
		assert.Assert(t, err != nil, "%v", bad)
	}
}

// Guards against accepting fault requests from other machines.
func TestFaultsAreLimitedToLoopback(t *testing.T) {
	e := &engine{options: defaultOptions()}
	for remote, want := range map[string]int{"192.0.2.1:1234": http.StatusForbidden, "127.0.0.1:1234": http.StatusBadRequest} {
		r := httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader("{"))
		r.RemoteAddr = remote
		w := httptest.NewRecorder()
		e.handler().ServeHTTP(w, r)
		assert.Equal(t, w.Code, want)
	}
}
