package main

import (
	"net"
	"sync"
	"time"
)

// links stand between the entry machines and the control machines. While a machine is cut
// off, nothing passes between it and any control machine: what it sends on open connections is
// held up, and new connections stay without an answer.
type links struct {
	mu  sync.Mutex
	cut map[string]chan struct{} // by IP of the entry machine; closed when the cut ends
}

func (l *links) cutOff(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		l.cut = make(map[string]chan struct{})
	}
	l.cut[ip] = make(chan struct{})
}

func (l *links) heal(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if healed := l.cut[ip]; healed != nil {
		close(healed)
		delete(l.cut, ip)
	}
}

// healed returns a channel that is closed when the machine is no longer cut off; nil if it is
// not.
func (l *links) healed(ip string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[ip]
}

// listen passes connections to public on to private.
func (l *links) listen(public, private string) error {
	listener, err := net.Listen("tcp", public)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(conn, private)
		}
	}()
	return nil
}

func (l *links) pass(from net.Conn, private string) {
	defer func() { _ = from.Close() }()
	ip, _, _ := net.SplitHostPort(from.RemoteAddr().String())
	if healed := l.healed(ip); healed != nil {
		// The opening packet is lost. The caller gives up, or sends it again later.
		<-healed
		return
	}
	to, err := net.DialTimeout("tcp", private, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	copyBytes := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if healed := l.healed(ip); healed != nil {
				<-healed
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyBytes(to, from)
	go copyBytes(from, to)
	<-done
}
