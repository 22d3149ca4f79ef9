package placement

import "slices"

// servesModel accepts targets that report the request's model as loaded. If the
// target has reported no models, those that the bundle places on it decide. If
// the bundle does not mention the target either, the target is accepted and may
// refuse the request.
func servesModel(s *evaluation, t *target) bool {
	model := s.query.Request.Model
	if model == "" {
		return true
	}
	if t.figures != nil && len(t.figures.Models) > 0 {
		return slices.Contains(t.figures.Models, model)
	}
	placed, ok := s.policies.placedModels[t.id]
	return !ok || slices.Contains(placed, model)
}
