package callers

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
)

// AnswerLineBytes is the length of one line of an answer.
const AnswerLineBytes = 2*sha256.Size + 1

// reasonBytes is how much of an unexpected answer is traced.
const reasonBytes = 300

// answerLine is what the answer to the request with this id repeats: the hexadecimal SHA-256 sum of the id and a newline.
func answerLine(id string) []byte {
	sum := sha256.Sum256([]byte(id))
	return append(hex.AppendEncode(nil, sum[:]), '\n')
}

// AnswerBytes is the whole answer of n bytes to the request with this id: its line again and again, cut to length.
func AnswerBytes(id string, n int) []byte {
	return bytes.Repeat(answerLine(id), n/AnswerLineBytes+1)[:n]
}

// checker compares an answer with AnswerBytes while it comes in; its memory does not grow with the answer.
type checker struct {
	line   []byte
	wanted int
	length int
	wrong  bool
	// first is the begin of the answer.
	first []byte
}

// newChecker expects the answer of n bytes to the request with this id.
func newChecker(id string, n int) *checker {
	return &checker{line: answerLine(id), wanted: n}
}

// Write takes more of the answer. It never fails, so that a wrong answer is read to its end.
func (c *checker) Write(data []byte) (int, error) {
	written := len(data)
	c.first = append(c.first, data[:min(len(data), max(0, reasonBytes-len(c.first)))]...)
	for len(data) > 0 && !c.wrong {
		expected := c.line[c.length%AnswerLineBytes:]
		n := min(len(data), len(expected))
		c.wrong = !bytes.Equal(data[:n], expected[:n])
		c.length += n
		data = data[n:]
	}
	return written, nil
}

// whole tells whether all of the answer was the request's own and nothing was missing.
func (c *checker) whole() bool {
	return !c.wrong && c.length == c.wanted
}
