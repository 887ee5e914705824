package ident_test

import (
	"testing"

	"github.com/vanillaroute/vanillaroute/ident"
)

func FuzzEvent(f *testing.F) {
	f.Add("router-1/engine-2/abc/17")
	f.Add("//x/0")
	f.Add("a/b/c/-1")
	f.Fuzz(func(t *testing.T, s string) {
		e, err := ident.ParseEvent(s)
		if err != nil {
			return
		}
		reparsed, err := ident.ParseEvent(e.String())
		if err != nil || reparsed != e {
			t.Errorf("%q: got %v, %v, want %v", s, reparsed, err, e)
		}
	})
}
