package catalog

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestValidationReturnsAllErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		decode func() error
		fields []string
	}{
		{
			"service",
			func() error {
				_, err := DecodeService(ServicePrefix+"Bad_", []byte(`{"name":"Bad_","frontends":[
					{"address":"0.0.0.0:1","protocol":"tcp"},{"address":"10.0.0.1:0","protocol":"udp"}],"selector":"a b"}`))
				return err
			},
			[]string{"name", "frontends[0].address", "frontends[1].address", "selector"},
		},
		{
			"service without front ends, empty selector",
			func() error {
				_, err := DecodeService(ServicePrefix+"a", []byte(`{"name":"a","frontends":[],"selector":""}`))
				return err
			},
			[]string{"frontends", "selector"},
		},
		{
			"front end twice",
			func() error {
				_, err := DecodeService(ServicePrefix+"a", []byte(`{"name":"a","frontends":[
					{"address":"[::1]:1","protocol":"tcp"},{"address":"[::1]:1","protocol":"tcp"}],"selector":"a"}`))
				return err
			},
			[]string{"frontends[1]"},
		},
		{
			"back end",
			func() error {
				_, err := DecodeBackend(BackendPrefix+"b", []byte(`{"name":"b","host":"224.0.0.1:1","zone":"",
					"labels":{"-":"_"},"probe":"http://host/","weight":1001}`))
				return err
			},
			[]string{"host", "zone", "labels key", "labels[-]", "probe", "weight"},
		},
		{
			"name differs from key",
			func() error {
				_, err := DecodeBackend(BackendPrefix+"b", []byte(`{"name":"c","host":"127.0.0.1:1","zone":"a","labels":{}}`))
				return err
			},
			[]string{"name"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var invalid *ValidationError
			is.True(errors.As(test.decode(), &invalid))
			var fields []string
			for _, field := range invalid.Fields {
				fields = append(fields, field.Field)
			}
			is.Equal(fields, test.fields)
		})
	}
}

func TestDecodeErrorsContainUnknownFieldAndKey(t *testing.T) {
	is := is.New(t)
	_, err := DecodeBackend(BackendPrefix+"b", []byte(`{"name":"b","hots":"127.0.0.1:1"}`))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `"hots"`))
	is.True(strings.Contains(err.Error(), BackendPrefix+"b"))
	_, err = DecodeBackend(BackendPrefix+"b", []byte(`{"name":"b","host":"127.0.0.1:1","zone":"a","labels":{}}{}`))
	is.True(err != nil) // data after the document is an error
	_, err = DecodeBackend(BackendPrefix+"b", []byte(`{"name":"b","host":"127.0.0.1:1","zone":"a","labels":{}}`))
	is.NoErr(err) // loopback addresses are valid
}
