package weightstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/siskinford/siskinford/lab/weightstore"
)

func TestServesWeightsAndCountsBytes(t *testing.T) {
	store := weightstore.New(weightstore.Config{ExpertBytes: 100_000, Layers: 2, Experts: 4})
	handler := store.Handler()
	tests := []struct {
		path          string
		status, bytes int
	}{
		{"/weights/0/3", 200, 100_000},
		{"/weights/1/0?bytes=5", 200, 5},
		{"/weights/2/0", 404, 0},
		{"/weights/0/4", 404, 0},
		{"/weights/0/-1", 404, 0},
		{"/weights/0/0?bytes=-1", 400, 0},
	}
	total := 0
	for _, test := range tests {
		request := httptest.NewRequest(http.MethodGet, test.path, nil)
		request.Header.Set(weightstore.HeaderCaller, "rank-1")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		assert.Equal(t, recorder.Code, test.status, test.path)
		if test.status == http.StatusOK {
			assert.Equal(t, recorder.Body.Len(), test.bytes)
		}
		total += test.bytes
	}
	assert.DeepEqual(t, store.BytesByCaller(), map[string]int64{"rank-1": int64(total)})
}

func TestLimitsRate(t *testing.T) {
	// The second burst would take longer than the request's deadline, so the
	// limiter rejects it without waiting.
	const burst = 8000
	store := weightstore.New(weightstore.Config{BytesPerSecond: 1, Burst: burst, ExpertBytes: 2 * burst})
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	recorder := httptest.NewRecorder()
	store.Handler().ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodGet, "/weights/0/0", nil))
	assert.Equal(t, recorder.Body.Len(), burst)
	assert.DeepEqual(t, store.BytesByCaller(), map[string]int64{"": burst})
}
