package callers

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

const (
	// lengthDigits is how many digits the length at the end of an answer has.
	lengthDigits = 20
	// MinAnswerBytes is the length of the shortest answer.
	MinAnswerBytes = lengthDigits
)

// AnswerBytes is the whole answer of n bytes (at least MinAnswerBytes) to the request with this id: the SHA-256 sums of
// the id and a block number (8 bytes, big endian), cut to length, and n itself in 20 decimal digits.
func AnswerBytes(id string, n int) []byte {
	answer := make([]byte, 0, n+sha256.Size)
	for block := uint64(0); len(answer) < n-lengthDigits; block++ {
		sum := answerBlock(id, block)
		answer = append(answer, sum[:]...)
	}
	return fmt.Appendf(answer[:n-lengthDigits], "%0*d", lengthDigits, n)
}

func answerBlock(id string, block uint64) [sha256.Size]byte {
	return sha256.Sum256(binary.BigEndian.AppendUint64([]byte(id), block))
}

// checker compares an answer with AnswerBytes while it comes in; its memory does not grow with the answer.
type checker struct {
	id     string
	length int
	// expected are bytes of the current block that were not compared yet.
	expected []byte
	block    uint64
	// tail holds back the last bytes: they may be the length.
	tail  []byte
	wrong bool
}

func newChecker(id string) *checker { return &checker{id: id} }

// Write takes more of the answer. It never fails, so that a wrong answer is read to its end.
func (c *checker) Write(data []byte) (int, error) {
	c.length += len(data)
	c.tail = append(c.tail, data...)
	if surplus := len(c.tail) - lengthDigits; surplus > 0 {
		c.compare(c.tail[:surplus])
		c.tail = append(c.tail[:0], c.tail[surplus:]...)
	}
	return len(data), nil
}

func (c *checker) compare(data []byte) {
	for len(data) > 0 && !c.wrong {
		if len(c.expected) == 0 {
			sum := answerBlock(c.id, c.block)
			c.expected = sum[:]
			c.block++
		}
		n := min(len(data), len(c.expected))
		c.wrong = !bytes.Equal(data[:n], c.expected[:n])
		data, c.expected = data[n:], c.expected[n:]
	}
}

// whole tells whether all of the answer was the request's own and nothing was missing.
func (c *checker) whole() bool {
	return !c.wrong && string(c.tail) == fmt.Sprintf("%0*d", lengthDigits, c.length)
}
