package settings

import (
	"strings"
)

// didYouMean suggests the known word with the smallest edit distance, or lists all known words if none is similar
// enough. It does not search for words similar to a very long one.
func didYouMean(word string, known []string) string {
	best, bestDistance := "", len(word)/2+1
	if len(word) > maxQuotedBytes {
		bestDistance = 0
	}
	for _, candidate := range known {
		if bestDistance == 0 {
			break
		}
		if d := editDistance(word, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	if best != "" {
		return "did you mean " + best + "?"
	}
	return "use one of " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance between two words, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substituted := diagonal
			if a[i] != b[j] {
				substituted++
			}
			diagonal = row[j+1]
			row[j+1] = min(substituted, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// Suggest returns the remedy for an unknown name.
func Suggest(name string, known []string) string {
	if len(known) == 0 {
		return "define it first"
	}
	return didYouMean(name, known)
}
