package gateway

import "time"

// StopBy begins the end of a planned stop, as dispatch.Scheduler.StopBy says.
func (s *Service) StopBy(end time.Time) { s.cfg.Scheduler.StopBy(end) }
