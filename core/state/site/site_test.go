package site_test

import (
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/site"
)

func config(t *testing.T) *site.Config {
	t.Helper()
	c, err := site.New(site.Spec{
		Version: 3,
		Routes: []*site.Route{
			{Name: "all", Host: "a.example", PathPrefix: "/"},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
			{Name: "open", Host: "A.example", PathPrefix: "/x/", Public: true},
		},
		Accounts: map[string]*site.Account{"key": {Name: "acme"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestMatchUsesLongestPrefix(t *testing.T) {
	is := is.New(t)
	c := config(t)
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/z": "open", "/x/y": "open", "/q": "all", "/x/../x/y/": "open"} {
		r, ok := c.Match("a.EXAMPLE", path)
		is.True(ok)
		is.Equal(r.Name, want) // the path is not normalized
	}
	_, ok := c.Match("b.example", "/x/")
	is.True(!ok)
}

func TestPublicRoutesNeedNoKey(t *testing.T) {
	is := is.New(t)
	c := config(t)
	open, _ := c.Match("a.example", "/x/")
	closed, _ := c.Match("a.example", "/")
	is.True(!c.NeedsKey(open))
	is.True(c.NeedsKey(closed))
	_, ok := c.Account("other")
	is.True(!ok)
}

func TestConfigWithoutRoutesIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := site.New(site.Spec{Version: 1})
	is.Equal(err, site.ErrNoRoutes)
}
