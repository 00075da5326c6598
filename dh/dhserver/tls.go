package dhserver

import (
	"crypto/tls"
	"os"
	"sync"
	"time"
)

// certificateReloader reloads the certificate when its file has changed. If the
// files cannot be loaded, the last valid certificate stays in use.
type certificateReloader struct {
	certFile, keyFile string

	mu       sync.Mutex
	modified time.Time
	current  *tls.Certificate
}

func (c *certificateReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certFile)
	if err == nil && info.ModTime().Equal(c.modified) {
		return c.current, nil
	}
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		if c.current != nil {
			return c.current, nil
		}
		return nil, err
	}
	c.current = &cert
	if info != nil {
		c.modified = info.ModTime()
	}
	return c.current, nil
}
