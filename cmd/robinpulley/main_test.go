package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestExitCodes(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(invalid, []byte("node: b1\ncolour: red\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name      string
		arguments []string
		want      int
	}{
		{"valid settings", []string{"check", "../../deploy/robinpulley.yaml"}, exitDone},
		{"invalid settings", []string{"check", invalid}, exitBadSettings},
		{"run with invalid settings", []string{"run", "--config", invalid}, exitBadSettings},
		{"no settings", []string{"run"}, exitBadSettings},
		{"missing file", []string{"check", filepath.Join(t.TempDir(), "none.yaml")}, exitBadSettings},
		{"unknown command", []string{"walk"}, exitBadSettings},
		{"unknown flag", []string{"run", "--colour", "red"}, exitBadSettings},
		{"version", []string{"version"}, exitDone},
		{"version as a flag", []string{"--version"}, exitDone},
		{"help", []string{"run", "--help"}, exitDone},
		{"address of another machine", []string{
			"run", "--config", "../../deploy/robinpulley.yaml", "--admin-address", "192.0.2.1:9090",
		}, exitFailed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(execute(test.arguments), test.want)
		})
	}
}
