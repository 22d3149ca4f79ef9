package costmodel

import "gonum.org/v1/gonum/mat"

// features is the number of quantities on which the time to a response depends.
const features = 4

// vector holds a value for each feature.
type vector [features]float64

func (v vector) dot(w vector) float64 {
	sum := 0.0
	for i := range v {
		sum += v[i] * w[i]
	}
	return sum
}

const (
	// retention is the factor by which the weight of earlier observations falls with
	// each new one. The fit follows changes of the traffic within some hundred requests.
	retention = 0.995
	// solveInterval is the number of observations between solutions of the fit.
	solveInterval = 4
)

// regression is a least-squares fit of logarithms by a function that is linear in its
// coefficients, which are at least 0. Observations are forgotten exponentially. The prior is not forgotten; it keeps the fit defined for features
// that do not occur.
type regression struct {
	priorGram, gram     [features][features]float64
	priorMoment, moment vector
	coefficients        vector
	unsolved            int // observations since the last solution
}

// newRegression returns a regression with the coefficients prior. Each of points counts
// as an observation of the given weight that fits them.
func newRegression(prior vector, points []vector, weight float64) *regression {
	r := &regression{coefficients: prior}
	for _, x := range points {
		addObservation(&r.priorGram, &r.priorMoment, x, prior.dot(x), weight/square(prior.dot(x)))
	}
	return r
}

// addObservation adds an observation y of the features x.
func addObservation(gram *[features][features]float64, moment *vector, x vector, y, weight float64) {
	for i := range x {
		for j := range x {
			gram[i][j] += weight * x[i] * x[j]
		}
		moment[i] += weight * x[i] * y
	}
}

func square(x float64) float64 { return x * x }

// predict returns the fitted value for the features x.
func (r *regression) predict(x vector) float64 { return r.coefficients.dot(x) }

// observe adds an observation whose natural logarithm exceeds that of the prediction for
// the features x by logError. It is a step of the Gauss-Newton method for the least
// squares of logarithms: like the ratios of the targets, the fit follows geometric means.
func (r *regression) observe(x vector, logError float64) {
	predicted := max(minMillis, r.predict(x))
	y := predicted * (1 + logError)
	for i := range r.gram {
		for j := range r.gram[i] {
			r.gram[i][j] *= retention
		}
		r.moment[i] *= retention
	}
	addObservation(&r.gram, &r.moment, x, y, 1/square(predicted))
	r.unsolved++
	if r.unsolved >= solveInterval {
		r.unsolved = 0
		r.solve()
	}
}

// solve computes the coefficients. A feature whose coefficient comes out negative is
// left out and the others are solved again, so that no prediction can be negative.
func (r *regression) solve() {
	active := make([]int, 0, features)
	for i := range features {
		active = append(active, i)
	}
	for len(active) > 0 {
		solution, ok := r.solveFor(active)
		if !ok {
			return // ill-conditioned: the former coefficients stay
		}
		kept := active[:0:0]
		for k, i := range active {
			if solution[k] >= 0 {
				kept = append(kept, i)
			}
		}
		if len(kept) < len(active) {
			active = kept
			continue
		}
		r.coefficients = vector{}
		for k, i := range active {
			r.coefficients[i] = solution[k]
		}
		return
	}
}

// solveFor solves the normal equations of the active features.
func (r *regression) solveFor(active []int) ([]float64, bool) {
	n := len(active)
	gram, moment := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	for a, i := range active {
		for b := a; b < n; b++ {
			j := active[b]
			gram.SetSym(a, b, r.priorGram[i][j]+r.gram[i][j])
		}
		moment.SetVec(a, r.priorMoment[i]+r.moment[i])
	}
	var factors mat.Cholesky
	if !factors.Factorize(gram) {
		return nil, false
	}
	var solution mat.VecDense
	if err := factors.SolveVecTo(&solution, moment); err != nil {
		return nil, false
	}
	return solution.RawVector().Data, true
}
