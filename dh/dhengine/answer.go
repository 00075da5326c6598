package dhengine

import (
	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhtable"
)

// Sizes in bytes of an answer token, a prompt token and a prefix cache block.
const (
	TokenBytes       = 6
	PromptTokenBytes = 4
	BlockBytes       = 256
)

// DefaultMaxTokens is the token limit of requests that set none.
const DefaultMaxTokens = 256

// Answer returns the text that every backend server generates for the prompt
// with this version.
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

// PrefixHashes appends to hashes one hash for each prefix of the prompt whose
// length is a multiple of BlockBytes. The hashes include the version, because
// cached blocks are not shared between versions.
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

// answerTokens returns a pseudo-random length between a quarter of maxTokens
// and maxTokens.
func answerTokens(seed uint64, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	shortest := max(maxTokens/4, 1)
	return shortest + int(mix(seed)%uint64(maxTokens-shortest+1))
}

// appendToken appends token i of an answer: five letters and a space.
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
