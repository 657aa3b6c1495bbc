package engine

import (
	"encoding/json"
	"errors"

	"github.com/magnolialever/magnolialever/units"
)

// textContent is a text that JSON gives as a string, a list with one string, or a list of text
// parts.
type textContent string

type textPart struct {
	Text string `json:"text"`
}

var errContent = errors.New("text is not a string, a list with one string, or a list of text parts")

// UnmarshalJSON accepts the forms that the OpenAI API allows.
func (t *textContent) UnmarshalJSON(data []byte) error {
	var one string
	if json.Unmarshal(data, &one) == nil {
		*t = textContent(one)
		return nil
	}
	var list []string
	if json.Unmarshal(data, &list) == nil {
		if len(list) != 1 {
			return errContent
		}
		*t = textContent(list[0])
		return nil
	}
	var parts []textPart
	if json.Unmarshal(data, &parts) != nil {
		return errContent
	}
	for _, p := range parts {
		*t += textContent(p.Text)
	}
	return nil
}

// stringList is a list of strings that JSON gives as a string or a list.
type stringList []string

// UnmarshalJSON accepts the forms that the OpenAI API allows.
func (t *stringList) UnmarshalJSON(data []byte) error {
	var one string
	if json.Unmarshal(data, &one) == nil {
		*t = stringList{one}
		return nil
	}
	return json.Unmarshal(data, (*[]string)(t))
}

// Message is one message of a chat.
type Message struct {
	Role    string      `json:"role"`
	Content textContent `json:"content"`
}

type generateRequest struct {
	Model               units.ModelID `json:"model"`
	Prompt              textContent   `json:"prompt"`
	Messages            []Message     `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	ResumeFrom int `json:"resume_from"`
	// Priority orders queued requests; lower numbers go first.
	Priority int `json:"priority"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	Message      *delta   `json:"message,omitempty"`
	Logprobs     *float64 `json:"logprobs"`
	FinishReason *string  `json:"finish_reason"`
}

type completionResponse struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   units.ModelID `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type embeddingRequest struct {
	Model    units.ModelID `json:"model"`
	Input    stringList    `json:"input"`
	Format   string        `json:"encoding_format"`
	Priority int           `json:"priority"`
}

type embedding struct {
	Object    string `json:"object"`
	Index     int    `json:"index"`
	Embedding any    `json:"embedding"`
}

type embeddingResponse struct {
	Object string        `json:"object"`
	Data   []embedding   `json:"data"`
	Model  units.ModelID `json:"model"`
	Usage  struct {
		PromptTokens int `json:"prompt_tokens"`
		TotalTokens  int `json:"total_tokens"`
	} `json:"usage"`
}
