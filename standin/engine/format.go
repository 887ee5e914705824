package engine

import (
	"encoding/json"
	"time"

	"github.com/vanillaroute/vanillaroute/ident"
)

// chunk returns the data of one event of a streamed answer in the chat completions format.
func chunk(id ident.Request, model ident.Model, text, finish string) string {
	type delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Delta        delta   `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	}
	var reason *string
	if finish != "" {
		reason = &finish
	}
	body, err := json.Marshal(struct {
		ID      string      `json:"id"`
		Object  string      `json:"object"`
		Created int64       `json:"created"`
		Model   ident.Model `json:"model"`
		Choices []choice    `json:"choices"`
	}{"chatcmpl-" + string(id), "chat.completion.chunk", time.Now().Unix(), model, []choice{{Delta: delta{Content: text}, FinishReason: reason}}})
	if err != nil {
		return "{}"
	}
	return string(body)
}

// completion returns a complete answer in the chat completions format.
func completion(id ident.Request, p prompt, text string) any {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	type usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
	return struct {
		ID      string      `json:"id"`
		Object  string      `json:"object"`
		Created int64       `json:"created"`
		Model   ident.Model `json:"model"`
		Choices []choice    `json:"choices"`
		Usage   usage       `json:"usage"`
	}{
		"chatcmpl-" + string(id), "chat.completion", time.Now().Unix(), p.Model,
		[]choice{{Message: message{"assistant", text}, FinishReason: "stop"}},
		usage{p.tokens, p.MaxTokens, p.tokens + p.MaxTokens},
	}
}
