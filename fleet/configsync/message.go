package configsync

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/siskinford/siskinford/core/id"
	"github.com/siskinford/siskinford/fleet/config"
	"github.com/siskinford/siskinford/fleet/objectapi"
)

// Digest holds the versions in force at a host. It is piggybacked on heartbeats.
type Digest struct {
	Versions map[config.Kind]uint64 `cbor:"1,keyasint,omitempty"`
	// Ready is false until the host has bootstrapped from a peer or the platform.
	Ready bool `cbor:"2,keyasint,omitempty"`
}

// target is a host in a push tree.
type target struct {
	Host    id.Host `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
}

// object is a version of a configuration kind with its deflated value.
type object struct {
	Kind    config.Kind `cbor:"1,keyasint"`
	Version uint64      `cbor:"2,keyasint"`
	Value   []byte      `cbor:"3,keyasint"`
}

// request is a call to a peer. At most one of Push and Fetch is set. Every response
// carries the digest.
type request struct {
	Push *push `cbor:"1,keyasint,omitempty"`
	// Fetch requests the version in force of a kind.
	Fetch config.Kind `cbor:"2,keyasint,omitempty"`
}

// push carries an object to a host, which forwards it to the hosts in Rest.
type push struct {
	Object object   `cbor:"1,keyasint"`
	Rest   []target `cbor:"2,keyasint,omitempty"`
}

type response struct {
	Digest Digest  `cbor:"1,keyasint"`
	Object *object `cbor:"2,keyasint,omitempty"`
}

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode configuration message: %w", err)
	}
	return b, nil
}

func decode(b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode configuration message: %w", err)
	}
	return nil
}

// Deflate compresses a value for transfer between entries.
func Deflate(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Inflate decompresses a value. It fails if the result exceeds
// objectapi.MaxValueBytes, the limit of the platform.
func Inflate(deflated []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(deflated))
	value, err := io.ReadAll(io.LimitReader(r, objectapi.MaxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("inflate configuration: %w", err)
	}
	if len(value) > objectapi.MaxValueBytes {
		return nil, fmt.Errorf("inflated configuration exceeds %d bytes", objectapi.MaxValueBytes)
	}
	return value, nil
}
