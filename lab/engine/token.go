package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinford/siskinford/core/prefixhash"
)

const (
	defaultBlockWords = prefixhash.DefaultBlockWords
	markPrefix        = "mark="
	lengthPrefix      = "tokens="
	tokenMix          = 0x9e3779b97f4a7c15
	tokenMask         = 0xffffff
	// FinishLength and FinishStop are the finish reasons of complete answers.
	FinishLength = "length"
	FinishStop   = "stop"
)

// script determines the answer to a prompt.
type script struct {
	hash   uint64
	mark   string
	tokens int
	finish string
}

// newScript parses the optional mark= and tokens= parameters of the prompt. The
// answer has maxTokens tokens unless tokens= is smaller.
func newScript(prompt string, maxTokens int) script {
	s := script{hash: xxhash.Sum64String(prompt), tokens: maxTokens, finish: FinishLength}
	if s.tokens <= 0 {
		s.tokens = defaultMaxTokens
	}
	s.mark = promptParam(prompt, markPrefix)
	n, err := strconv.Atoi(promptParam(prompt, lengthPrefix))
	if err == nil && n > 0 && n < s.tokens {
		s.tokens = n
		s.finish = FinishStop
	}
	return s
}

// promptParam returns the text from the first occurrence of prefix to the next space.
func promptParam(prompt, prefix string) string {
	start := strings.Index(prompt, prefix)
	if start < 0 {
		return ""
	}
	rest := prompt[start+len(prefix):]
	end := strings.IndexAny(rest, " \t\r\n")
	if end < 0 {
		return rest
	}
	return rest[:end]
}

// appendToken appends the token with the given index. The first token repeats
// the mark; the others need no escaping in JSON.
func (s script) appendToken(b []byte, index int) []byte {
	if index == 0 && s.mark != "" {
		b = append(b, markPrefix...)
		return append(b, s.mark...)
	}
	mixed := (s.hash ^ uint64(index)) * tokenMix
	mixed ^= mixed >> 32
	b = append(b, ' ')
	return strconv.AppendUint(b, mixed&tokenMask, 36)
}

// appendTokenJSON appends a token escaped for a JSON string, without the quotes.
func (s script) appendTokenJSON(b []byte, index int) []byte {
	if index > 0 || s.mark == "" {
		return s.appendToken(b, index)
	}
	quoted, _ := json.Marshal(string(s.appendToken(nil, index))) // Strings always encode.
	return append(b, quoted[1:len(quoted)-1]...)
}

// Answer returns the complete text generated for a prompt.
func Answer(prompt string, maxTokens int) string {
	return newScript(prompt, maxTokens).text()
}

func (s script) text() string {
	var b []byte
	for i := range s.tokens {
		b = s.appendToken(b, i)
	}
	return string(b)
}
