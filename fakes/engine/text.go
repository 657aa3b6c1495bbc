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
	// lengthMark in a prompt, followed by a number, sets where the answer ends by
	// itself; without it an answer is as long as max_tokens allows.
	lengthMark = "len="
	// prefixBlockBytes is the part of a prompt that one block of the prefix cache
	// stands for.
	prefixBlockBytes = 64
	embeddingSize    = 8
)

// PromptHash returns the hash that each token of the answer to the prompt carries.
func PromptHash(target units.ModelID, prompt string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(string(target)+"\n"+prompt)))
}

// ResponseToken returns the token with the index of the answer to the prompt, such as
// "5e1c09ab.t3 ".
func ResponseToken(target units.ModelID, prompt string, index int) string {
	return PromptHash(target, prompt) + ".t" + strconv.Itoa(index) + " "
}

// ResponseText returns the tokens from the first index up to, but not including, the last.
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

// ChatPrompt returns the prompt that the messages of a chat amount to.
func ChatPrompt(messages ...Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	return b.String()
}

// CountTokens returns the number of tokens of a prompt: its words.
func CountTokens(prompt string) int { return max(len(strings.Fields(prompt)), 1) }

// naturalLength returns where the answer ends by itself.
func naturalLength(prompt string) int {
	_, rest, ok := strings.Cut(prompt, lengthMark)
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

// PrefixBlocks returns the ids of the whole blocks of a prompt: block i is the
// xxhash of the target, a line feed and the first 64*(i+1) bytes of the prompt, as
// 16 hexadecimal digits.
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

// Embedding returns the vector of the text.
func Embedding(target units.ModelID, text string) []float64 {
	v := make([]float64, embeddingSize)
	for i := range v {
		h := xxhash.Sum64String(fmt.Sprintf("%s\n%d\n%s", target, i, text))
		v[i] = float64(h>>32) / float64(1<<32)
	}
	return v
}
