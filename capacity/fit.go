package capacity

import (
	"math"

	"github.com/samber/lo"
	"github.com/zeebo/errs"
)

// Underdetermined is the class of errors which mean that the samples do not determine the model.
var Underdetermined = errs.Class("capacity: the samples do not determine the model; measure more sizes, or fit fewer terms")

// minPivot is the smallest pivot at which a matrix scaled to a unit diagonal is not treated as singular.
const minPivot = 1e-9

// Term is one way in which a cost grows with the size.
type Term struct {
	Name string
	Of   func(Size) float64
}

// The terms of cost models.
var (
	Constant = Term{"constant", func(Size) float64 { return 1 }}
	PerHost  = Term{"host", func(s Size) float64 { return float64(s.Hosts) }}
	PerPeer  = Term{"peer", func(s Size) float64 { return float64(s.EntryHosts - 1) }}
	PerEntry = Term{"entry host", func(s Size) float64 { return float64(s.EntryHosts) }}
	PerPool  = Term{"pool", func(s Size) float64 { return float64(s.Pools) }}
	PerTeam  = Term{"team", func(s Size) float64 { return float64(s.Teams) }}
	// PerPeerPool grows with the data that each peer sends about each pool.
	PerPeerPool = Term{"peer and pool", func(s Size) float64 { return float64((s.EntryHosts - 1) * s.Pools) }}
	// PerPeerHost grows with the data that is sent to each peer about each host.
	PerPeerHost = Term{"peer and host", func(s Size) float64 { return float64((s.EntryHosts - 1) * s.Hosts) }}
)

// Model is a linear model: the sum of its terms, each multiplied by its slope.
type Model struct {
	Terms  []Term
	Slopes []float64
	// Residual is the root mean square of the differences between the samples and the model.
	Residual float64
}

// At returns the model's value at a size.
func (m Model) At(s Size) float64 {
	return lo.Sum(lo.Map(m.Terms, func(t Term, i int) float64 { return m.Slopes[i] * t.Of(s) }))
}

// Fit returns the least-squares model of the samples. It returns an Underdetermined error if there is more than one.
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

// columnScales returns the Euclidean norms of the columns; dividing by them keeps the equations well conditioned.
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

// solve solves a*x = b by Gaussian elimination with partial pivoting. It overwrites its arguments.
func solve(a [][]float64, b []float64) ([]float64, error) {
	n := len(b)
	for column := range n {
		pivot := column
		for row := column + 1; row < n; row++ {
			if math.Abs(a[row][column]) > math.Abs(a[pivot][column]) {
				pivot = row
			}
		}
		if math.Abs(a[pivot][column]) < minPivot {
			return nil, Underdetermined.New("term %d is linearly dependent on the others", column)
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

// eliminate subtracts multiples of the pivot row from the rows below it, so that their pivot column becomes 0.
func eliminate(a [][]float64, b []float64, pivot int) {
	for row := pivot + 1; row < len(b); row++ {
		factor := a[row][pivot] / a[pivot][pivot]
		b[row] -= factor * b[pivot]
		for column := pivot; column < len(b); column++ {
			a[row][column] -= factor * a[pivot][column]
		}
	}
}
