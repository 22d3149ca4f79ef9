package placement

import "slices"

// servesModel accepts targets that report the request's model as loaded. When
// the target reports nothing, the bundle's placement decides; when the bundle
// says nothing about the target, it is accepted and may refuse.
func servesModel(s *evaluation, t *target) bool {
	model := s.query.Request.Model
	if model == "" {
		return true
	}
	if t.figures != nil && len(t.figures.Models) > 0 {
		return slices.Contains(t.figures.Models, model)
	}
	placed, ok := s.set.models[t.id]
	return !ok || slices.Contains(placed, model)
}
