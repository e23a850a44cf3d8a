package message

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLoadMessagesAreDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	service := ServiceWork{
		Service: "web", Levels: []LevelWork{{Priority: 1, Begun: 20, Refused: 3}},
		Answers: []ZoneAnswers{{Zone: "za", Count: 7, LogLoadSum: -300, Rejected: 2}},
	}
	for _, sent := range []Message{
		LoadReport{Services: []ServiceWork{service}},
		LoadState{Sender: "n1", Sequence: 3, Zones: []ZoneWork{{Zone: "za", AgeMillis: 40, Services: []ServiceWork{service}}}},
	} {
		line, err := Encode(nil, "n1", sent)
		is.NoErr(err)
		from, decoded, err := Decode(line)
		is.NoErr(err)
		is.Equal(string(from), "n1")
		is.Equal(decoded, sent)
	}
}

func TestLoadMessagesOutOfRangeAreRejected(t *testing.T) {
	bad := func(service ServiceWork) LoadReport { return LoadReport{Services: []ServiceWork{service}} }
	cases := map[string]struct {
		message Message
		field   string
	}{
		"no service":                 {bad(ServiceWork{}), "v.s"},
		"negative work":              {bad(ServiceWork{Service: "s", Levels: []LevelWork{{Begun: -1}}}), "v.w"},
		"excessive work":             {bad(ServiceWork{Service: "s", Levels: []LevelWork{{Refused: maxLoadSum + 1}}}), "v.w"},
		"too many levels":            {bad(ServiceWork{Service: "s", Levels: make([]LevelWork, maxLoadEntries+1)}), "v.w"},
		"zone without name":          {bad(ServiceWork{Service: "s", Answers: []ZoneAnswers{{Count: 1}}}), "v.a.z"},
		"negative count":             {bad(ServiceWork{Service: "s", Answers: []ZoneAnswers{{Zone: "z", Count: -1}}}), "v.a.n"},
		"negative rejected":          {bad(ServiceWork{Service: "s", Answers: []ZoneAnswers{{Zone: "z", Rejected: -1}}}), "v.a.q"},
		"no sender":                  {LoadState{}, "sender"},
		"negative age":               {LoadState{Sender: "n", Zones: []ZoneWork{{Zone: "z", AgeMillis: -1}}}, "zones.t"},
		"invalid service in a state": {LoadState{Sender: "n", Zones: []ZoneWork{{Zone: "z", Services: []ServiceWork{{}}}}}, "v.s"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Encode(nil, "n1", test.message)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "field "+test.field+":")) // the error names the field
		})
	}
}
