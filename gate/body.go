package gate

import (
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/jx"

	"github.com/magnolialever/magnolialever/units"
)

// fieldModel is the field of a request body that names the model or adapter.
const fieldModel = "model"

// bodyFields are the fields of a request body that the gateway uses.
type bodyFields struct {
	model  string
	stream bool
	// maxTokens is the caller's limit on generated tokens; 0 when not given.
	maxTokens int64
	// choices is the number of completions (field n).
	choices int64
	// prefixHashes are the hashes of the prompt's leading blocks; see hashPrefix.
	prefixHashes []uint64
	// partHashes are the hashes of the parts of the prompt that other requests may share.
	partHashes []uint64
}

// parseBody checks that the body is exactly one JSON object and reads the fields that the gateway
// needs. The body is forwarded unchanged.
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

// readField reads the value of the field key from d, or skips it.
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
	case "messages":
		var raw jx.Raw
		if raw, err = d.Raw(); err == nil {
			f.prefixHashes = hashPrefix(raw)
			f.partHashes, err = messageHashes(raw)
		}
	case "prompt":
		var raw jx.Raw
		raw, err = d.Raw()
		f.prefixHashes = hashPrefix(raw)
		f.partHashes = leadingHashes(f.prefixHashes)
	default:
		err = d.Skip()
	}
	return err
}

const (
	prefixBlockBytes = 1 << 10
	maxPrefixBlocks  = 16
)

// hashPrefix returns a cumulative hash for each complete block at the start of the raw JSON prompt:
// each hash covers all blocks up to its own. Requests with equal hashes can share an entry of an
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

// readOptional reads a value that may be null; null gives the zero value.
func readOptional[T any](d *jx.Decoder, read func() (T, error)) (T, error) {
	if d.Next() == jx.Null {
		var zero T
		return zero, d.Null()
	}
	return read()
}

const (
	// bytesPerToken is a low estimate for JSON prompts, so that reservations are rather too high.
	bytesPerToken = 3
	// defaultResponseTokens is reserved when the caller sets no limit on generated tokens.
	defaultResponseTokens = 1024
	// maxResponseTokens and maxChoices cap the values of the caller. No engine exceeds them, and
	// their product can't overflow.
	maxResponseTokens = 1 << 24
	maxChoices        = 1 << 10
)

// cost returns an upper estimate of the tokens of the request. bodyBytes is the length of the body;
// generates is false for embeddings, which generate no tokens.
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
