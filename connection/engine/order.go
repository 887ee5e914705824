package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
)

// Order tells the engine which models to hold in the end; it fails with *StatusError where the engine refuses the fence.
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
