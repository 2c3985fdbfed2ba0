package bytebudget

import "math"

const (
	// FirstEstimate and FirstDownloadEstimate are assumed for a route without a response so
	// far, the second for routes of downloads, whose responses are large.
	FirstEstimate         = 16 << 10
	FirstDownloadEstimate = 128 << 10
	// sizeWindow is the number of responses over which sizes are averaged.
	sizeWindow = 16
	// spread is the number of mean deviations above the mean that are reserved. A response
	// beyond it grows its reservation while it is read.
	spread = 1.5
	// maxRoutes bounds the routes whose sizes are kept; a deployment has up to 3,800.
	maxRoutes = 8192
)

// Sizes estimates the bytes that the responses of a route need. The zero value is ready for
// use.
type Sizes struct {
	routes map[string]size
}

// size is the exponentially weighted mean of a route's sizes and of their distance from it,
// in bytes.
type size struct {
	mean, deviation float64
}

// Observe records the bytes that a response of a route needed.
func (s *Sizes) Observe(route string, bytes int64) {
	if s.routes == nil {
		s.routes = make(map[string]size)
	}
	known, ok := s.routes[route]
	switch {
	case !ok && len(s.routes) >= maxRoutes:
		return
	case !ok:
		known = size{mean: float64(bytes), deviation: float64(bytes) / 2}
	default:
		distance := float64(bytes) - known.mean
		known.mean += distance / sizeWindow
		known.deviation += (math.Abs(distance) - known.deviation) / sizeWindow
	}
	s.routes[route] = known
}

// Estimate returns the bytes that a response of a route usually needs, at most limit; first
// is assumed for a route that is not known.
func (s *Sizes) Estimate(route string, first, limit int64) int64 {
	known, ok := s.routes[route]
	if !ok {
		return min(first, limit)
	}
	return min(int64(known.mean+spread*known.deviation), limit)
}
