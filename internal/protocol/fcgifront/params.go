package fcgifront

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"molepaddle/internal/protocol/fcgi"
	"molepaddle/internal/protocol/intake"
	"molepaddle/internal/protocol/window"
)

// The variables that are read. A request that has one of them twice is rejected, as a reader that takes the other
// value would see a different request. All other variables are ignored, HTTP_PROXY among them.
const (
	vMethod = iota
	vURI
	vScript
	vPath
	vQuery
	vLength
	vType
	vHost
	vServer
	vID
	vKey
	vTimeout
	vTenant
	vHint
	vRetry
	variableCount
)

var variableIndex = map[string]int{
	"REQUEST_METHOD":       vMethod,
	"REQUEST_URI":          vURI,
	"SCRIPT_NAME":          vScript,
	"PATH_INFO":            vPath,
	"QUERY_STRING":         vQuery,
	"CONTENT_LENGTH":       vLength,
	"CONTENT_TYPE":         vType,
	"HTTP_HOST":            vHost,
	"SERVER_NAME":          vServer,
	"HTTP_REQUEST_ID":      vID,
	"HTTP_IDEMPOTENCY_KEY": vKey,
	"HTTP_REQUEST_TIMEOUT": vTimeout,
	"HTTP_TENANT":          vTenant,
	"HTTP_WORK_HINT":       vHint,
	"HTTP_CLIENT_RETRY":    vRetry,
}

// fields parses a request's fields from its params.
func fields(params []byte) (*intake.Fields, *intake.Problem) {
	var all [variableCount]string
	var seen [variableCount]bool
	for len(params) > 0 {
		name, value, rest, err := fcgi.NextPair(params)
		if err != nil {
			return nil, &intake.Problem{Status: http.StatusBadRequest, Text: "params: cut short"}
		}
		params = rest
		i, counts := variableIndex[string(name)]
		if !counts {
			continue
		}
		if seen[i] {
			return nil, &intake.Problem{Status: http.StatusBadRequest, Text: string(name) + ": more than one"}
		}
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return nil, &intake.Problem{Status: http.StatusBadRequest, Text: string(name) + ": a control character"}
			}
		}
		seen[i], all[i] = true, string(value)
	}
	f := &intake.Fields{
		Method:         all[vMethod],
		ID:             all[vID],
		IdempotencyKey: all[vKey],
		ContentType:    all[vType],
		Timeout:        all[vTimeout],
		Tenant:         all[vTenant],
		Hint:           all[vHint],
		Retry:          all[vRetry],
		Host:           all[vHost],
		Length:         -1,
	}
	if f.Host == "" {
		f.Host = all[vServer]
	}
	if problem := setLength(f, all[vLength]); problem != nil {
		return nil, problem
	}
	if f.Target = all[vURI]; f.Target != "" {
		if problem := setPath(f); problem != nil {
			return nil, problem
		}
		return f, nil
	}
	f.Path = all[vScript] + all[vPath]
	f.Target = (&url.URL{Path: f.Path, RawQuery: strings.ReplaceAll(all[vQuery], " ", "%20")}).RequestURI()
	return f, nil
}

// setLength parses CONTENT_LENGTH; a GET or HEAD without it has no body.
func setLength(f *intake.Fields, text string) *intake.Problem {
	if text != "" {
		n, err := strconv.ParseUint(text, 10, 62)
		switch {
		case err != nil && !errors.Is(err, strconv.ErrRange):
			return &intake.Problem{Status: http.StatusBadRequest, Text: "CONTENT_LENGTH: no number"}
		case err != nil || n > window.Most:
			return &intake.Problem{Status: http.StatusRequestEntityTooLarge, Text: "body: above 32 MiB"}
		}
		f.Length = int64(n)
	} else if f.Method == http.MethodGet || f.Method == http.MethodHead {
		f.Length = 0
	}
	return nil
}

// setPath converts the target to origin form and sets the decoded path.
func setPath(f *intake.Fields) *intake.Problem {
	if i := strings.Index(f.Target, "://"); i > 0 && !strings.HasPrefix(f.Target, "/") { // absolute form
		rest := f.Target[i+3:]
		f.Target = "/"
		if slash := strings.IndexAny(rest, "/?"); slash >= 0 {
			f.Target = "/" + strings.TrimPrefix(rest[slash:], "/")
		}
	}
	path, _, _ := strings.Cut(f.Target, "?")
	plain, err := url.PathUnescape(path)
	if err != nil || strings.ContainsRune(f.Target, ' ') {
		return &intake.Problem{Status: http.StatusBadRequest, Text: "REQUEST_URI: no path"}
	}
	f.Path = plain
	return nil
}
