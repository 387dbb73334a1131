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

// Paths of the interface of one rank's engine. Bodies are JSON.
const (
	// PathRankState returns a lockstep.EngineState.
	PathRankState = "/rank/state"
	// PathRankOrder takes a lockstep.EngineOrder.
	PathRankOrder = "/rank/order"
	// PathRankWeights takes a groupmsg.Weights.
	PathRankWeights = "/rank/weights"
	// PathRankLayouts returns a groupmsg.Layout. The map version is appended.
	PathRankLayouts = "/rank/layouts/"
	// PathRankLoads returns a groupmsg.Loads, and takes it out of the engine's counts.
	PathRankLoads = "/rank/loads/take"
)

// RankHTTP is the client of one rank's engine. It implements rank.Engine and is
// safe for concurrent use.
type RankHTTP struct{ http *HTTP }

// NewRankHTTP returns a client of the engine at the base URL in c.
func NewRankHTTP(c Config) (*RankHTTP, error) {
	h, err := NewHTTP(c)
	if err != nil {
		return nil, err
	}
	return &RankHTTP{http: h}, nil
}

// ReadState implements rank.Engine.
func (r *RankHTTP) ReadState(ctx context.Context) (lockstep.EngineState, error) {
	var s lockstep.EngineState
	err := r.http.call(ctx, http.MethodGet, PathRankState, nil, &s)
	return s, err
}

// SetMap implements rank.Engine.
func (r *RankHTTP) SetMap(ctx context.Context, order lockstep.EngineOrder) error {
	return r.post(ctx, PathRankOrder, order)
}

// StageWeights implements rank.Engine.
func (r *RankHTTP) StageWeights(ctx context.Context, w groupmsg.Weights) error {
	return r.post(ctx, PathRankWeights, w)
}

// Layout implements rank.Engine.
func (r *RankHTTP) Layout(ctx context.Context, v lockstep.Version) (groupmsg.Layout, error) {
	var l groupmsg.Layout
	err := r.http.call(ctx, http.MethodGet, PathRankLayouts+strconv.FormatUint(uint64(v), 10), nil, &l)
	return l, err
}

// Loads implements rank.Engine.
func (r *RankHTTP) Loads(ctx context.Context) (groupmsg.Loads, error) {
	var l groupmsg.Loads
	err := r.http.call(ctx, http.MethodPost, PathRankLoads, nil, &l)
	return l, err
}

func (r *RankHTTP) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "body for %s", path)
	}
	return r.http.call(ctx, http.MethodPost, path, data, nil)
}
