package dhdetour

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
)

// Through returns a function that connects to an address through a relay, to which it
// connects with direct.
func Through(direct func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, relay RelayVM, address string) (net.Conn, error) {
	return func(ctx context.Context, relay RelayVM, address string) (net.Conn, error) {
		conn, err := direct(ctx, relay.Address)
		if err != nil {
			return nil, err
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the handshake
		tunnel, err := handshake(conn, relay, address)
		if !stop() && err == nil {
			err = ctx.Err()
		}
		if err != nil {
			_ = conn.Close() // nothing was sent to the backend server
			return nil, err
		}
		return tunnel, nil
	}
}

// maxHandshakeBytes bounds the answer of a relay to the handshake.
const maxHandshakeBytes = 4 << 10

func handshake(conn net.Conn, relay RelayVM, address string) (net.Conn, error) {
	request := &http.Request{
		Method: http.MethodConnect, URL: &url.URL{Host: address}, Host: address, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{tokenHeader: {hex.EncodeToString(relay.Token)}, "User-Agent": nil},
	}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn, N: maxHandshakeBytes}
	from := bufio.NewReader(limited)
	response, err := http.ReadResponse(from, request)
	if err != nil {
		return nil, err
	}
	switch response.StatusCode {
	case http.StatusOK:
		limited.N = math.MaxInt64 // frames follow
		return &detourConn{Conn: conn, from: from}, nil
	case http.StatusBadGateway:
		return nil, ErrUnreachable
	}
	return nil, fmt.Errorf("relay %s refuses with status %d", relay.VM, response.StatusCode)
}
