// Package jsonscan parses JSON of a known structure in place, without reflection.
package jsonscan

import (
	"encoding/json"
	"math"
	"strconv"
)

const (
	// maxDepth is the deepest nesting of a skipped value.
	maxDepth = 64
	// maxExactInteger is the largest integer up to which float64 represents every integer exactly.
	maxExactInteger = 1 << 53
)

// Scanner parses Data from offset Pos on. Its methods skip white space before the value. They report false if the input
// does not match; Pos is then unspecified.
type Scanner struct {
	Data []byte
	Pos  int
}

// Next skips white space and returns the next byte without consuming it, or 0 at the end.
func (s *Scanner) Next() byte {
	for s.Pos < len(s.Data) {
		switch c := s.Data[s.Pos]; c {
		case ' ', '\t', '\r', '\n':
			s.Pos++
		default:
			return c
		}
	}
	return 0
}

// Take consumes the byte c and reports whether it was next.
func (s *Scanner) Take(c byte) bool {
	if s.Next() != c {
		return false
	}
	s.Pos++
	return true
}

// Text parses a string.
func (s *Scanner) Text() (string, bool) {
	if s.Next() != '"' {
		return "", false
	}
	start := s.Pos
	plain, ok := s.skipString()
	if !ok {
		return "", false
	}
	if plain {
		return string(s.Data[start+1 : s.Pos-1]), true
	}
	var text string
	err := json.Unmarshal(s.Data[start:s.Pos], &text)
	return text, err == nil
}

// skipString skips a string. It reports in plain whether the string is ASCII without escapes, so that it needs no decoding.
func (s *Scanner) skipString() (plain, ok bool) {
	plain = true
	for s.Pos++; s.Pos < len(s.Data); s.Pos++ {
		switch c := s.Data[s.Pos]; {
		case c == '"':
			s.Pos++
			return plain, true
		case c == '\\':
			plain = false
			s.Pos++
		case c < ' ' || c >= 0x80:
			plain = false
		}
	}
	return plain, false
}

// Number parses a number and rounds it down. It fails for integers beyond int64, and for numbers with a fraction or an
// exponent beyond maxExactInteger.
func (s *Scanner) Number() (int64, bool) {
	s.Next()
	start, plain := s.Pos, true
	for ; s.Pos < len(s.Data); s.Pos++ {
		c := s.Data[s.Pos]
		if c >= '0' && c <= '9' || c == '-' {
			continue
		}
		if c != '.' && c != 'e' && c != 'E' && c != '+' {
			break
		}
		plain = false
	}
	digits := string(s.Data[start:s.Pos])
	if plain {
		n, err := strconv.ParseInt(digits, 10, 64)
		return n, err == nil
	}
	n, err := strconv.ParseFloat(digits, 64)
	return int64(math.Floor(n)), err == nil && math.Abs(n) <= maxExactInteger
}

// Skip skips one value of any type. It does not validate the value.
func (s *Scanner) Skip() bool {
	for depth := 0; ; {
		switch s.Next() {
		case '{', '[':
			s.Pos++
			depth++
		case '}', ']':
			s.Pos++
			depth--
		case '"':
			if _, ok := s.skipString(); !ok {
				return false
			}
		case ',', ':':
			if s.Pos++; depth == 0 {
				return false
			}
			continue
		case 0:
			return false
		default:
			s.skipLiteral()
		}
		if depth <= 0 || depth > maxDepth {
			return depth == 0
		}
	}
}

// skipLiteral skips a number, true, false or null.
func (s *Scanner) skipLiteral() {
	for s.Pos++; s.Pos < len(s.Data); s.Pos++ {
		switch s.Data[s.Pos] {
		case ' ', '\t', '\r', '\n', ',', ':', '{', '}', '[', ']', '"':
			return
		}
	}
}

// List parses an array. It calls element for each value; element must consume the value.
func (s *Scanner) List(element func() bool) bool {
	if !s.Take('[') {
		return false
	}
	if s.Take(']') {
		return true
	}
	for element() {
		if s.Take(']') {
			return true
		}
		if !s.Take(',') {
			return false
		}
	}
	return false
}

// Object parses an object. It calls field for each field; field must consume the value.
func (s *Scanner) Object(field func(name string) bool) bool {
	if !s.Take('{') {
		return false
	}
	if s.Take('}') {
		return true
	}
	for {
		name, ok := s.Text()
		if !ok || !s.Take(':') || !field(name) {
			return false
		}
		if s.Take('}') {
			return true
		}
		if !s.Take(',') {
			return false
		}
	}
}

// Integer parses a number into target; see Number.
func (s *Scanner) Integer(target *int64) (ok bool) {
	*target, ok = s.Number()
	return ok
}

// String parses a string into target.
func (s *Scanner) String(target *string) (ok bool) {
	*target, ok = s.Text()
	return ok
}

// SkipRest skips the remaining elements of an array whose first elements have been parsed, and its end.
func (s *Scanner) SkipRest() bool {
	for s.Take(',') {
		if !s.Skip() {
			return false
		}
	}
	return s.Take(']')
}
