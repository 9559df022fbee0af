package routingconfig

import (
	"encoding/json"
	"math"
	"slices"
)

// routes reads a list of routes; nil for null.
func (o *object) routes(key string, raw json.RawMessage) []*routeItem {
	return readItems(o, key, raw, (*object).route)
}

// services reads a list of services; nil for null.
func (o *object) services(key string, raw json.RawMessage) []*serviceItem {
	return readItems(o, key, raw, (*object).service)
}

// tenants reads a list of tenants; never nil, so that Show includes an empty list.
func (o *object) tenants(key string, raw json.RawMessage) []*tenantItem {
	if tenants := readItems(o, key, raw, (*object).tenant); tenants != nil {
		return tenants
	}
	return []*tenantItem{}
}

// route reads one route.
func (o *object) route(raw json.RawMessage) *routeItem {
	r := &routeItem{raw: raw}
	if !o.requireObject(raw) {
		return r
	}
	var shares json.RawMessage
	deadlineValid := true // false if its type is wrong, so that it isn't reported as missing too
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
			deadlineValid = o.numberValue("deadline_ms", v, &r.DeadlineMs) || absent(v)
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
		case "public":
			o.boolValue("public", v, &r.Public)
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
	if deadlineValid {
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

// tenantName reads the name of a route's tenant. null or an empty name is rejected: if it were a mistake, the data
// could be stored in any region.
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

// regions reads the regions in which data may be stored. It never returns nil, which would mean any region, so that a
// mistake doesn't allow any region.
func (o *object) regions(raw json.RawMessage) []string {
	regions := []string{}
	if absent(raw) {
		o.found.add(o.fieldPath("regions"), "must be a list (leave it out where anywhere will do)")
		return regions
	}
	if !o.requireList("regions", raw) {
		return regions
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
		} else if slices.Contains(regions, name) {
			o.found.add(o.fieldPath(key), "%q is there already", name)
		}
		regions = append(regions, name)
	})
	if items == 0 {
		o.found.add(o.fieldPath("regions"), "must name a region")
	}
	return regions
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

// weightedServices reads the services of a route that is split.
func (o *object) weightedServices(r *routeItem, raw json.RawMessage) {
	total, valid := 0.0, true
	eachItem(raw, func(i int, v json.RawMessage) {
		s, ok := o.item("shares", i).weightedService(v)
		valid = valid && ok
		total += s.Weight
		r.Split = append(r.Split, s) // even if invalid, so that the split doesn't count as not given
	})
	if valid && len(r.Split) > 0 && total == 0 {
		o.found.add(o.fieldPath("shares"), "the weights add up to 0")
	}
	if math.IsInf(total, 0) {
		o.found.add(o.fieldPath("shares"), "the weights are too large")
	}
}

// weightedService reads one service of a split. It reports whether the weight is valid.
func (o *object) weightedService(raw json.RawMessage) (s WeightedServiceSpec, valid bool) {
	if !o.requireObject(raw) {
		return s, false
	}
	valid = true
	given := false
	eachField(raw, func(k []byte, v json.RawMessage) {
		switch string(k) {
		case "svc":
			o.stringValue("svc", v, &s.ServiceName)
		case "wt":
			given = !absent(v)
			if given && !o.numberValue("wt", v, &s.Weight) {
				valid = false
			}
		}
	})
	o.check("svc", s.ServiceName, ruleRequired)
	if !given {
		o.found.add(o.fieldPath("wt"), "must be given")
	}
	o.check("wt", s.Weight, ruleNotNegative)
	return s, valid && given && s.Weight >= 0
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

// runtime reads how a service's backends run requests.
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
			r.Models = o.models("model_list", v)
		}
	})
	return r
}

// models reads a list of models; nil for null.
func (o *object) models(key string, raw json.RawMessage) []Model {
	if absent(raw) || !o.requireList(key, raw) {
		return nil
	}
	var models []Model
	eachItem(raw, func(i int, v json.RawMessage) {
		item := o.item(key, i)
		if !item.requireObject(v) {
			return
		}
		var m Model
		eachField(v, func(k []byte, f json.RawMessage) {
			if string(k) == "name" {
				item.stringValue("name", f, &m.Name)
			}
		})
		models = append(models, m)
	})
	return models
}

// limits reads the operator's limits on clients.
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
