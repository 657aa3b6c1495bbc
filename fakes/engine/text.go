package engine

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/units"
)

const (
	// lengthMarker in a prompt, followed by a number, sets the length of the response in
	// tokens, as if the model stopped there. Without it, the response has max_tokens tokens.
	lengthMarker = "len="
	// prefixBlockBytes is the number of prompt bytes in one block of the prefix cache.
	prefixBlockBytes = 64
	embeddingSize    = 8
)

// PromptHash returns the hash of the target and the prompt with which each token of the
// response begins.
func PromptHash(target units.ModelID, prompt string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(string(target)+"\n"+prompt)))
}

// ResponseToken returns the token at the index in the response to the prompt, such as
// "5e1c09ab.t3 ".
func ResponseToken(target units.ModelID, prompt string, index int) string {
	return PromptHash(target, prompt) + ".t" + strconv.Itoa(index) + " "
}

// ResponseText returns the tokens of the response with indexes from first up to, but not
// including, last.
func ResponseText(target units.ModelID, prompt string, first, last int) string {
	hash := PromptHash(target, prompt)
	var b strings.Builder
	for i := first; i < last; i++ {
		b.WriteString(hash)
		b.WriteString(".t")
		b.WriteString(strconv.Itoa(i))
		b.WriteByte(' ')
	}
	return b.String()
}

// ChatPrompt returns the prompt for the messages of a chat.
func ChatPrompt(messages ...Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	return b.String()
}

// CountTokens returns the number of tokens in a prompt: its number of words, but at least 1.
func CountTokens(prompt string) int { return max(len(strings.Fields(prompt)), 1) }

// naturalLength returns the length in tokens that lengthMarker sets, or math.MaxInt.
func naturalLength(prompt string) int {
	_, rest, ok := strings.Cut(prompt, lengthMarker)
	if !ok {
		return math.MaxInt
	}
	end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(rest)
	}
	n, err := strconv.Atoi(rest[:end])
	if err != nil {
		return math.MaxInt
	}
	return n
}

// PrefixBlocks returns the IDs of the complete blocks of a prompt: block i is the xxhash of
// the target, a line feed and the first 64*(i+1) bytes of the prompt, as 16 hexadecimal
// digits.
func PrefixBlocks(target units.ModelID, prompt string) []string {
	d := xxhash.New()
	_, _ = d.WriteString(string(target) + "\n") // never fails
	ids := make([]string, 0, len(prompt)/prefixBlockBytes)
	for len(prompt) >= prefixBlockBytes {
		_, _ = d.WriteString(prompt[:prefixBlockBytes])
		prompt = prompt[prefixBlockBytes:]
		ids = append(ids, fmt.Sprintf("%016x", d.Sum64()))
	}
	return ids
}

// Embedding returns the embedding of the text: a function of target and text with values from
// 0 to 1.
func Embedding(target units.ModelID, text string) []float64 {
	v := make([]float64, embeddingSize)
	for i := range v {
		h := xxhash.Sum64String(fmt.Sprintf("%s\n%d\n%s", target, i, text))
		v[i] = float64(h>>32) / float64(1<<32)
	}
	return v
}
