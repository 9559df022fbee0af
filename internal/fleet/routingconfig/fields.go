package routingconfig

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// The rules of single fields. Those that look at several items stand in decode.go.
var (
	ruleRequired = validation.Required.Error("must be given and not be empty")
	rulePositive = []validation.Rule{
		validation.Required.Error("must be above 0"),
		validation.Min(0.0).Exclusive().Error("must be above 0"),
	}
	ruleVersion = []validation.Rule{
		validation.Required.Error("must be above 0"),
		validation.Min(int64(1)).Error("must be above 0"),
	}
	ruleNotNegative = validation.Min(0.0).Error("must not be negative")
	ruleCount       = validation.Min(int64(0)).Error("must not be negative")
	ruleKind        = validation.In(KindReadonly, KindMutating, KindStream).
			Error("must be " + KindReadonly + ", " + KindMutating + " or " + KindStream)
	rulePrefix = validation.NewStringRule(func(s string) bool { return s[0] == '/' && s[len(s)-1] == '/' },
		"must begin and end with a slash")
)

// object is an object being read. Its place is told only for a finding.
type object struct {
	found  *Findings
	names  map[string]string // strings already made, so that items share them
	parent *object           // nil for the body itself
	key    string            // where in the owner
	index  int               // where in the list at key; -1 when there is no list
}

// pathString is the way to the object from the body.
func (o *object) path() string {
	if o.parent == nil {
		return ""
	}
	if o.index < 0 {
		return o.parent.fieldPath(o.key)
	}
	return o.parent.fieldPath(indexed(o.key, o.index))
}

// fieldPath is the place of a field.
func (o *object) fieldPath(key string) string {
	if path := o.path(); path != "" {
		return path + "." + key
	}
	return key
}

// child is the object at a key of this one.
func (o *object) child(key string) *object { return o.item(key, -1) }

// item is the object at an index of the list at a key of this one.
func (o *object) item(key string, index int) *object {
	return &object{found: o.found, names: o.names, parent: o, key: key, index: index}
}

func indexed(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

func (o *object) check(key string, value any, rules ...validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		o.found.add(o.fieldPath(key), "%s", err.Error())
	}
}

// absent tells whether a value counts as not given.
func absent(raw json.RawMessage) bool { return len(raw) == 0 || raw[0] == 'n' }

// stringValue reads a string.
func (o *object) stringValue(key string, raw json.RawMessage, into *string) {
	if absent(raw) {
		return
	}
	if raw[0] != '"' {
		o.found.add(o.fieldPath(key), "must be a string")
		return
	}
	b := unquote(raw)
	s, known := o.names[string(b)]
	if !known {
		s = string(b)
		o.names[s] = s
	}
	*into = s
}

// boolValue reads true or false.
func (o *object) boolValue(key string, raw json.RawMessage, into *bool) {
	if absent(raw) {
		return
	}
	if raw[0] != 't' && raw[0] != 'f' {
		o.found.add(o.fieldPath(key), "must be true or false")
		return
	}
	*into = raw[0] == 't'
}

// numberValue reads a number.
func (o *object) numberValue(key string, raw json.RawMessage, into *float64) bool {
	if absent(raw) {
		return false
	}
	if raw[0] != '-' && (raw[0] < '0' || raw[0] > '9') {
		o.found.add(o.fieldPath(key), "must be a number")
		return false
	}
	f, err := strconv.ParseFloat(string(raw), 64)
	if err != nil {
		o.found.add(o.fieldPath(key), "the number is too large")
		return false
	}
	*into = f
	return true
}

// integerValue reads a whole number; 7.0 and 7e0 are whole too.
func (o *object) integerValue(key string, raw json.RawMessage, into *int64) bool {
	if n, err := strconv.ParseInt(string(raw), 10, 64); err == nil {
		*into = n
		return true
	}
	var f float64
	if !o.numberValue(key, raw, &f) {
		return false
	}
	if f != math.Trunc(f) || math.Abs(f) >= 1<<63 {
		o.found.add(o.fieldPath(key), "must be a whole number of at most 64 bits")
		return false
	}
	*into = int64(f)
	return true
}

// nonNegativeInteger reads a whole number that isn't negative.
func (o *object) nonNegativeInteger(key string, raw json.RawMessage, into *int64) {
	if o.integerValue(key, raw, into) {
		o.check(key, *into, ruleCount)
	}
}

// nonNegativeInt is count for an int.
func (o *object) nonNegativeInt(key string, raw json.RawMessage, into *int) {
	var n int64
	o.nonNegativeInteger(key, raw, &n)
	*into = int(min(max(n, 0), math.MaxInt32))
}

// nonNegativeNumber reads a number that isn't negative.
func (o *object) nonNegativeNumber(key string, raw json.RawMessage, into *float64) {
	if o.numberValue(key, raw, into) {
		o.check(key, *into, ruleNotNegative)
	}
}

// requireObject tells whether the value of this object is one, and notes a finding where it isn't.
func (o *object) requireObject(raw json.RawMessage) bool {
	if raw[0] != '{' {
		o.found.add(o.path(), "must be an object")
	}
	return raw[0] == '{'
}

// requireList tells whether the value at key is a list, and notes a finding where it isn't.
func (o *object) requireList(key string, raw json.RawMessage) bool {
	if raw[0] != '[' {
		o.found.add(o.fieldPath(key), "must be a list")
	}
	return raw[0] == '['
}

// route reads one route.
func (o *object) route(raw json.RawMessage) *routeItem {
	r := &routeItem{raw: raw}
	if !o.requireObject(raw) {
		return r
	}
	var shares json.RawMessage
	timed := true
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "name":
			o.stringValue("name", v, &r.Name)
		case "hostname":
			o.stringValue("hostname", v, &r.Hostname)
		case "pfx":
			o.stringValue("pfx", v, &r.Prefix)
		case "kind":
			o.stringValue("kind", v, &r.Kind)
		case "deadline_ms":
			timed = o.numberValue("deadline_ms", v, &r.DeadlineMs) || absent(v)
		case "target_ms":
			o.nonNegativeNumber("target_ms", v, &r.LatencyTargetMs)
		case "prio":
			o.nonNegativeInt("prio", v, &r.Priority)
		case "svc":
			o.stringValue("svc", v, &r.ServiceName)
		case "shares":
			shares = v
		case "tries":
			o.nonNegativeInt("tries", v, &r.MaxAttempts)
		case "pin":
			o.boolValue("pin", v, &r.PrefixAffinity)
		case "resumable":
			o.boolValue("resumable", v, &r.Resumable)
		case "gap_aim_ms":
			o.nonNegativeNumber("gap_aim_ms", v, &r.EventGapTargetMs)
		case "tenant":
			o.tenantName(v, &r.Tenant)
		case "regions":
			r.Regions = o.regions(v)
		}
	})
	r.MaxAttempts = max(r.MaxAttempts, 1)
	o.check("name", r.Name, ruleRequired)
	o.check("hostname", r.Hostname, ruleRequired)
	o.check("pfx", r.Prefix, ruleRequired, rulePrefix)
	o.check("kind", r.Kind, ruleRequired, ruleKind)
	if timed {
		o.check("deadline_ms", r.DeadlineMs, rulePositive...)
	}
	if !absent(shares) && o.requireList("shares", shares) {
		o.weightedServices(r, shares)
	}
	if r.ServiceName == "" && len(r.Split) == 0 {
		o.found.add(o.path(), "must name a service in svc or shares")
	}
	return r
}

// tenantName reads whose requests a route's are. What is there must say it: null or an empty name may be a slip, and would
// mean anywhere.
func (o *object) tenantName(raw json.RawMessage, into *string) {
	if absent(raw) {
		o.found.add(o.fieldPath("tenant"), "must be a string (leave it out where there is no tenant)")
		return
	}
	was := len(*o.found)
	if o.stringValue("tenant", raw, into); len(*o.found) == was {
		o.check("tenant", *into, ruleRequired)
	}
}

// regions reads the regions that may hold data: never nil, so that a slip doesn't mean anywhere.
func (o *object) regions(raw json.RawMessage) []string {
	out := []string{}
	if absent(raw) {
		o.found.add(o.fieldPath("regions"), "must be a list (leave it out where anywhere will do)")
		return out
	}
	if !o.requireList("regions", raw) {
		return out
	}
	items := 0
	eachItem(raw, func(i int, v json.RawMessage) {
		items++
		var name string
		key := indexed("regions", i)
		if absent(v) {
			o.found.add(o.fieldPath(key), "must be a string")
			return
		}
		was := len(*o.found)
		if o.stringValue(key, v, &name); len(*o.found) > was {
			return
		}
		if name == "" {
			o.found.add(o.fieldPath(key), "must not be empty")
		} else if slices.Contains(out, name) {
			o.found.add(o.fieldPath(key), "%q is there already", name)
		}
		out = append(out, name)
	})
	if items == 0 {
		o.found.add(o.fieldPath("regions"), "must name a region")
	}
	return out
}

// tenant reads one tenant.
func (o *object) tenant(raw json.RawMessage) *tenantItem {
	t := &tenantItem{raw: raw}
	if !o.requireObject(raw) {
		return t
	}
	given := false
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "name":
			o.stringValue("name", v, &t.Name)
		case "regions":
			given = true
			t.Regions = o.regions(v)
		}
	})
	o.check("name", t.Name, ruleRequired)
	if !given {
		o.found.add(o.fieldPath("regions"), "must be given")
	}
	return t
}

// weightedServices reads the weights of a route.
func (o *object) weightedServices(r *routeItem, raw json.RawMessage) {
	total, clean := 0.0, true
	eachItem(raw, func(i int, v json.RawMessage) {
		var s WeightedServiceSpec
		in, weighed := o.item("shares", i), false
		if !in.requireObject(v) {
			clean = false
			r.Split = append(r.Split, s) // so that it doesn't count as not given
			return
		}
		eachField(v, func(k []byte, f json.RawMessage) {
			switch string(k) {
			case "svc":
				in.stringValue("svc", f, &s.ServiceName)
			case "wt":
				weighed = true
				if absent(f) {
					weighed = false
				} else if !in.numberValue("wt", f, &s.Weight) {
					clean = false
				}
			}
		})
		in.check("svc", s.ServiceName, ruleRequired)
		if !weighed {
			in.found.add(in.fieldPath("wt"), "must be given")
			clean = false
		}
		if in.check("wt", s.Weight, ruleNotNegative); s.Weight < 0 {
			clean = false
		}
		total += s.Weight
		r.Split = append(r.Split, s)
	})
	if clean && len(r.Split) > 0 && total == 0 {
		o.found.add(o.fieldPath("shares"), "the weights add up to 0")
	}
	if math.IsInf(total, 0) {
		o.found.add(o.fieldPath("shares"), "the weights are too large")
	}
}

// service reads one service.
func (o *object) service(raw json.RawMessage) *serviceItem {
	s := &serviceItem{raw: raw}
	if !o.requireObject(raw) {
		return s
	}
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "name":
			o.stringValue("name", v, &s.Name)
		case "probe":
			o.stringValue("probe", v, &s.HealthCheckPath)
		case "maxconn":
			o.nonNegativeInt("maxconn", v, &s.MaxConn)
		case "proto":
			o.stringValue("proto", v, &s.Proto)
		case "ssl":
			o.boolValue("ssl", v, &s.SSL)
		case "runtime":
			if run := o.child("runtime"); !absent(v) && run.requireObject(v) {
				s.Runtime = run.runtime(v)
			}
		}
	})
	o.check("name", s.Name, ruleRequired)
	return s
}

func (o *object) runtime(raw json.RawMessage) *Runtime {
	r := &Runtime{}
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "capacity":
			o.nonNegativeInt("capacity", v, &r.Capacity)
		case "kv_ntok":
			o.nonNegativeInteger("kv_ntok", v, &r.KVCacheTokens)
		case "kv_tok_bytes":
			o.nonNegativeNumber("kv_tok_bytes", v, &r.KVTokenBytes)
		case "bw_mbps":
			o.nonNegativeNumber("bw_mbps", v, &r.KVTransferMbps)
		case "stride":
			o.nonNegativeNumber("stride", v, &r.Stride)
		case "kv_ref_s":
			o.nonNegativeNumber("kv_ref_s", v, &r.KVHandleTTLSeconds)
		case "swap_s":
			o.nonNegativeNumber("swap_s", v, &r.PhaseChangeSeconds)
		case "model_list":
			if absent(v) || !o.requireList("model_list", v) {
				return
			}
			eachItem(v, func(i int, item json.RawMessage) {
				var m Model
				in := o.item("model_list", i)
				if !in.requireObject(item) {
					return
				}
				eachField(item, func(k []byte, f json.RawMessage) {
					if string(k) == "name" {
						in.stringValue("name", f, &m.Name)
					}
				})
				r.Models = append(r.Models, m)
			})
		}
	})
	return r
}

func (o *object) limits(raw json.RawMessage) *Limits {
	l := &Limits{}
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "hdr_max_bytes":
			o.nonNegativeInteger("hdr_max_bytes", v, &l.MaxHeaderBytes)
		case "body_max_bytes":
			o.nonNegativeInteger("body_max_bytes", v, &l.MaxBodyBytes)
		case "hdr_timeout_ms":
			o.nonNegativeNumber("hdr_timeout_ms", v, &l.HeaderTimeoutMs)
		case "idle_timeout_ms":
			o.nonNegativeNumber("idle_timeout_ms", v, &l.IdleTimeoutMs)
		}
	})
	return l
}

// lowerHost is a host name in lower case, of ASCII letters only.
func lowerHost(host string) string {
	return strings.Map(func(r rune) rune {
		if 'A' <= r && r <= 'Z' {
			return r + 'a' - 'A'
		}
		return r
	}, host)
}
