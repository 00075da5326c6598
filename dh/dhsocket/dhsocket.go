// Package dhsocket tells how the peer of a TCP connection has ended it, and bounds the bytes
// that wait to be read.
//
// A Read that returns io.EOF does not tell a peer that has sent everything from one that has
// reset the connection: if a Write gets the error of the reset first, or the reset follows
// the end of the peer's side, Read returns io.EOF too. The state of the socket tells them
// apart.
//
// # Usage
//
//	n, err := conn.Read(p)
//	if errors.Is(err, io.EOF) {
//		err = cmp.Or(dhsocket.EndError(conn), err)
//	}
//
// Bytes that have arrived and are not read use memory of the kernel, by default up to the
// largest value of net.ipv4.tcp_rmem for each connection:
//
//	listener, err := dhsocket.Listen(ctx, address, 16<<10) // for all connections
//	err = dhsocket.SetMaxUnread(conn, 128<<10)             // for one
package dhsocket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

var (
	// ErrReset means that the peer has reset the connection.
	ErrReset = errors.New("the peer has reset the connection")
	// ErrUnread means that the peer has ended its side before it received all that was
	// written to the connection.
	ErrUnread = errors.New("the peer ended before it received all bytes")
)

// tcpCloseWait is the state of a socket whose peer has ended its side, while this side is
// still open: TCP_CLOSE_WAIT of Linux.
const tcpCloseWait = 8

// EndError returns why the end of what a peer sends, which a Read has reported as io.EOF,
// does not mean that the peer has received all and sent all; nil if it does. It must be
// called before the connection is closed. For connections other than TCP it returns nil.
func EndError(conn net.Conn) error {
	var state uint8
	var unread int
	ok, err := control(conn, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return err
		}
		state = info.State
		unread, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err
	})
	switch {
	case !ok:
		return nil
	case err != nil:
		return fmt.Errorf("state of the connection: %w", err)
	case state != tcpCloseWait:
		return ErrReset
	case unread > 0:
		return ErrUnread
	}
	return nil
}

// Unread returns the number of bytes that have arrived on a TCP connection and have not been
// read; 0 if it is not known.
func Unread(conn net.Conn) int {
	n := 0
	if ok, err := control(conn, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	}); !ok || err != nil {
		return 0
	}
	return n
}

// Listen listens on a TCP address. About maxUnread bytes of each connection wait to be read,
// before it is accepted as well.
func Listen(ctx context.Context, address string, maxUnread int) (net.Listener, error) {
	config := net.ListenConfig{Control: LimitUnread(maxUnread)}
	return config.Listen(ctx, "tcp", address)
}

// LimitUnread returns a function for the field Control of a net.Dialer or net.ListenConfig that
// lets about maxUnread bytes of each connection wait to be read.
func LimitUnread(maxUnread int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return withDescriptor(c, func(fd int) error { return setReceiveBuffer(fd, maxUnread) })
	}
}

// SetMaxUnread lets about maxUnread bytes of a TCP connection wait to be read from now on. It
// does nothing for other connections.
func SetMaxUnread(conn net.Conn, maxUnread int) error {
	_, err := control(conn, func(fd int) error { return setReceiveBuffer(fd, maxUnread) })
	return err
}

// setReceiveBuffer sets half of the bytes, as Linux doubles the size for its own use and lets
// large segments fill all of it.
func setReceiveBuffer(fd, maxUnread int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, maxUnread/2)
}

// control calls f with the descriptor of a TCP connection, also of one that conn returns as
// NetConn. ok is false for others.
func control(conn net.Conn, f func(fd int) error) (ok bool, err error) {
	for {
		wrapper, wraps := conn.(interface{ NetConn() net.Conn })
		if !wraps {
			break
		}
		conn = wrapper.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, withDescriptor(raw, f)
}

func withDescriptor(c syscall.RawConn, f func(fd int) error) (err error) {
	if controlErr := c.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}
