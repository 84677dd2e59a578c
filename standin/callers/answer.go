package callers

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
)

// AnswerLineBytes is the length of one line of an answer.
const AnswerLineBytes = 2*sha256.Size + 1

// reasonBytes is the length of the prefix of an unexpected answer that is traced.
const reasonBytes = 300

// answerLine returns the line that the answer to the request with this id repeats: the hexadecimal SHA-256 sum of the id
// and a newline.
func answerLine(id string) []byte {
	sum := sha256.Sum256([]byte(id))
	return append(hex.AppendEncode(nil, sum[:]), '\n')
}

// AnswerBytes returns the complete answer of n bytes to the request with this id: its line, repeated and cut to length.
func AnswerBytes(id string, n int) []byte {
	return bytes.Repeat(answerLine(id), n/AnswerLineBytes+1)[:n]
}

// checker compares an answer with AnswerBytes as it is received; its memory does not grow with the answer.
type checker struct {
	line           []byte
	expectedLength int
	length         int
	wrong          bool
	// prefix holds the first reasonBytes bytes of the answer.
	prefix []byte
}

// newChecker returns a checker for the answer of n bytes to the request with this id.
func newChecker(id string, n int) *checker {
	return &checker{line: answerLine(id), expectedLength: n}
}

// Write checks the next part of the answer. It never fails, so that a wrong answer is read to its end.
func (c *checker) Write(data []byte) (int, error) {
	written := len(data)
	c.prefix = append(c.prefix, data[:min(len(data), max(0, reasonBytes-len(c.prefix)))]...)
	for len(data) > 0 && !c.wrong {
		expected := c.line[c.length%AnswerLineBytes:]
		n := min(len(data), len(expected))
		c.wrong = !bytes.Equal(data[:n], expected[:n])
		c.length += n
		data = data[n:]
	}
	return written, nil
}

// complete reports whether the answer is the expected one, from its first to its last byte.
func (c *checker) complete() bool {
	return !c.wrong && c.length == c.expectedLength
}
