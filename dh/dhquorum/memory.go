package dhquorum

import (
	"bytes"
	"context"
	"sync"
)

// Memory is an in-process register store without durability. It is the default
// of components that need a register, and is used in tests. The zero value is
// ready to use.
type Memory struct {
	mu     sync.Mutex
	values map[string][]byte
}

// Update applies f to the value of key and stores the result.
func (m *Memory) Update(_ context.Context, key string, f func(old []byte) ([]byte, error)) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, err := f(bytes.Clone(m.values[key]))
	if err != nil {
		return nil, err
	}
	if m.values == nil {
		m.values = make(map[string][]byte)
	}
	m.values[key] = bytes.Clone(value)
	return value, nil
}

// Read returns the value of key, or nil when it has none.
func (m *Memory) Read(_ context.Context, key string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Clone(m.values[key]), nil
}
