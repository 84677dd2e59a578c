// Package jsonscan reads JSON of a known shape in place, without reflection.
package jsonscan

import (
	"encoding/json"
	"math"
	"strconv"
)

const (
	// maxDepth bounds the nesting of values that are skipped.
	maxDepth = 64
	// maxWhole is the largest whole number that decimals keep exact.
	maxWhole = 1 << 53
)

// Scanner reads Data from Pos on. Its methods pass over blanks before what they read. They report false, and leave Pos
// anywhere, when something else stands there.
type Scanner struct {
	Data []byte
	Pos  int
}

// Next returns the next byte without taking it; 0 at the end.
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

// Take takes one sign.
func (s *Scanner) Take(c byte) bool {
	if s.Next() != c {
		return false
	}
	s.Pos++
	return true
}

// Text reads a string.
func (s *Scanner) Text() (string, bool) {
	if s.Next() != '"' {
		return "", false
	}
	begin := s.Pos
	plain, ok := s.passText()
	if !ok {
		return "", false
	}
	if plain {
		return string(s.Data[begin+1 : s.Pos-1]), true
	}
	var text string
	err := json.Unmarshal(s.Data[begin:s.Pos], &text)
	return text, err == nil
}

// passText passes over a string; a plain one has no escapes and is ASCII.
func (s *Scanner) passText() (plain, ok bool) {
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

// Number reads a number; decimals are rounded down.
func (s *Scanner) Number() (int64, bool) {
	s.Next()
	begin, plain := s.Pos, true
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
	digits := string(s.Data[begin:s.Pos])
	if plain {
		n, err := strconv.ParseInt(digits, 10, 64)
		return n, err == nil
	}
	n, err := strconv.ParseFloat(digits, 64)
	return int64(math.Floor(n)), err == nil && math.Abs(n) <= maxWhole
}

// Skip passes over one value of any kind. It does not check what is inside.
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
			if _, ok := s.passText(); !ok {
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
			s.passWord()
		}
		if depth <= 0 || depth > maxDepth {
			return depth == 0
		}
	}
}

// passWord passes over a number, true, false or null.
func (s *Scanner) passWord() {
	for s.Pos++; s.Pos < len(s.Data); s.Pos++ {
		switch s.Data[s.Pos] {
		case ' ', '\t', '\r', '\n', ',', ':', '{', '}', '[', ']', '"':
			return
		}
	}
}

// List calls element for each value of an array; element takes the value.
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

// Object calls field for each field of an object; field takes the value.
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
