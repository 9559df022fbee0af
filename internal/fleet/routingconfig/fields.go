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
	ruleGiven    = validation.Required.Error("must be given and not be empty")
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
	found *Findings
	names map[string]string // strings already made, so that items share them
	owner *object           // nil for the body itself
	key   string            // where in the owner
	index int               // where in the list at key; -1 when there is no list
}

// place is the way to the object from the body.
func (o *object) place() string {
	if o.owner == nil {
		return ""
	}
	if o.index < 0 {
		return o.owner.at(o.key)
	}
	return o.owner.at(indexed(o.key, o.index))
}

// at is the place of a field.
func (o *object) at(key string) string {
	if place := o.place(); place != "" {
		return place + "." + key
	}
	return key
}

// within is the object at a key of this one.
func (o *object) within(key string) *object { return o.item(key, -1) }

// item is the object at an index of the list at a key of this one.
func (o *object) item(key string, index int) *object {
	return &object{found: o.found, names: o.names, owner: o, key: key, index: index}
}

func indexed(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }

func (o *object) check(key string, value any, rules ...validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		o.found.add(o.at(key), "%s", err.Error())
	}
}

// absent tells whether a value counts as not given.
func absent(raw json.RawMessage) bool { return len(raw) == 0 || raw[0] == 'n' }

// text reads a string.
func (o *object) text(key string, raw json.RawMessage, into *string) {
	if absent(raw) {
		return
	}
	if raw[0] != '"' {
		o.found.add(o.at(key), "must be a string")
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

// flag reads true or false.
func (o *object) flag(key string, raw json.RawMessage, into *bool) {
	if absent(raw) {
		return
	}
	if raw[0] != 't' && raw[0] != 'f' {
		o.found.add(o.at(key), "must be true or false")
		return
	}
	*into = raw[0] == 't'
}

// number reads a number.
func (o *object) number(key string, raw json.RawMessage, into *float64) bool {
	if absent(raw) {
		return false
	}
	if raw[0] != '-' && (raw[0] < '0' || raw[0] > '9') {
		o.found.add(o.at(key), "must be a number")
		return false
	}
	f, err := strconv.ParseFloat(string(raw), 64)
	if err != nil {
		o.found.add(o.at(key), "the number is too large")
		return false
	}
	*into = f
	return true
}

// whole reads a whole number; 7.0 and 7e0 are whole too.
func (o *object) whole(key string, raw json.RawMessage, into *int64) bool {
	if n, err := strconv.ParseInt(string(raw), 10, 64); err == nil {
		*into = n
		return true
	}
	var f float64
	if !o.number(key, raw, &f) {
		return false
	}
	if f != math.Trunc(f) || math.Abs(f) >= 1<<63 {
		o.found.add(o.at(key), "must be a whole number of at most 64 bits")
		return false
	}
	*into = int64(f)
	return true
}

// count reads a whole number that isn't negative.
func (o *object) count(key string, raw json.RawMessage, into *int64) {
	if o.whole(key, raw, into) {
		o.check(key, *into, ruleCount)
	}
}

// small is count for an int.
func (o *object) small(key string, raw json.RawMessage, into *int) {
	var n int64
	o.count(key, raw, &n)
	*into = int(min(max(n, 0), math.MaxInt32))
}

// measure reads a number that isn't negative.
func (o *object) measure(key string, raw json.RawMessage, into *float64) {
	if o.number(key, raw, into) {
		o.check(key, *into, ruleNotNegative)
	}
}

// is tells whether the value of this object is one, and notes a finding where it isn't.
func (o *object) is(raw json.RawMessage) bool {
	if raw[0] != '{' {
		o.found.add(o.place(), "must be an object")
	}
	return raw[0] == '{'
}

// isList tells whether the value at key is a list, and notes a finding where it isn't.
func (o *object) isList(key string, raw json.RawMessage) bool {
	if raw[0] != '[' {
		o.found.add(o.at(key), "must be a list")
	}
	return raw[0] == '['
}

// route reads one route.
func (o *object) route(raw json.RawMessage) *routeItem {
	r := &routeItem{raw: raw}
	if !o.is(raw) {
		return r
	}
	var shares json.RawMessage
	timed := true
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "name":
			o.text("name", v, &r.Name)
		case "hostname":
			o.text("hostname", v, &r.Hostname)
		case "pfx":
			o.text("pfx", v, &r.Prefix)
		case "kind":
			o.text("kind", v, &r.Kind)
		case "deadline_ms":
			timed = o.number("deadline_ms", v, &r.DeadlineMs) || absent(v)
		case "target_ms":
			o.measure("target_ms", v, &r.TargetMs)
		case "prio":
			o.small("prio", v, &r.Priority)
		case "svc":
			o.text("svc", v, &r.ServiceName)
		case "shares":
			shares = v
		case "tries":
			o.small("tries", v, &r.Tries)
		case "pin":
			o.flag("pin", v, &r.Pin)
		case "resumable":
			o.flag("resumable", v, &r.Resumable)
		case "gap_aim_ms":
			o.measure("gap_aim_ms", v, &r.GapAimMs)
		case "tenant":
			o.tenantName(v, &r.Tenant)
		case "regions":
			r.Regions = o.regions(v)
		}
	})
	r.Tries = max(r.Tries, 1)
	o.check("name", r.Name, ruleGiven)
	o.check("hostname", r.Hostname, ruleGiven)
	o.check("pfx", r.Prefix, ruleGiven, rulePrefix)
	o.check("kind", r.Kind, ruleGiven, ruleKind)
	if timed {
		o.check("deadline_ms", r.DeadlineMs, rulePositive...)
	}
	if !absent(shares) && o.isList("shares", shares) {
		o.shares(r, shares)
	}
	if r.ServiceName == "" && len(r.Split) == 0 {
		o.found.add(o.place(), "must name a service in svc or shares")
	}
	return r
}

// tenantName reads whose requests a route's are. What is there must say it: null or an empty name may be a slip, and would
// mean anywhere.
func (o *object) tenantName(raw json.RawMessage, into *string) {
	if absent(raw) {
		o.found.add(o.at("tenant"), "must be a string (leave it out where there is no tenant)")
		return
	}
	was := len(*o.found)
	if o.text("tenant", raw, into); len(*o.found) == was {
		o.check("tenant", *into, ruleGiven)
	}
}

// regions reads the regions that may hold data: never nil, so that a slip doesn't mean anywhere.
func (o *object) regions(raw json.RawMessage) []string {
	out := []string{}
	if absent(raw) {
		o.found.add(o.at("regions"), "must be a list (leave it out where anywhere will do)")
		return out
	}
	if !o.isList("regions", raw) {
		return out
	}
	items := 0
	eachItem(raw, func(i int, v json.RawMessage) {
		items++
		var name string
		key := indexed("regions", i)
		if absent(v) {
			o.found.add(o.at(key), "must be a string")
			return
		}
		was := len(*o.found)
		if o.text(key, v, &name); len(*o.found) > was {
			return
		}
		if name == "" {
			o.found.add(o.at(key), "must not be empty")
		} else if slices.Contains(out, name) {
			o.found.add(o.at(key), "%q is there already", name)
		}
		out = append(out, name)
	})
	if items == 0 {
		o.found.add(o.at("regions"), "must name a region")
	}
	return out
}

// tenant reads one tenant.
func (o *object) tenant(raw json.RawMessage) *tenantItem {
	t := &tenantItem{raw: raw}
	if !o.is(raw) {
		return t
	}
	given := false
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "name":
			o.text("name", v, &t.Name)
		case "regions":
			given = true
			t.Regions = o.regions(v)
		}
	})
	o.check("name", t.Name, ruleGiven)
	if !given {
		o.found.add(o.at("regions"), "must be given")
	}
	return t
}

// shares reads the weights of a route.
func (o *object) shares(r *routeItem, raw json.RawMessage) {
	total, clean := 0.0, true
	eachItem(raw, func(i int, v json.RawMessage) {
		var s ShareSpec
		in, weighed := o.item("shares", i), false
		if !in.is(v) {
			clean = false
			r.Split = append(r.Split, s) // so that it doesn't count as not given
			return
		}
		eachField(v, func(k []byte, f json.RawMessage) {
			switch string(k) {
			case "svc":
				in.text("svc", f, &s.ServiceName)
			case "wt":
				weighed = true
				if absent(f) {
					weighed = false
				} else if !in.number("wt", f, &s.Weight) {
					clean = false
				}
			}
		})
		in.check("svc", s.ServiceName, ruleGiven)
		if !weighed {
			in.found.add(in.at("wt"), "must be given")
			clean = false
		}
		if in.check("wt", s.Weight, ruleNotNegative); s.Weight < 0 {
			clean = false
		}
		total += s.Weight
		r.Split = append(r.Split, s)
	})
	if clean && len(r.Split) > 0 && total == 0 {
		o.found.add(o.at("shares"), "the weights add up to 0")
	}
	if math.IsInf(total, 0) {
		o.found.add(o.at("shares"), "the weights are too large")
	}
}

// service reads one service.
func (o *object) service(raw json.RawMessage) *serviceItem {
	s := &serviceItem{raw: raw}
	if !o.is(raw) {
		return s
	}
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "name":
			o.text("name", v, &s.Name)
		case "probe":
			o.text("probe", v, &s.Probe)
		case "maxconn":
			o.small("maxconn", v, &s.MaxConn)
		case "proto":
			o.text("proto", v, &s.Proto)
		case "ssl":
			o.flag("ssl", v, &s.SSL)
		case "runtime":
			if run := o.within("runtime"); !absent(v) && run.is(v) {
				s.Runtime = run.runtime(v)
			}
		}
	})
	o.check("name", s.Name, ruleGiven)
	return s
}

func (o *object) runtime(raw json.RawMessage) *Runtime {
	r := &Runtime{}
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "capacity":
			o.small("capacity", v, &r.Capacity)
		case "kv_ntok":
			o.count("kv_ntok", v, &r.KVTokens)
		case "kv_tok_bytes":
			o.measure("kv_tok_bytes", v, &r.KVTokenBytes)
		case "bw_mbps":
			o.measure("bw_mbps", v, &r.LinkMbps)
		case "stride":
			o.measure("stride", v, &r.Stride)
		case "kv_ref_s":
			o.measure("kv_ref_s", v, &r.HandleSeconds)
		case "swap_s":
			o.measure("swap_s", v, &r.SwapSeconds)
		case "model_list":
			if absent(v) || !o.isList("model_list", v) {
				return
			}
			eachItem(v, func(i int, item json.RawMessage) {
				var m Model
				in := o.item("model_list", i)
				if !in.is(item) {
					return
				}
				eachField(item, func(k []byte, f json.RawMessage) {
					if string(k) == "name" {
						in.text("name", f, &m.Name)
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
			o.count("hdr_max_bytes", v, &l.HeaderBytes)
		case "body_max_bytes":
			o.count("body_max_bytes", v, &l.BodyBytes)
		case "hdr_timeout_ms":
			o.measure("hdr_timeout_ms", v, &l.HeaderTimeoutMs)
		case "idle_timeout_ms":
			o.measure("idle_timeout_ms", v, &l.IdleTimeoutMs)
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
