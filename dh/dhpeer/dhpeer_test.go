package dhpeer_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpeer"
	"dandelionhoist.example/dh/dhserver"
	"dandelionhoist.example/dh/dhwire"
)

// voter accepts values under ballot 1 only.
type voter struct{ dhserver.Voter }

func (voter) Accept(_ context.Context, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	return &dhpb.AcceptResponse{Ok: m.GetBallot().GetNumber() == 1, VoterId: m.GetKey()}, nil
}

// serveCopies answers calls, and writes the first answer on the connection again before the
// others, and after all, as often as it is told; with the id of its call if withID is set.
func serveCopies(conn net.Conn, h http.Handler, before, after int, withID bool) {
	in, first := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return // the client has closed the connection
		}
		w, own := httptest.NewRecorder(), new(strings.Builder)
		h.ServeHTTP(w, r)
		_ = w.Result().Write(own)
		text := strings.Repeat(first, before) + own.String()
		if first == "" {
			if first = own.String(); !withID {
				first = strings.ReplaceAll(first, dhwire.HeaderCall, "Other")
			}
		}
		_, _ = conn.Write([]byte(text + strings.Repeat(first, after))) // the next read tells of an end
	}
}

// Guards against a copy of an earlier answer that counts for another call, such as a vote that
// was not given, and against calls to VMs that repeat no id failing.
func TestAnswersBelongToTheirCalls(t *testing.T) {
	earlier := http.Handler(dhpb.NewPeerServiceServer(&dhserver.Peers{Voter: voter{}}))
	for name, c := range map[string]struct {
		handler       http.Handler
		before, after int
		withID        bool
		maxFailed     int
	}{
		"an earlier build":         {earlier, 0, 0, false, 0},
		"no copies":                {dhwire.RepeatCalls(earlier), 0, 0, true, 0},
		"before the next":          {dhwire.RepeatCalls(earlier), 1, 0, true, 5},
		"before it, without an id": {dhwire.RepeatCalls(earlier), 1, 0, false, 5},
		"several, while idle":      {dhwire.RepeatCalls(earlier), 0, 3, true, 5},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			group := dhgroup.New(t.Context())
			group.Go(func(context.Context) error {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return nil // the test has ended
					}
					group.Go(func(context.Context) error { serveCopies(conn, c.handler, c.before, c.after, c.withID); return nil })
				}
			})
			client, failed := &dhpeer.Client{OneCallPerConnection: true}, 0
			for n := range 10 {
				key := fmt.Sprint("r", n)
				reply, err := client.Accept(t.Context(), listener.Addr().String(), &dhpb.AcceptRequest{Key: key, Ballot: &dhpb.Ballot{Number: uint64(1 + n%2)}})
				if err != nil {
					failed++
					continue
				}
				assert.Equal(t, reply.GetVoterId(), key)
				assert.Equal(t, reply.GetOk(), n%2 == 0)
			}
			assert.Assert(t, failed <= c.maxFailed, failed)
		})
	}
}
