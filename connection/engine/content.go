package engine

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Content returns the text that an event of a streamed answer adds to the first choice. It fails if the event is not JSON.
func Content(event []byte) (string, error) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(event, &chunk); err != nil {
		return "", errors.Wrap(err, "decode event")
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	return chunk.Choices[0].Delta.Content, nil
}
