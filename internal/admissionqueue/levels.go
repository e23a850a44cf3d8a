package admissionqueue

import "robinpulley.example/robinpulley/internal/lb"

// Level names the openings of one priority of a service.
type Level struct {
	Service  lb.ServiceName
	Priority uint16
}

// Levels gives how many openings of each priority of each service wait, for operators.
func (q *Queue[K]) Levels() map[Level]int {
	levels := make(map[Level]int)
	for _, index := range q.order {
		held := &q.slots[index]
		levels[Level{held.Service, held.Objective.Priority}]++
	}
	return levels
}
