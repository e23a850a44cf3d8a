package catalog

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestSelectorMatches(t *testing.T) {
	labels := map[string]string{"app": "wallet", "tier": "a", "example.org/canary": "", "in": "x"}
	for _, test := range []struct {
		selector string
		want     bool
	}{
		{"app=wallet", true},
		{"app == wallet", true},
		{"app=other", false},
		{"app!=wallet", false},
		{"missing!=wallet", true},
		{"tier in (b, a)", true},
		{"tier in (b)", false},
		{"tier notin (b,c)", true},
		{"tier notin (a)", false},
		{"missing notin (a)", true},
		{"missing in (a)", false},
		{"app", true},
		{"missing", false},
		{"!missing", true},
		{"! app", false},
		{"example.org/canary=", true},
		{"example.org/canary in (,)", true},
		{"in in (x)", true},
		{"app=wallet, tier in (a, b), !drained", true},
		{"app=wallet,tier=b", false},
		{"", true},
	} {
		t.Run(test.selector, func(t *testing.T) {
			is := is.New(t)
			selector, err := ParseSelector(test.selector)
			is.NoErr(err)
			is.Equal(selector.Matches(labels), test.want)
			again, err := ParseSelector(selector.String())
			is.NoErr(err)
			is.Equal(again, selector) // parsing the printed form returns the same selector
		})
	}
}

func TestSelectorErrorsContainPositionAndToken(t *testing.T) {
	for _, test := range []struct {
		selector string
		position int
		token    string
	}{
		{"app=wallet,", 12, ""},
		{"=a", 1, "="},
		{"app wallet", 5, "wallet"},
		{"app in a", 8, "a"},
		{"app in ()", 9, ")"},
		{"app in (a", 10, ""},
		{"app in (a b)", 11, "b"},
		{"app=a b", 7, "b"},
		{"app=-a", 5, "-a"},
		{"app==!a", 6, "!"},
		{"-app", 1, "-app"},
		{"UPPER.org/app", 1, "UPPER.org/app"},
		{"a=b,,c=d", 5, ","},
		{"!!a", 2, "!"},
		{"a>b", 1, "a>b"},
	} {
		t.Run(test.selector, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseSelector(test.selector)
			var parseError *SelectorError
			is.True(errors.As(err, &parseError))
			is.Equal(parseError.Position, test.position)
			is.Equal(parseError.Token, test.token)
		})
	}
}

// FuzzSelector checks that parsing the printed form of a selector returns the same selector.
func FuzzSelector(f *testing.F) {
	for _, seed := range []string{"app=wallet, tier in (a, b), !canary", "a notin (,b)", "a!=", "in in (in)", "a=b,", "é=1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		selector, err := ParseSelector(text)
		if err != nil {
			return
		}
		again, err := ParseSelector(selector.String())
		if err != nil {
			t.Fatalf("printed form %q of %q: %v", selector.String(), text, err)
		}
		if again.String() != selector.String() {
			t.Fatalf("%q prints as %q and then as %q", text, selector, again)
		}
	})
}

// FuzzDocuments checks that every document that is decoded without an error can be encoded, and
// that the index does not panic on any document.
func FuzzDocuments(f *testing.F) {
	f.Add([]byte(`{"name":"a","frontends":[{"address":"10.0.0.1:443","protocol":"tcp"}],"selector":"app=a","write_id":"x"}`))
	f.Add([]byte(`{"name":"a","host":"127.0.0.1:6081","zone":"a","labels":{"app":"a"},"weight":7,"write_id":""}`))
	f.Add([]byte(`{"name":"a"} {}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if service, err := DecodeService(ServicePrefix+"a", value); err == nil {
			if _, err := EncodeService(&service); err != nil {
				t.Fatalf("decoded %q, but cannot encode it: %v", value, err)
			}
		}
		if backend, err := DecodeBackend(BackendPrefix+"a", value); err == nil {
			if _, err := EncodeBackend(&backend); err != nil {
				t.Fatalf("decoded %q, but cannot encode it: %v", value, err)
			}
		}
		_, _ = NewIndex().PutDocument(ServicePrefix+"a", value)
	})
}
