package edge

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// queryEngine sends a query for the state of an engine and returns the body of its response. It is an error if
// another upstream responds.
func (s *Server) queryEngine(ctx context.Context, entry *registry.Entry, request *outbound.Request, limit int64) ([]byte, error) {
	// The response does not say which query it belongs to.
	request.SingleUse = true
	response, err := s.client.Do(ctx, entry.Address, request, limit)
	if err != nil {
		return nil, err
	}
	info := s.dialect.DecodeResponse(response.Status, response.Header)
	if view := s.view.Load(); view != nil {
		s.signals.record(view, entry, info)
	}
	if info.UpstreamID != "" && info.UpstreamID != entry.ID {
		return nil, errors.Newf("response of upstream %q", info.UpstreamID)
	}
	if response.Status != http.StatusOK {
		return nil, errors.Newf("status %d", response.Status)
	}
	return response.Body, nil
}
