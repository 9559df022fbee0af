package simulation

import (
	"net/http"
	"slices"
	"strings"
)

// bearerScheme is the scheme of an Authorization field that has an API key; its case doesn't count.
const bearerScheme = "Bearer"

// checkTenant judges UNASKED by the header fields of a request that a backend ran or prefilled: they must not contain
// the client's key, and must name once a tenant that had the key. A request without a key of any tenant must name none.
func (o *observations) checkTenant(r *Result, en *Entry) {
	if o.tenants == nil {
		return
	}
	if len(fieldValues(en.Header, HeaderAuthorization)) > 0 {
		o.reportAtEngine(UNASKED, en, "it came with an %s field", HeaderAuthorization)
	}
	tenants, known := o.tenants[r.SentKey()]
	named := fieldValues(en.Header, HeaderTenant)
	switch {
	case len(named) > 1:
		o.reportAtEngine(UNASKED, en, "it names several tenants: %q", named)
	case len(named) == 1 && (named[0] == "" || !slices.Contains(tenants, named[0])):
		o.reportAtEngine(UNASKED, en, "it names the tenant %q, and its key was of %q", named[0], tenants)
	case len(named) == 0 && known && !slices.Contains(tenants, ""):
		o.reportAtEngine(UNASKED, en, "it names no tenant, and its key was of %q", tenants)
	}
}

// apiKey returns the API key that a client sent: that of its only Authorization field; "" when there is none.
func apiKey(sent http.Header) string {
	values := fieldValues(sent, HeaderAuthorization)
	if len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.Trim(key, " ")
}

// fieldValues returns the values of all fields with a name, ignoring the case of the name and white space around it.
func fieldValues(h http.Header, name string) []string {
	var values []string
	for key, more := range h {
		if strings.EqualFold(strings.TrimSpace(key), name) {
			values = append(values, more...)
		}
	}
	return values
}
