package config_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"robinpulley.example/robinpulley/internal/config"
)

const valid = `node: b1
zone: za
data_address: 127.0.0.1:6081
control_address: 127.0.0.1:7946
fabric_reply_addresses: [127.0.0.1:6082]
store_endpoints: [http://127.0.0.1:2379]
`

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	settings, err := config.Parse([]byte(valid+"timings: {idle_timeout: 90s}\n"), config.Overrides{Zone: "zb"})
	is.NoErr(err)
	is.Equal(string(settings.Zone), "zb") // flags override the file
	is.Equal(settings.Timings.IdleTimeout, 90*time.Second)
	is.Equal(settings.Timings.OpeningHold, config.DefaultOpeningHold)
	is.Equal(settings.AdminAddress.String(), config.DefaultAdminAddress)
}

func TestSettingsFromFlagsAlone(t *testing.T) {
	is := is.New(t)
	settings, err := config.Load("", config.Overrides{
		Node: "b1", Zone: "za", DataAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:2",
		FabricReply: []string{"127.0.0.1:4"}, StoreEndpoints: []string{"http://127.0.0.1:3"},
	})
	is.NoErr(err)
	is.Equal(string(settings.Node), "b1")
}

func TestProblems(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"unknown field", valid + "colour: red\n", []string{`line 7: colour: is not a known field`}},
		{"unknown nested field", valid + "timings:\n  idle: 1s\n", []string{`line 8: idle: is not a known field`}},
		{"duplicate key", valid + "zone: zb\n", []string{`line 7: zone: is a duplicate of line 2`}},
		{"wrong type", valid + "limits: {pin_bytes_per_second: many}\n", []string{`line 7: "many" is not of type int`}},
		{"not YAML", "node: [", []string{`line 1: YAML syntax: did not find expected node content`}},
		{"two documents", valid + "---\nnode: b2\n", []string{`the file holds more than one YAML document`}},
		{"bad address", valid + "admin_address: localhost\n", []string{`line 7: admin_address: "localhost" is not an IP address and port`}},
		{"port 0", valid + "admin_address: 127.0.0.1:0\n", []string{`line 7: admin_address: "127.0.0.1:0" has port 0`}},
		{"unspecified address", valid + "admin_address: 0.0.0.0:80\n", []string{`line 7: admin_address: "0.0.0.0:80" is an unspecified IP address; peers need a specific one`}},
		{"address of two endpoints", valid + "admin_address: 127.0.0.1:6081\n", []string{`line 7: admin_address: "127.0.0.1:6081" is a duplicate of data_address`}},
		{"duplicate seed", valid + "seeds:\n- 127.0.0.1:5\n- 127.0.0.1:5\n", []string{`line 9: seeds[1]: "127.0.0.1:5" is a duplicate`}},
		{"bad URL", valid + "region: tx\nmachines_url: machines\n", []string{`line 8: machines_url: "machines" is not an http or https URL`}},
		{"log level", valid + "log_level: loud\n", []string{`line 7: log_level: "loud" is none of debug, info, warn, error`}},
		{"pin limit above control limit", valid + "limits: {pin_bytes_per_second: 9000}\n", []string{`line 7: limits.pin_bytes_per_second: "9000" exceeds limits.control_bytes_per_second, 4096`}},
		{"zero limit", valid + "limits: {pin_bytes_per_second: 0}\n", []string{`line 7: limits.pin_bytes_per_second: "0" is not above 0`}},
		{"duration", valid + "timings: {retry_after: soon}\n", []string{`line 7: timings.retry_after: "soon" is not a duration such as 300ms or 60s`}},
		{"negative duration", valid + "timings: {retry_after: -1s}\n", []string{`line 7: timings.retry_after: "-1s" is not above 0`}},
		{"pin lifetime above idle timeout", valid + "timings: {idle_timeout: 50s, opening_hold: 50s}\n", []string{`timings.pin_lifetime: "1m0s" exceeds timings.idle_timeout, 50s`}},
		{"probe timeout above interval", valid + "health: {interval: 1s, timeout: 2s}\n", []string{`line 7: health.timeout: "2s" exceeds health.interval, 1s`}},
		{"several problems", "zone: z/a\ndata_address: here\nseeds: [there]\nfoo: 1\n", []string{
			`line 4: foo: is not a known field`,
			`node: is missing`,
			`line 1: zone: "z/a" has a character other than letters, digits, '-', '_' and '.'`,
			`line 2: data_address: "here" is not an IP address and port`,
			`control_address: is missing`,
			`fabric_reply_addresses: is missing`,
			`store_endpoints: is missing`,
			`line 3: seeds[0]: "there" is not an IP address and port`,
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.Parse([]byte(test.text), config.Overrides{})
			var problems config.Problems
			is.True(errors.As(err, &problems))
			got := make([]string, len(problems))
			for index, problem := range problems {
				got[index] = problem.String()
			}
			is.Equal(got, test.want)
		})
	}
}

func TestMissingFileIsNamed(t *testing.T) {
	is := is.New(t)
	_, err := config.Load("/no/such/file.yaml", config.Overrides{})
	is.True(err != nil)
	is.Equal(err.Error(), `settings file "/no/such/file.yaml": open /no/such/file.yaml: no such file or directory`)
}

func TestSampleSettings(t *testing.T) {
	is := is.New(t)
	settings, err := config.Load("../../deploy/robinpulley.yaml", config.Overrides{})
	is.NoErr(err)
	is.Equal(string(settings.Node), "balancer-1")
	text, err := os.ReadFile("../../deploy/robinpulley.yaml")
	is.NoErr(err)
	for _, path := range config.FieldNames() {
		name := path[strings.LastIndex(path, ".")+1:]
		if !strings.Contains(string(text), name+":") {
			t.Errorf("the sample settings file lacks %s", path)
		}
	}
}
