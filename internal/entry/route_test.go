package entry

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against an encoded slash that counts as the end of a service's prefix, so that a call goes to another service, and against
// a call whose path is changed on its way.
func TestPathOfACall(t *testing.T) {
	const prefix = "/ledger/admin/"
	for _, c := range []struct {
		target string
		// want is what the service gets; empty if the path is not below its prefix.
		want string
	}{
		{"/ledger/admin/17", "/17"},
		{"/ledger/admin/a%2Fb?x=%2F", "/a%2Fb?x=%2F"},
		{"/ledger/%61dmin/a%2Fb//c", "/a%2Fb//c"},
		{"/ledger/%61dmin/%7e%41", "/%7e%41"},
		{"/ledger/%61dmin/a%252Fb", "/a%252Fb"},
		{"/ledger/admin/", "/"},
		{"/ledger/admin%2F17", ""},
		{"/ledger/admin%2f17/18", ""},
		{"/ledger%2Fadmin/17", ""},
		{"/ledger/admin%252F17", ""},
	} {
		r := httptest.NewRequest("GET", c.target, nil)
		if below := strings.HasPrefix(routedPath(r), prefix); below != (c.want != "") {
			t.Errorf("%s: below the prefix: %t", c.target, below)
			continue
		}
		if c.want == "" {
			continue
		}
		if got := servicePath(r, prefix); got != c.want {
			t.Errorf("%s: the service gets %s, want %s", c.target, got, c.want)
		}
	}
}
