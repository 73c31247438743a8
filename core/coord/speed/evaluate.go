package speed

import (
	"cmp"
	"math"
	"time"
)

const (
	// fewWeight is the weight below which observations say too little for a comparison of how
	// endpoints slow down.
	fewWeight = 5.0
	// minLog and maxLog bound a relative speed to 0.4 and 2.5, and maxChange its change per
	// second to a factor of 1.5. Hosts learn of each other's requests late, so they would
	// overload an endpoint that all of them turn to at once.
	minLog    = -0.916
	maxLog    = 0.916
	maxChange = 0.405
	// minDifference is the difference, as a logarithm, from which an endpoint is taken to
	// differ from its service: a factor of 1.3. It must also be minSigmas times its standard
	// error. Requests that come in one wave, as hosts learn late of each other's, err alike:
	// observations of a total weight above maxIndependent make an error no smaller.
	minDifference  = 0.262
	minSigmas      = 4
	maxIndependent = 30
	// minSpread is the root mean square of the differences of all endpoints from which they
	// are taken to differ, each by too little to be sure of it.
	minSpread = 0.2
	// onAfter is how long endpoints must differ before the estimates of their service are
	// used. They are no longer used when none has differed by offShare of these sizes for
	// offAfter.
	onAfter  = 2 * time.Second
	offAfter = 30 * time.Second
	offShare = 0.5
	// kneeAfter is how long an endpoint must be seen to slow down before its comfortable
	// number is used.
	kneeAfter = 3 * time.Second
	// kneeHold is how long a comfortable number is kept without a new finding. Then it grows
	// by a quarter of the slots at a time: requests are kept away from where it was found.
	kneeHold = 20 * time.Second
	// minLogged is the change of an estimate, as a logarithm, that is reported: by half.
	minLogged = 0.405
	// maxChanges bounds the changes that one evaluation reports; others follow.
	maxChanges = 8
)

// estimate is the current estimate of an endpoint.
type estimate struct {
	slots int
	// mean is the mean of the observations, and log the relative speed that is used, both
	// logarithms.
	mean float64
	log  float64
	// weight is the weight of the observations.
	weight float64
	// knee is the first range in which the endpoint slows down; 0 if there is none.
	knee   int
	kneeAt time.Duration
	// slowsSince is when it was first seen to slow down; negative if it was not last time.
	slowsSince time.Duration
	reported   Estimate
}

func (e *estimate) comfortable() int {
	if e.knee == 0 {
		return 0
	}
	return lastBelow(e.knee, e.slots)
}

// verdict says whether the estimates of a service are used.
type verdict struct {
	on bool
	// differsSince is when endpoints began to differ; negative if they don't.
	differsSince time.Duration
	// lastDiffered is when endpoints last differed by offShare of the sizes that count.
	lastDiffered time.Duration
	evaluated    time.Duration
	hasEvaluated bool
}

// Change is a change of an endpoint's relative speed by half or more since it was last reported.
type Change struct {
	Endpoint string
	From, To Estimate
	// Weight is the weight of the observations.
	Weight float64
}

// Summary describes the estimates of a service.
type Summary struct {
	// On is set if estimates are used, and Switched if that has just changed.
	On       bool
	Switched bool
	// Slowest and Fastest are the extreme relative speeds, and Limited is the number of
	// endpoints with a comfortable number below their slots.
	Slowest, Fastest float64
	Limited          int
	// Weight is the weight of the observations of all hosts, as far as this host knows them.
	Weight  float64
	Changes []Change
}

// Evaluate computes the estimates for the endpoints of a service again. It is called about
// twice a second.
func (t *Table) Evaluate(name string, endpoints []Endpoint, now time.Duration) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	observed := make([]*sums, len(endpoints))
	all := &sums{}
	for i, e := range endpoints {
		observed[i] = t.pooled(now).except("", e.Incarnation, now)
		all.add(observed[i])
	}
	elapsed := time.Duration(0)
	if s.hasEvaluated {
		elapsed = now - s.evaluated
	} else {
		s.differsSince = -1
	}
	s.evaluated, s.hasEvaluated = now, true
	findings := make([]finding, len(endpoints))
	for i, e := range endpoints {
		known := t.known[e.Incarnation]
		if known == nil {
			known = &estimate{reported: Estimate{Relative: 1}, slowsSince: -1}
			t.known[e.Incarnation] = known
		}
		findings[i] = compare(observed[i], all, s.noise, known.knee)
		known.slots = e.Slots
		known.mean, known.weight = findings[i].mean, findings[i].weight
	}
	out := Summary{Switched: s.judge(findings, now), On: s.on, Slowest: 1, Fastest: 1}
	out.Weight, _ = all.total()
	for i, e := range endpoints {
		known := t.known[e.Incarnation]
		known.follow(findings[i], s, elapsed, now)
		current := t.estimate(e.Incarnation)
		out.Slowest, out.Fastest = min(out.Slowest, current.Relative), max(out.Fastest, current.Relative)
		if known.knee > 0 {
			out.Limited++
		}
		if math.Abs(math.Log(current.Relative/known.reported.Relative)) >= minLogged && len(out.Changes) < maxChanges {
			out.Changes = append(out.Changes, Change{Endpoint: e.Endpoint, From: known.reported, To: current, Weight: known.weight})
			known.reported = current
		}
	}
	return out
}

// finding is how an endpoint compares with the others of its service.
type finding struct {
	// mean is the mean of all observations, weight their weight.
	mean, weight float64
	// difference is the mean difference to the service at the same fill of the slots, below
	// the knee. deviation is its standard error.
	difference, deviation float64
	// used is the weight of the observations below the knee.
	used float64
	knee int
}

// compare compares the observations of an endpoint with those of all, its own included.
// heldKnee is the knee that was found before.
func compare(e, all *sums, noise float64, heldKnee int) finding {
	weight, value := e.total()
	if weight < minWeight {
		return finding{deviation: math.Inf(1)}
	}
	f := finding{mean: value / weight, weight: weight, knee: knee(e, all, noise)}
	allWeight, allValue := all.total()
	mean := allValue / allWeight
	below := cmp.Or(f.knee, heldKnee, Bins)
	for b := range below {
		reference := (all.value[b] + fewWeight*mean) / (all.weight[b] + fewWeight)
		f.difference += e.value[b] - e.weight[b]*reference
		f.used += e.weight[b]
	}
	if f.used < minWeight {
		f.difference, f.deviation = 0, math.Inf(1)
		return f
	}
	f.difference /= f.used
	f.deviation = math.Sqrt(variance(noise, f.used))
	return f
}

// variance returns that of a mean of observations.
func variance(noise, weight float64) float64 { return noise / min(weight, maxIndependent) }

// knee returns the first range from which on an endpoint is slower than below it, compared
// with the other endpoints at the same fill; 0 if there is none. Of several, it is the one
// that is the clearest.
func knee(e, all *sums, noise float64) int {
	var below, others sums
	others = *all
	others.subtract(e)
	for b := range Bins {
		if e.weight[b] >= minWeight && others.weight[b] >= fewWeight {
			below.weight[b] = e.weight[b]
			below.value[b] = e.value[b] - e.weight[b]*others.value[b]/others.weight[b]
		}
	}
	best, clearest := 0, float64(minSigmas)
	allWeight, allValue := below.total()
	lowWeight, lowValue := 0.0, 0.0
	for b := 1; b < Bins; b++ {
		lowWeight += below.weight[b-1]
		lowValue += below.value[b-1]
		highWeight := allWeight - lowWeight
		if lowWeight < fewWeight || highWeight < fewWeight {
			continue
		}
		drop := lowValue/lowWeight - (allValue-lowValue)/highWeight
		sigmas := drop / math.Sqrt(variance(noise, lowWeight)+variance(noise, highWeight))
		if drop >= minDifference && sigmas > clearest {
			best, clearest = b, sigmas
		}
	}
	return best
}

// differ reports whether endpoints differ by more than noise, and by the given share of the
// sizes that count.
func differ(findings []finding, share float64) bool {
	squares, errors, n := 0.0, 0.0, 0.0
	for _, f := range findings {
		size := math.Abs(f.difference)
		if f.knee > 0 || size >= max(share*minDifference, minSigmas*f.deviation) {
			return true
		}
		if f.used >= fewWeight {
			squares += size * size
			errors += size * size / (f.deviation * f.deviation)
			n++
		}
	}
	// The mean of n squared errors is 1 with a standard deviation of the root of 2/n. It is
	// doubled for errors that are correlated.
	return n > 1 && squares/n >= share*share*minSpread*minSpread && errors/n >= 2+minSigmas*math.Sqrt(2/n)
}

// judge decides whether the estimates of the service are used. It reports whether that has
// changed.
func (s *service) judge(findings []finding, now time.Duration) bool {
	differs := differ(findings, 1)
	switch {
	case !differs:
		s.differsSince = -1
	case s.differsSince < 0:
		s.differsSince = now
	}
	if differs || differ(findings, offShare) {
		s.lastDiffered = now
	}
	before := s.on
	if s.on {
		s.on = now-s.lastDiffered < offAfter
	} else {
		s.on = differs && now-s.differsSince >= onAfter
	}
	return s.on != before
}

// follow moves the estimate toward a finding.
func (e *estimate) follow(f finding, s *service, elapsed, now time.Duration) {
	target := 0.0
	if s.on {
		// The weight of the assumption that the endpoint does not differ: that of an
		// observation whose variance is the square of the least difference that counts.
		prior := s.noise / (minDifference * minDifference)
		target = max(minLog, min(maxLog, f.difference*f.used/(f.used+prior)))
	}
	step := maxChange * elapsed.Seconds()
	e.log += max(-step, min(step, target-e.log))
	switch {
	case f.knee == 0:
		e.slowsSince = -1
	case e.slowsSince < 0:
		e.slowsSince = now
	}
	switch {
	case !s.on:
		e.knee = 0
	case f.knee > 0 && now-e.slowsSince >= kneeAfter:
		e.knee, e.kneeAt = f.knee, now
	case e.knee > 0 && now-e.kneeAt >= kneeHold:
		e.kneeAt = now
		if e.knee++; e.knee >= Bins {
			e.knee = 0
		}
	}
}
