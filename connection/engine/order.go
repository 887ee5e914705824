package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
)

// Order sends the engine the list of models to hold. It fails with *StatusError if the engine refuses the fence as outdated.
func (c *Client) Order(ctx context.Context, fence ident.Revision, models []ident.Model) error {
	body, err := json.Marshal(struct {
		Fence  ident.Revision `json:"fence"`
		Models []ident.Model  `json:"models"`
	}{fence, models})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}
