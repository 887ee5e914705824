package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/response"
)

const (
	clientTimeout  = 30 * time.Second
	maxReplyBytes  = 64 << 20
	operatorKeyEnv = "VANILLAROUTE_OPERATOR_KEY"
)

var operatorHTTP = &http.Client{Transport: response.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}

// operatorClient calls a router's HTTP API with the operators' key.
type operatorClient struct {
	router string
	key    string
}

func (c *operatorClient) addFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.router, "router", "http://127.0.0.1:8080", "address of any router")
	cmd.PersistentFlags().StringVar(&c.key, "key", os.Getenv(operatorKeyEnv), "operators' key; default from environment variable "+operatorKeyEnv)
}

// call sends a request and decodes its answer. It returns an error if the status is neither 200 nor in accepted.
func (c *operatorClient) call(ctx context.Context, method, path string, body, answer any, accepted ...int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.router+path, bytes.NewReader(raw))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := operatorHTTP.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "call router")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	for _, status := range append(accepted, http.StatusOK) {
		if resp.StatusCode == status {
			return status, errors.Wrap(json.Unmarshal(data, answer), "decode answer")
		}
	}
	return resp.StatusCode, errors.Errorf("router answered %s: %s", resp.Status, errorMessage(data))
}

// errorMessage returns the message of an error body, or the whole body if it has none.
func errorMessage(data []byte) string {
	var body struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &body) == nil && body.Error.Message != "" {
		return body.Error.Message
	}
	return string(bytes.TrimSpace(data))
}
