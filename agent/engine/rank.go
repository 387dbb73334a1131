package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/siskinford/siskinford/balance/groupmsg"
	"github.com/siskinford/siskinford/balance/lockstep"
)

// Paths of the HTTP API of one rank's engine. Bodies are JSON.
const (
	// PathRankState returns a lockstep.EngineState.
	PathRankState = "/rank/state"
	// PathRankOrder accepts a lockstep.EngineOrder.
	PathRankOrder = "/rank/order"
	// PathRankWeights accepts a groupmsg.Weights.
	PathRankWeights = "/rank/weights"
	// PathRankLayouts returns a groupmsg.Layout. The map version is appended.
	PathRankLayouts = "/rank/layouts/"
	// PathRankLoads returns a groupmsg.Loads and resets the engine's counters.
	PathRankLoads = "/rank/loads/take"
)

// RankClient is the HTTP client of one rank's engine. It implements rank.Engine and
// is safe for concurrent use.
type RankClient struct{ http *Client }

// NewRankClient returns a client of the engine at the base URL in c.
func NewRankClient(c Config) (*RankClient, error) {
	h, err := NewClient(c)
	if err != nil {
		return nil, err
	}
	return &RankClient{http: h}, nil
}

// ReadState implements rank.Engine.
func (r *RankClient) ReadState(ctx context.Context) (lockstep.EngineState, error) {
	var s lockstep.EngineState
	err := r.http.call(ctx, http.MethodGet, PathRankState, nil, &s)
	return s, err
}

// SetMap implements rank.Engine.
func (r *RankClient) SetMap(ctx context.Context, order lockstep.EngineOrder) error {
	return r.post(ctx, PathRankOrder, order)
}

// StageWeights implements rank.Engine.
func (r *RankClient) StageWeights(ctx context.Context, w groupmsg.Weights) error {
	return r.post(ctx, PathRankWeights, w)
}

// Layout implements rank.Engine.
func (r *RankClient) Layout(ctx context.Context, v lockstep.Version) (groupmsg.Layout, error) {
	var l groupmsg.Layout
	err := r.http.call(ctx, http.MethodGet, PathRankLayouts+strconv.FormatUint(uint64(v), 10), nil, &l)
	return l, err
}

// Loads implements rank.Engine.
func (r *RankClient) Loads(ctx context.Context) (groupmsg.Loads, error) {
	var l groupmsg.Loads
	err := r.http.call(ctx, http.MethodPost, PathRankLoads, nil, &l)
	return l, err
}

func (r *RankClient) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode body for %s", path)
	}
	return r.http.call(ctx, http.MethodPost, path, data, nil)
}
