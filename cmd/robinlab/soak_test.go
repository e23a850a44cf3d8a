package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestReadSeeds(t *testing.T) {
	cases := []struct {
		name, text string
		seeds      []soakSeed
		err        string
	}{
		{"comments and causes", "# seeds\n\n17 a lost removal\n 18\n", []soakSeed{{seed: 17}, {seed: 18}}, ""},
		{"kinds of fault", "19 only=crowd,move a cause\n", []soakSeed{{19, []string{"crowd", "move"}}}, ""},
		{"unknown kind of fault", "19 only=crowd,muve a cause\n", nil, `line 1: only "muve": unknown kind of fault`},
		{"not a number", "17 ok\nseventeen a cause\n", nil, `line 2: seed "seventeen" is not a number above 0`},
		{"zero, which would select a random seed", "0\n", nil, `line 1: seed "0" is not a number above 0`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "seeds.txt")
			is.NoErr(os.WriteFile(path, []byte(test.text), 0o600))
			seeds, err := readSeeds(path)
			if test.err != "" {
				is.Equal(err.Error(), path+": "+test.err)
				return
			}
			is.NoErr(err)
			is.Equal(seeds, test.seeds)
		})
	}
}

func TestOnlyRejectsUnknownFaultKinds(t *testing.T) {
	is := is.New(t)
	command := &soakCommand{Only: []string{"crowd", "move"}}
	is.NoErr(command.Validate())
	kinds, err := faultKinds(command.Only)
	is.NoErr(err)
	is.Equal(len(kinds), 2)
	is.Equal(kinds[1].Name(), "move")
	command.Only = []string{"crwd"}
	is.Equal(command.Validate().Error(), `only "crwd": unknown kind of fault`)
}
