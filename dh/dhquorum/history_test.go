package dhquorum_test

import (
	"context"
	"math"
	"strings"
	"sync"

	"github.com/anishathalye/porcupine"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhquorum"
)

// history records operations on registers that hold lists of tokens.
type history struct {
	mu     sync.Mutex
	clock  int64
	events []porcupine.Operation
}

type input struct {
	key string
	// token is appended; an empty one only reads.
	token string
}

// output is the result of an operation; unknown is set when its value was not observed.
type output struct {
	value   string
	unknown bool
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) add(client int, call int64, in input, out output, ret int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret})
}

// update appends a token. An update with an unknown outcome may take effect at
// any later time; one reported as not run never does. When a later update was
// applied in between, the returned value is recorded as a read after the update.
func (h *history) update(ctx context.Context, client int, p *dhquorum.Proposer, key, token string) {
	call := h.tick()
	value, err := p.Update(ctx, key, func(old []byte) ([]byte, error) {
		return append(old, token...), nil
	})
	ret := h.tick()
	in := input{key: key, token: token}
	switch {
	case err != nil && dhcode.RanOf(err) == dhcode.NotRun:
	case err != nil:
		h.add(client, call, in, output{unknown: true}, math.MaxInt64)
	case strings.HasSuffix(string(value), token):
		h.add(client, call, in, output{value: string(value)}, ret)
	default:
		h.add(client, call, in, output{unknown: true}, ret)
		h.add(client, call, input{key: key}, output{value: string(value)}, ret)
	}
}

func (h *history) read(ctx context.Context, client int, p *dhquorum.Proposer, key string) {
	call := h.tick()
	value, err := p.Read(ctx, key)
	if err == nil {
		h.add(client, call, input{key: key}, output{value: string(value)}, h.tick())
	}
}

// check reports whether the history is linearizable.
func (h *history) check() bool {
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			keys := make(map[string][]porcupine.Operation)
			for _, o := range all {
				key := o.Input.(input).key
				keys[key] = append(keys[key], o)
			}
			var parts [][]porcupine.Operation
			for _, part := range keys {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			next := state.(string) + in.(input).token
			o := out.(output)
			return o.unknown || o.value == next, next
		},
	}
	return porcupine.CheckOperations(model, h.events)
}
