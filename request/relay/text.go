package relay

import (
	"encoding/json"
	"strings"
)

// textOf joins the text of the first choice over the events of a stream.
func textOf(events [][]byte) string {
	var text strings.Builder
	for _, data := range events {
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}
