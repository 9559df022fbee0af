package drawndays

import "slices"

// template is a kind of trouble with the ranges its parameters are drawn from.
type template struct {
	kind       string
	plan       bool // planned work
	control    bool // concerns the control plane
	parameters []parameter
}

// parameter is one field of an entry: a number between low and high, or one of some texts.
type parameter struct {
	key       string
	low, high float64
	whole     bool
	texts     []string
	also      []string // words of which each may stand behind the text
}

// What stands for a name of the deployment.
const (
	placeService = "(service)"
	placeZone    = "(zone)"
	placeClass   = "(class)"
)

func amount(key string, low, high float64) parameter {
	return parameter{key: key, low: low, high: high}
}

func counted(key string, low, high float64) parameter {
	return parameter{key: key, low: low, high: high, whole: true}
}

func text(key string, texts ...string) parameter { return parameter{key: key, texts: texts} }

func textAnd(key string, texts, also []string) parameter {
	return parameter{key: key, texts: texts, also: also}
}

// after are the words that may stand after who is meant, for machines that come back.
var after = []string{"meet", "race", "hard", "drain"}

// templates are all kinds that the bench names, with their variants. Some stand several times: variants whose fields differ.
var templates = []template{
	{kind: "burst", parameters: []parameter{amount("x", 1.3, 2.5), amount("for_s", 2, 9)}},
	{kind: "burst", parameters: []parameter{text("class", placeClass), amount("x", 1.3, 2.2), amount("for_s", 3, 9)}},
	{kind: "shift", parameters: []parameter{amount("share", 0.2, 0.6), amount("for_s", 3, 8), text("zone", placeZone)}},
	{kind: "retry_abuse", parameters: []parameter{amount("share", 0.05, 0.3), counted("x", 1, 3), amount("for_s", 3, 8)}},
	{kind: "give_up", parameters: []parameter{amount("share", 0.05, 0.4), amount("for_s", 3, 8)}},
	{kind: "srv_crash", parameters: []parameter{text("service", placeService), amount("share", 0.08, 0.2), amount("for_s", 2, 8), text("how", "", "dark")}},
	{kind: "srv_crash", parameters: []parameter{amount("share", 0.08, 0.15), text("how", "gone")}},
	{kind: "srv_slow", parameters: []parameter{amount("share", 0.08, 0.2), amount("x", 2, 6), amount("for_s", 3, 8)}},
	{kind: "srv_grey", parameters: []parameter{amount("share", 0.08, 0.2), amount("x", 0.2, 0.6), amount("for_s", 3, 8),
		textAnd("how", []string{"errors", "shed", "busy", "hang", "reset", "mute"}, []string{"one_zone"}), text("to_zone", placeZone)}},
	{kind: "srv_lying_health", parameters: []parameter{amount("share", 0.06, 0.15), amount("for_s", 3, 8), text("how", "errors", "hang", "reset", "bad")}},
	{kind: "srv_flap", parameters: []parameter{amount("share", 0.06, 0.15), amount("gap_s", 0.6, 2), amount("for_s", 3, 8)}},
	{kind: "srv_cut", parameters: []parameter{amount("share", 0.1, 0.3), amount("for_s", 2, 8), text("how", "", "fronts", "one_way", "reset")}},
	{kind: "release", plan: true, parameters: []parameter{amount("share", 0.2, 0.6), counted("x", 1, 2), amount("gap_s", 0.6, 1.5)}},
	{kind: "replace_with_reuse", parameters: []parameter{amount("share", 0.08, 0.2), text("how", "", "drain", "dark")}},
	{kind: "scale_out", plan: true, parameters: []parameter{amount("share", 0.1, 0.4), amount("gap_s", 1, 4)}},
	{kind: "scale_in", plan: true, parameters: []parameter{amount("share", 0.08, 0.2), text("how", "", "spot")}},
	{kind: "answer_lost", parameters: []parameter{amount("share", 0.2, 0.6), amount("x", 0.01, 0.06), amount("for_s", 3, 8), text("how", "", "reset")}},
	{kind: "garble", parameters: []parameter{amount("share", 0.2, 0.6), amount("x", 0.01, 0.05), amount("for_s", 3, 8), text("how", "", "extra", "unframed", "early", "extra late")}},
	{kind: "idle_race", parameters: []parameter{amount("share", 0.3, 0.7), counted("x", 100, 600), amount("for_s", 3, 9)}},
	{kind: "kv_slow", parameters: []parameter{amount("share", 0.1, 0.4), amount("x", 4, 10), amount("for_s", 3, 8), text("service", placeService)}},
	{kind: "handle_short", parameters: []parameter{amount("share", 0.1, 0.5), amount("for_s", 3, 8), text("service", placeService)}},
	{kind: "hup", plan: true, parameters: []parameter{amount("share", 0.2, 1), amount("gap_s", 0.3, 3)}},
	{kind: "reset_conns", parameters: []parameter{amount("share", 0.1, 0.4), amount("x", 0.3, 1)}},
	{kind: "clock_step", parameters: []parameter{amount("share", 0.1, 0.5), counted("x", 500, 9000), amount("for_s", 2, 8), text("how", "back", "ahead")}},
	{kind: "node_kill", parameters: []parameter{amount("share", 0.05, 0.3), amount("for_s", 1, 6), text("how", "", "power")}},
	{kind: "node_freeze", parameters: []parameter{amount("share", 0.05, 0.25), amount("for_s", 1, 9)}},
	{kind: "node_slow", parameters: []parameter{amount("share", 0.05, 0.25), amount("x", 2, 6), amount("for_s", 2, 8)}},
	{kind: "node_cut", parameters: []parameter{amount("share", 0.05, 0.3), amount("for_s", 2, 20), text("how", "", "all", "servers")}},
	{kind: "herd_kill", parameters: []parameter{amount("share", 0.2, 0.7), amount("for_s", 1, 3), text("how", "", "power")}},
	{kind: "roll_term", plan: true, parameters: []parameter{amount("share", 0.3, 1), counted("x", 1, 2), amount("gap_s", 0.7, 2), text("how", "", "busy", "remove")}},

	{kind: "node_kill", control: true, parameters: []parameter{text("on", "core"), counted("count", 1, 1), amount("for_s", 1, 8),
		textAnd("how", []string{"", "power", "leader", "power leader", "turn", "reader", "seed"}, after)}},
	{kind: "node_freeze", control: true, parameters: []parameter{text("on", "core"), counted("count", 1, 1), amount("for_s", 1, 20),
		textAnd("how", []string{"", "leader", "turn", "reader"}, after)}},
	{kind: "node_slow", control: true, parameters: []parameter{text("on", "core"), counted("count", 1, 1), amount("x", 2, 8), amount("for_s", 2, 8), text("how", "", "leader")}},
	{kind: "roll_term", plan: true, control: true, parameters: []parameter{text("on", "core"), amount("share", 0.5, 1), counted("x", 1, 1), amount("gap_s", 1, 4), text("how", "", "busy", "remove")}},
	{kind: "herd_kill", control: true, parameters: []parameter{text("on", "core"), amount("for_s", 0.5, 2), text("how", "", "power", "taken", "taken all")}},
	{kind: "replace_core", control: true, parameters: []parameter{amount("x", 0.5, 4), text("how", "", "planned", "oldest")}},
	{kind: "seed_turnover", control: true},
	{kind: "after_ack_kill", control: true, parameters: []parameter{amount("for_s", 0.5, 5), text("how", "", "kill", "timed")}},
	{kind: "after_ack_wipe", control: true, parameters: []parameter{amount("for_s", 0.5, 5), text("how", "", "oldest")}},
	{kind: "disk_slow", control: true, parameters: []parameter{counted("count", 1, 2), amount("x", 5, 60), amount("for_s", 2, 10), text("how", "", "leader")}},
	{kind: "disk_stall", control: true, parameters: []parameter{counted("count", 1, 1), amount("for_s", 1, 8), text("how", "", "leader")}},
	{kind: "disk_full", control: true, parameters: []parameter{counted("count", 1, 1), amount("for_s", 1, 10), text("how", "", "leader")}},
	{kind: "core_cut", control: true, parameters: []parameter{counted("count", 1, 1), amount("for_s", 1, 20),
		textAnd("how", []string{"", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "leader", "reset", "refuse", "one_way leader", "all leader", "near leader", "both leader", "turn"}, after)}},
	{kind: "config_change", plan: true, control: true, parameters: []parameter{text("how", "route", "weights", "timeout", "tenant", "quota", "idle")}},
	{kind: "config_storm", plan: true, control: true, parameters: []parameter{amount("for_s", 1, 6), amount("gap_s", 0.05, 0.5)}},
	{kind: "config_race", plan: true, control: true, parameters: []parameter{counted("count", 1, 6), amount("gap_s", 0.2, 1.5)}},
	{kind: "bad_config", plan: true, control: true, parameters: []parameter{counted("count", 1, 4), amount("gap_s", 0.3, 1.5),
		text("how", "", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version")}},
	{kind: "big_config", plan: true, control: true, parameters: []parameter{counted("count", 50, 500)}},
	{kind: "ack_lost", control: true, parameters: []parameter{amount("x", 0.3, 1), amount("for_s", 2, 15)}},

	{kind: "hot_tenant", parameters: []parameter{amount("x", 3, 14), counted("count", 1, 6), amount("for_s", 2, 9)}},
	{kind: "lossy", parameters: []parameter{amount("x", 0.01, 0.05), amount("for_s", 2, 9), text("zone", placeZone)}},
	{kind: "revoke", plan: true, control: true, parameters: []parameter{counted("count", 1, 5), amount("gap_s", 0.3, 2), text("how", "", "last")}},
	{kind: "bad_config", plan: true, control: true, parameters: []parameter{counted("count", 1, 3), amount("gap_s", 0.3, 1.5), text("how", "shared_key")}},
	{kind: "config_change", plan: true, control: true, parameters: []parameter{text("how", "quota down", "topup")}},
}

// templatesOf are the templates of a theme, of the kinds that a deployment knows (none: all).
func templatesOf(theme Theme, kinds []string) []template {
	var some []template
	for _, t := range templates {
		if t.belongsTo(theme) && (len(kinds) == 0 || slices.Contains(kinds, t.kind)) {
			some = append(some, t)
		}
	}
	return some
}

// belongsTo tells whether days of a theme may hold the kind.
func (t template) belongsTo(theme Theme) bool {
	switch theme {
	case ThemeControl:
		return t.control
	case ThemeData:
		return !t.control
	case ThemePlanned:
		return t.plan
	}
	return true
}
