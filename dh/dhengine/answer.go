package dhengine

import (
	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhtable"
)

// TokenBytes is the size of a token of an answer; PromptTokenBytes is that of
// a prompt and BlockBytes that of a block of the prefix cache.
const (
	TokenBytes       = 6
	PromptTokenBytes = 4
	BlockBytes       = 256
)

// DefaultMaxTokens applies to requests without a maximum.
const DefaultMaxTokens = 256

// Answer returns the text that every backend server with the version gives to
// a prompt.
func Answer(prompt, model, version string, maxTokens int) string {
	seed := answerSeed(prompt, model, version)
	n := answerTokens(seed, maxTokens)
	text := make([]byte, 0, n*TokenBytes)
	for i := range n {
		text = appendToken(text, seed, i)
	}
	return string(text)
}

// AnswerTokens returns the number of tokens of Answer.
func AnswerTokens(prompt, model, version string, maxTokens int) int {
	return answerTokens(answerSeed(prompt, model, version), maxTokens)
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int { return len(prompt)/PromptTokenBytes + 1 }

// PrefixHashes appends the hashes of the prompt's prefixes in steps of
// BlockBytes to hashes. They differ between versions, as cached blocks do.
func PrefixHashes(hashes []uint64, v dhtable.Version, prompt string) []uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(v.Model)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(v.Name)
	_, _ = digest.WriteString("\n")
	for len(prompt) >= BlockBytes {
		_, _ = digest.WriteString(prompt[:BlockBytes])
		prompt = prompt[BlockBytes:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

func answerSeed(prompt, model, version string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, s := range []string{model, "/", version, "\n", prompt} {
		_, _ = digest.WriteString(s)
	}
	return digest.Sum64()
}

// answerTokens draws the length from the upper three quarters of the maximum.
func answerTokens(seed uint64, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	shortest := max(maxTokens/4, 1)
	return shortest + int(mix(seed)%uint64(maxTokens-shortest+1))
}

// appendToken appends five letters and a space.
func appendToken(text []byte, seed uint64, i int) []byte {
	x := mix(seed + uint64(i+1)*0x9e3779b97f4a7c15)
	for range TokenBytes - 1 {
		text = append(text, 'a'+byte(x%26))
		x /= 26
	}
	return append(text, ' ')
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
