// Package dhserver serves the APIs of an entry VM over HTTP: connect services
// for callers, operators and backend servers, and a twirp service between entry
// VMs.
//
// Keys are checked before a request is decoded. A caller's key is valid only
// for the callers' service, an operator's key only for the operators' service
// and a peer's key only for the services of entry VMs and backend servers.
//
// # Usage
//
//	keys, err := dhserver.LoadKeys(settings.Keys)
//	server := dhserver.Server{Address: "127.0.0.1:8080", Handler: dhserver.CallerHandler(callers, limit)}
//	err = server.Run(ctx)
package dhserver

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhsetting"
)

// headerTimeout bounds how long a client may take to send its headers.
const headerTimeout = 10 * time.Second

// Server is an HTTP server, with TLS when CertFile is set and h2c otherwise.
type Server struct {
	Address           string
	Handler           http.Handler
	CertFile, KeyFile string
	// Listener is used instead of Address when it is set.
	Listener net.Listener
	// Drained is closed when no request is running and the server may shut down.
	Drained <-chan struct{}
}

// Run serves until Drained is closed, then waits for open requests until ctx ends.
func (s Server) Run(ctx context.Context) error {
	listener := s.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", s.Address); err != nil {
			return dhcode.Wrap(dhcode.SettingsInvalid, err)
		}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout, Protocols: protocols}
	group := dhgroup.New(ctx)
	group.Go(func(context.Context) error { return s.serve(server, listener) })
	group.Go(func(ctx context.Context) error {
		select {
		case <-s.Drained:
			if err := server.Shutdown(ctx); err == nil {
				return nil
			}
		case <-ctx.Done():
		}
		return server.Close()
	})
	return group.Wait()
}

func (s Server) serve(server *http.Server, listener net.Listener) error {
	var err error
	if s.CertFile == "" {
		err = server.Serve(listener)
	} else {
		certificates := &certificateReloader{certFile: s.CertFile, keyFile: s.KeyFile}
		if _, err := certificates.get(nil); err != nil {
			return dhcode.Wrap(dhcode.SettingsInvalid, err)
		}
		server.TLSConfig = &tls.Config{GetCertificate: certificates.get, MinVersion: tls.VersionTLS12}
		err = server.ServeTLS(listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Keys holds the peer keys, the session keys and the hashes of the operators'
// keys that the settings name.
type Keys struct {
	// Peer and Session keys: the first of each is used for own messages and
	// tokens, all are accepted.
	Peer, Session [][]byte
	operators     [][sha256.Size]byte
}

// LoadKeys reads the key files that the settings name.
func LoadKeys(s dhsetting.Keys) (Keys, error) {
	var k Keys
	var err error
	if k.Peer, err = readLines(s.PeerFile); err != nil {
		return Keys{}, err
	}
	if k.Session, err = readLines(s.SessionFile); err != nil {
		return Keys{}, err
	}
	hashes, err := readLines(s.OperatorFile)
	if err != nil {
		return Keys{}, err
	}
	for _, line := range hashes {
		var hash [sha256.Size]byte
		digits := strings.TrimPrefix(string(line), "sha256:")
		if n, err := hex.Decode(hash[:], []byte(digits)); err != nil || n != len(hash) || len(digits) != 2*len(hash) {
			return Keys{}, dhcode.Errorf(dhcode.SettingsInvalid, "%s: expected \"sha256:\" and 64 hexadecimal digits a line", s.OperatorFile)
		}
		k.operators = append(k.operators, hash)
	}
	return k, nil
}

// readLines returns the lines of a file that are neither empty nor comments.
func readLines(path string) ([][]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, dhcode.Wrap(dhcode.SettingsInvalid, err)
	}
	var lines [][]byte
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) > 0 && line[0] != '#' {
			lines = append(lines, bytes.Clone(line))
		}
	}
	if len(lines) == 0 {
		return nil, dhcode.Errorf(dhcode.SettingsInvalid, "%s holds no key", path)
	}
	return lines, nil
}

// IsPeer reports whether key is a key of entry VMs and backend servers.
func (k Keys) IsPeer(key string) bool {
	ok := false
	for _, peer := range k.Peer {
		if subtle.ConstantTimeCompare(peer, []byte(key)) == 1 {
			ok = true
		}
	}
	return ok && key != ""
}

// IsOperator reports whether key is an operator's key.
func (k Keys) IsOperator(key string) bool {
	hash := sha256.Sum256([]byte(key))
	ok := false
	for _, operator := range k.operators {
		if subtle.ConstantTimeCompare(operator[:], hash[:]) == 1 {
			ok = true
		}
	}
	return ok
}
