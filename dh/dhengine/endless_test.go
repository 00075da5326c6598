package dhengine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhpb"
)

// Guards against an entry VM that reads what a faulty backend server of our own deployments
// sends without end, until its memory is used up.
func TestEndlessAnswersAreCut(t *testing.T) {
	const chunk, most = 64 << 10, 8 << 20
	for _, c := range []struct {
		name, contentType string
		status            int
		head              string
		unary             bool
	}{
		{"message of a stream", "application/connect+proto", http.StatusOK, "\x00\xff\xff\xff\xff", false},
		{"end of a stream", "application/connect+proto", http.StatusOK, "\x02\xff\xff\xff\xff", false},
		{"failure of a stream", "application/json", http.StatusInternalServerError, "", false},
		{"other body of a stream", "text/plain", http.StatusOK, "", false},
		{"message", "application/proto", http.StatusOK, "", true},
		{"failure", "application/json", http.StatusInternalServerError, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			ended := make(chan struct{})
			server := httptest.NewUnstartedServer(nil)
			server.Config = dhengine.NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				w.Header().Set("Content-Type", c.contentType)
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.head)) // the caller may have disconnected
				text := []byte(strings.Repeat(" ", chunk))
				for sent.Load() < 10*most {
					if _, err := w.Write(text); err != nil {
						return
					}
					sent.Add(chunk)
				}
			}))
			server.Start()
			defer server.Close()
			client := &dhengine.Client{}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			var err error
			if c.unary {
				_, err = client.Cancel(ctx, server.URL, "r1")
			} else {
				var stream *dhengine.Stream
				if stream, err = client.Generate(ctx, server.URL, &dhpb.GenerateRequest{RequestId: "r1"}); err == nil {
					_, err = stream.Next()
					_ = stream.Close() // the error of Next is checked
				}
			}
			assert.Assert(t, err != nil)
			<-ended
			assert.Assert(t, sent.Load() < most, "%d MB sent", sent.Load()>>20)
		})
	}
}
