package admissionqueue

import "robinpulley.example/robinpulley/internal/lb"

// Level identifies the openings of one priority of a service.
type Level struct {
	Service  lb.ServiceName
	Priority uint16
}

// Levels returns the number of queued openings of each priority of each service, for operators.
func (q *Queue[K]) Levels() map[Level]int {
	levels := make(map[Level]int)
	for _, index := range q.order {
		opening := &q.entries[index]
		levels[Level{opening.Service, opening.Objective.Priority}]++
	}
	return levels
}
