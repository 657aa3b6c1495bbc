package gate

import (
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/jx"

	"github.com/magnolialever/magnolialever/units"
)

// fieldModel is the field of a body that names the target.
const fieldModel = "model"

// bodyFields are what the gateway reads of a request body.
type bodyFields struct {
	model  string
	stream bool
	// maxTokens is the largest answer that the caller allows; 0: not given.
	maxTokens int64
	// choices is the number of answers.
	choices int64
	// prefixHashes holds the hashes of the prompt's leading blocks.
	prefixHashes []uint64
}

// parseBody checks that the body is one JSON object and reads the fields. The body
// itself is passed on unchanged.
func parseBody(body []byte) (bodyFields, *Problem) {
	f := bodyFields{choices: 1}
	d := jx.GetDecoder()
	defer jx.PutDecoder(d)
	d.ResetBytes(body)
	invalidField := ""
	err := d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		err := f.readField(d, key)
		if err != nil && invalidField == "" {
			invalidField = string(key)
		}
		return err
	})
	if err != nil {
		p := newProblem(units.InvalidRequest, "the body is not a valid JSON object: "+err.Error())
		p.Param = invalidField
		return f, p
	}
	if !errors.Is(d.Skip(), io.EOF) {
		return f, newProblem(units.InvalidRequest, "the body has data after the JSON object")
	}
	if f.model == "" {
		p := newProblem(units.InvalidRequest, "the field model is missing")
		p.Param = fieldModel
		return f, p
	}
	return f, nil
}

func (f *bodyFields) readField(d *jx.Decoder, key []byte) error {
	var err error
	switch string(key) {
	case fieldModel:
		f.model, err = d.Str()
	case "stream":
		f.stream, err = readOptional(d, d.Bool)
	case "max_tokens", "max_completion_tokens":
		var n int64
		n, err = readOptional(d, d.Int64)
		f.maxTokens = min(max(f.maxTokens, n), maxResponseTokens)
	case "n":
		f.choices, err = readOptional(d, d.Int64)
		f.choices = min(max(f.choices, 1), maxChoices)
	case "messages", "prompt":
		var raw jx.Raw
		raw, err = d.Raw()
		f.prefixHashes = hashPrefix(raw)
	default:
		err = d.Skip()
	}
	return err
}

const (
	prefixBlockBytes = 1 << 10
	maxPrefixBlocks  = 16
)

// hashPrefix returns a hash for each whole block at the start of the prompt; each
// covers the blocks before it. Requests with equal hashes share an entry of an
// engine's prefix cache.
func hashPrefix(prompt []byte) []uint64 {
	n := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	var d xxhash.Digest
	d.Reset()
	for i := range hashes {
		_, _ = d.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes[i] = d.Sum64()
	}
	return hashes
}

// readOptional reads a value that may be null.
func readOptional[T any](d *jx.Decoder, read func() (T, error)) (T, error) {
	if d.Next() == jx.Null {
		var zero T
		return zero, d.Null()
	}
	return read()
}

const (
	// bytesPerToken is a low estimate for prompts in JSON, so that the reservation
	// is high enough.
	bytesPerToken = 3
	// defaultResponseTokens is reserved when the caller sets no limit.
	defaultResponseTokens = 1024
	// Larger values are reserved as these, which no engine exceeds; the product
	// can't overflow.
	maxResponseTokens = 1 << 24
	maxChoices        = 1 << 10
)

// cost returns an upper estimate of the tokens of the request.
func (f *bodyFields) cost(bodyBytes int, generates bool) units.Tokens {
	prompt := int64(bodyBytes/bytesPerToken + 1)
	if !generates {
		return units.Tokens(prompt)
	}
	maxTokens := f.maxTokens
	if maxTokens <= 0 {
		maxTokens = defaultResponseTokens
	}
	return units.Tokens(prompt + maxTokens*f.choices)
}
