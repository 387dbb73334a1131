package config

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzDecode checks that an accepted value of any kind is accepted again after it was
// encoded.
func FuzzDecode(f *testing.F) {
	f.Add(`{"services":[{"name":"asistente","type":"model","model":"m","deadline_ms":10}]}`)
	f.Add(`{"teams":[{"name":"puno","key_hashes":[],"weight":1.5,"services":["a"]}]}`)
	f.Add(`{"endpoints":[{"name":"a","service":"s","host":"h","zone":"z","address":"10.0.0.1:80","weight":0}]}`)
	f.Add(`{"endpoints":[{"name":"a","name":"b"}`)
	f.Fuzz(func(t *testing.T, text string) {
		for _, kind := range Kinds() {
			v, err := Decode(kind, []byte(text))
			if err != nil {
				continue
			}
			data, err := json.Marshal(v)
			assert.NilError(t, err)
			_, err = Decode(kind, data)
			assert.NilError(t, err, "%s", data)
		}
	})
}
