package ranklink

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *Config)
		want   []string
	}{
		{"none", func(c *Config) { *c = DefaultConfig() }, nil},
		{"valid", func(*Config) {}, nil},
		{"ranks without group", func(c *Config) { c.Group = "" }, []string{"group"}},
		{"no ranks", func(c *Config) { c.Ranks, c.URLs = "", "" }, []string{"ranks"}},
		{"too few URLs", func(c *Config) { c.URLs = "http://127.0.0.1:1" }, []string{"rank-urls"}},
		{"not a rank", func(c *Config) { c.Ranks = "0,x" }, []string{"ranks"}},
		{"rank twice", func(c *Config) { c.Ranks = "4,4" }, []string{"ranks"}},
		{"times", func(c *Config) { c.Tick, c.LoadInterval = 0, -1 }, []string{"rank-tick", "rank-load-interval"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := DefaultConfig()
			c.Group, c.Ranks, c.URLs = "asistente-0", "0,1", "http://127.0.0.1:1,http://127.0.0.1:2"
			tt.change(&c)
			var places []string
			for _, f := range c.Validate() {
				places = append(places, f.Place)
			}
			assert.DeepEqual(t, places, tt.want)
		})
	}
}
