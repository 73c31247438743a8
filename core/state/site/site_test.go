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

// The accounts that share cached parts use another scope whenever the set of isolated
// accounts changes; an isolated account has its own.
func TestCacheScopeFollowsTheIsolatedAccounts(t *testing.T) {
	is := is.New(t)
	scope := func(a *site.Account, isolated ...string) string {
		c, err := site.New(site.Spec{Routes: []*site.Route{{Name: "all"}}, Isolated: isolated})
		is.NoErr(err)
		return c.CacheScope(a)
	}
	acme := &site.Account{Name: "acme"}
	is.Equal(scope(acme), "")
	is.Equal(scope(acme, "bolt"), scope(nil, "bolt"))
	is.Equal(scope(acme, "bolt", "cobalt"), scope(acme, "cobalt", "bolt", "bolt"))
	is.Equal(scope(acme, "acme"), "account-acme") // isolated since the request was authenticated
	is.Equal(scope(&site.Account{Name: "acme", Isolated: true}, "bolt"), "account-acme")
	scopes := map[string]bool{scope(acme): true, scope(acme, "bolt"): true, scope(acme, "cobalt"): true, scope(acme, "bolt", "cobalt"): true}
	is.Equal(len(scopes), 4)
}
