package tokennode

import (
	"testing"

	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/admissionqueue"
	"robinpulley.example/robinpulley/internal/loadreport"
)

func TestHeldOpeningsAreReportedByPriority(t *testing.T) {
	is := is.New(t)
	reported := loadreport.Service{Service: "web", Levels: []loadreport.Admission{{Priority: 0, Rate: 0.5}}}
	addQueued(&reported, map[admissionqueue.Level]int{{Service: "web", Priority: 0}: 3, {Service: "web", Priority: 2}: 4, {Service: "docs", Priority: 0}: 9})
	is.Equal(reported.Levels, []loadreport.Admission{{Priority: 0, Rate: 0.5, Queued: 3}, {Priority: 2, Rate: 1, Queued: 4}})
}
