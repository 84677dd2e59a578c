package capacity

import (
	"math"

	"github.com/samber/lo"
	"github.com/zeebo/errs"
)

// TooFew means that the samples do not determine the model.
var TooFew = errs.Class("capacity: the samples do not determine the model; measure more sizes, or fit fewer terms")

// singular is the smallest pivot, of a matrix scaled to a diagonal of ones, that counts as one.
const singular = 1e-9

// Term is one way in which a cost grows with the size.
type Term struct {
	Name string
	Of   func(Size) float64
}

// The terms that models are made of.
var (
	Constant = Term{"constant", func(Size) float64 { return 1 }}
	PerHost  = Term{"host", func(s Size) float64 { return float64(s.Hosts) }}
	PerPeer  = Term{"peer", func(s Size) float64 { return float64(s.EntryHosts - 1) }}
	PerEntry = Term{"entry host", func(s Size) float64 { return float64(s.EntryHosts) }}
	PerPool  = Term{"pool", func(s Size) float64 { return float64(s.Pools) }}
	PerTeam  = Term{"team", func(s Size) float64 { return float64(s.Teams) }}
	// PerPeerPool grows with what each peer tells of each pool.
	PerPeerPool = Term{"peer and pool", func(s Size) float64 { return float64((s.EntryHosts - 1) * s.Pools) }}
	// PerPeerHost grows with what is sent to each peer about each host.
	PerPeerHost = Term{"peer and host", func(s Size) float64 { return float64((s.EntryHosts - 1) * s.Hosts) }}
)

// Model is a linear model: the sum of its slopes times its terms.
type Model struct {
	Terms  []Term
	Slopes []float64
	// Residual is the root of the mean squared difference between the samples and the model.
	Residual float64
}

// At is the model's value at a size.
func (m Model) At(s Size) float64 {
	return lo.Sum(lo.Map(m.Terms, func(t Term, i int) float64 { return m.Slopes[i] * t.Of(s) }))
}

// Fit finds the model with the least squared difference from the samples. It returns TooFew if there is more than one.
func Fit(samples []Sample, terms []Term) (Model, error) {
	rows := lo.Map(samples, func(s Sample, _ int) []float64 {
		return lo.Map(terms, func(t Term, _ int) float64 { return t.Of(s.Size) })
	})
	scales := columnScales(rows, len(terms))
	normal, right := normalEquations(rows, samples, scales)
	slopes, err := solve(normal, right)
	if err != nil {
		return Model{}, err
	}
	for i := range slopes {
		slopes[i] /= scales[i]
	}
	m := Model{Terms: terms, Slopes: slopes}
	squares := lo.SumBy(samples, func(s Sample) float64 { return math.Pow(s.Value-m.At(s.Size), 2) })
	m.Residual = math.Sqrt(squares / float64(len(samples)))
	return m, nil
}

// columnScales are the lengths of the columns; dividing by them keeps the equations well conditioned.
func columnScales(rows [][]float64, columns int) []float64 {
	scales := make([]float64, columns)
	for _, row := range rows {
		for i, x := range row {
			scales[i] += x * x
		}
	}
	return lo.Map(scales, func(s float64, _ int) float64 { return max(math.Sqrt(s), math.SmallestNonzeroFloat64) })
}

func normalEquations(rows [][]float64, samples []Sample, scales []float64) (normal [][]float64, right []float64) {
	n := len(scales)
	right = make([]float64, n)
	normal = lo.Times(n, func(int) []float64 { return make([]float64, n) })
	for k, row := range rows {
		for i := range n {
			x := row[i] / scales[i]
			right[i] += x * samples[k].Value
			for j := range n {
				normal[i][j] += x * row[j] / scales[j]
			}
		}
	}
	return normal, right
}

// solve is Gaussian elimination with partial pivoting. It overwrites its arguments.
func solve(a [][]float64, b []float64) ([]float64, error) {
	n := len(b)
	for column := range n {
		pivot := column
		for row := column + 1; row < n; row++ {
			if math.Abs(a[row][column]) > math.Abs(a[pivot][column]) {
				pivot = row
			}
		}
		if math.Abs(a[pivot][column]) < singular {
			return nil, TooFew.New("term %d cannot be told from the others", column)
		}
		a[column], a[pivot] = a[pivot], a[column]
		b[column], b[pivot] = b[pivot], b[column]
		eliminate(a, b, column)
	}
	x := make([]float64, n)
	for row := n - 1; row >= 0; row-- {
		x[row] = b[row]
		for column := row + 1; column < n; column++ {
			x[row] -= a[row][column] * x[column]
		}
		x[row] /= a[row][row]
	}
	return x, nil
}

// eliminate takes the pivot row out of the rows below it.
func eliminate(a [][]float64, b []float64, pivot int) {
	for row := pivot + 1; row < len(b); row++ {
		factor := a[row][pivot] / a[pivot][pivot]
		b[row] -= factor * b[pivot]
		for column := pivot; column < len(b); column++ {
			a[row][column] -= factor * a[pivot][column]
		}
	}
}
