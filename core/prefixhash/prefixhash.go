// Package prefixhash computes the chained block hashes by which model engines
// and the prefix index identify the blocks of a prompt.
package prefixhash

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultBlockWords is the default number of prompt words in a block.
const DefaultBlockWords = 16

// Blocks returns one hash for each full block of blockWords words of the
// prompt. Each hash covers the prompt up to and including its block, so that
// equal hashes mean equal prefixes. It returns none if blockWords is below one.
func Blocks(prompt string, blockWords int) []uint64 {
	if blockWords < 1 {
		return nil
	}
	var hashes []uint64
	var chain [8]byte
	digest := xxhash.New()
	words := 0
	for word := range strings.FieldsSeq(prompt) {
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(" ")
		words++
		if words < blockWords {
			continue
		}
		sum := digest.Sum64()
		hashes = append(hashes, sum)
		binary.LittleEndian.PutUint64(chain[:], sum)
		digest.Reset()
		_, _ = digest.Write(chain[:])
		words = 0
	}
	return hashes
}

// Words returns the number of words of the prompt, an approximation of its tokens.
func Words(prompt string) int {
	n := 0
	for range strings.FieldsSeq(prompt) {
		n++
	}
	return n
}
