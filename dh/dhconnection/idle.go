package dhconnection

import (
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// keepAliveMargin is subtracted from the time for which a backend server says that it
	// keeps an idle connection, so that no request is sent while it closes the connection.
	keepAliveMargin = 250 * time.Millisecond
	// sweepsPerTimeout is the number of sweeps within the idle timeout.
	sweepsPerTimeout = 2
)

// takeIdle returns the newest usable idle connection to an address, or nil. One that has
// carried the request, or has received bytes that are no whole answer, is not usable. If there
// are only such ones, the oldest is closed: backend servers bound their connections, and a new
// one will take its place.
func (p *Pool) takeIdle(address, id string) *connection {
	now := p.Timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list, oldest := p.idle[address], -1
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		carried, _ := c.hasCarried(id)
		switch {
		case !now.Before(c.expires) || c.failure() != nil:
		case carried || c.foreign:
			oldest = i
		default:
			p.setIdle(address, slices.Delete(list, i, i+1))
			return c
		}
	}
	if oldest >= 0 {
		c := list[oldest]
		p.setIdle(address, slices.Delete(list, oldest, oldest+1))
		p.shutSoon(c)
		reason, text := "carried-request-before", "request avoids a connection that has carried it"
		if c.foreign {
			reason, text = "unread-bytes", "request avoids a connection with unread bytes"
		}
		p.Metrics.Count("connection", reason)
		p.Log.Info(text, slog.String("request", id), slog.String("address", address), slog.String("connection", c.use()))
	}
	return nil
}

// setIdle replaces the idle connections to an address.
func (p *Pool) setIdle(address string, list []*connection) {
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

// setForeign takes an idle connection out of use while bytes are read that no request awaits,
// and back: if they are not a whole answer, the next one cannot be read.
func (p *Pool) setForeign(c *connection, foreign bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.foreign = foreign
}

// boundIdleTime bounds the time for which a connection stays idle.
func (p *Pool) boundIdleTime(c *connection, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.timeout = min(c.timeout, timeout)
}

// offer makes a connection idle. foreign is set if bytes have come after the answer.
func (p *Pool) offer(c *connection, foreign bool) {
	now := p.Timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if c.timeout <= 0 || len(list) >= p.MaxIdle {
		p.shutSoon(c)
		return
	}
	c.expires, c.foreign = now.Add(c.timeout), foreign
	if p.idle == nil {
		p.idle = make(map[string][]*connection)
	}
	p.idle[c.address] = append(list, c)
	p.scheduleSweep(p.IdleTimeout)
}

// shutSoon closes a connection outside the mutex.
func (p *Pool) shutSoon(c *connection) {
	p.Timers.After(0, func(time.Time) { c.wire.shut() })
}

func (p *Pool) scheduleSweep(after time.Duration) {
	if !p.sweeping {
		p.sweeping = true
		p.Timers.After(after, func(time.Time) { p.sweep() })
	}
}

// sweep closes expired connections.
func (p *Pool) sweep() {
	now := p.Timers.Now()
	var closing []*connection
	p.mu.Lock()
	p.sweeping = false
	for address, list := range p.idle {
		kept := list[:0:0]
		for _, c := range list {
			if now.Before(c.expires) && c.failure() == nil {
				kept = append(kept, c)
				continue
			}
			closing = append(closing, c)
		}
		p.setIdle(address, kept)
	}
	if len(p.idle) > 0 {
		p.scheduleSweep(p.IdleTimeout / sweepsPerTimeout)
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.wire.shut()
	}
}

// keepAlive returns the time for which a backend server keeps an idle connection, if its
// response states one in whole seconds.
func keepAlive(header http.Header) (timeout time.Duration, stated bool) {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31); err == nil {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}
