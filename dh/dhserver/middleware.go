package dhserver

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhwire"
)

type accountKey struct{}

// AccountOf returns the client account that sent a request.
func AccountOf(ctx context.Context) dhtable.Account {
	account, _ := ctx.Value(accountKey{}).(dhtable.Account)
	return account
}

// guard checks the key and the size of a request before it is decoded.
type guard struct {
	next     http.Handler
	maxBytes int
	// authenticate returns the context for the handler, or an error with a result code.
	authenticate func(r *http.Request) (context.Context, error)
	errors       *connect.ErrorWriter
}

func newGuard(next http.Handler, maxBytes int, authenticate func(r *http.Request) (context.Context, error)) http.Handler {
	return &guard{next: next, maxBytes: maxBytes, authenticate: authenticate, errors: connect.NewErrorWriter()}
}

// ServeHTTP implements http.Handler.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, err := g.authenticate(r)
	if err == nil && r.ContentLength > int64(g.maxBytes) {
		err = dhcode.Errorf(dhcode.RequestTooLarge, "the request has %d bytes, at most %d are accepted", r.ContentLength, g.maxBytes)
	}
	if err != nil {
		g.reject(w, r, err)
		return
	}
	g.next.ServeHTTP(&resultCodeWriter{ResponseWriter: w}, r.WithContext(ctx))
}

func (g *guard) reject(w http.ResponseWriter, r *http.Request, err error) {
	if g.errors.IsSupported(r) {
		_ = g.errors.Write(w, r, dhwire.ToConnect(err)) // the client is gone when this fails
		return
	}
	w.Header().Set(dhwire.HeaderCode, dhcode.Of(err).String())
	w.Header().Set(dhwire.HeaderRan, dhcode.RanOf(err).String())
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// resultCodeWriter adds a result code to errors that the connect library makes
// itself, such as that of a body that cannot be decoded.
type resultCodeWriter struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w *resultCodeWriter) WriteHeader(status int) {
	header := w.Header()
	if status >= http.StatusBadRequest && header.Get(dhwire.HeaderCode) == "" {
		code := dhcode.RequestMalformed
		if status == http.StatusTooManyRequests {
			code = dhcode.RequestTooLarge // connect reports a body over the size limit as resource-exhausted
		}
		header.Set(dhwire.HeaderCode, code.String())
		header.Set(dhwire.HeaderRan, code.Ran().String())
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (w *resultCodeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher, which streams need.
func (w *resultCodeWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

func peerAuthenticator(keys Keys) func(r *http.Request) (context.Context, error) {
	return func(r *http.Request) (context.Context, error) {
		if !keys.IsPeer(dhwire.KeyOf(r.Header)) {
			return nil, dhcode.Errorf(dhcode.NotAuthenticated, "the key is not a peer key")
		}
		return r.Context(), nil
	}
}

func operatorAuthenticator(keys Keys) func(r *http.Request) (context.Context, error) {
	return func(r *http.Request) (context.Context, error) {
		if !keys.IsOperator(dhwire.KeyOf(r.Header)) {
			return nil, dhcode.Errorf(dhcode.NotAuthenticated, "the key is not an operator key")
		}
		return r.Context(), nil
	}
}
