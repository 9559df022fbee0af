package operator

import (
	"errors"
	"fmt"
	"time"

	"molepaddle/internal/decide/promises"
)

// Promises is the table of agents that store replicas of the requests that far gateways have begun; see package
// promises. An agent that is a far gateway makes promises itself.
type Promises struct {
	On              bool     `toml:"on"`
	Copies          int      `toml:"copies"`     // replicas of what a far gateway here begins; 0: it makes no promises
	OnMissingCopies string   `toml:"without"`    // with too few replicas: refuse, or fewer
	Remember        Duration `toml:"remember"`   // retention; at least twice as long as an order may be open
	AnswersMB       int      `toml:"answers_mb"` // memory for answers stored for others, in MiB
	Journal         string   `toml:"journal"`    // storage for others: memory, or disk (in the folder of work)
}

func defaultPromises() Promises {
	return Promises{
		Copies: 1, OnMissingCopies: "refuse", Remember: Duration(time.Minute), AnswersMB: 16, Journal: "memory",
	}
}

// AllowsFewer reports whether a promise may have fewer replicas than Copies.
func (p *Promises) AllowsFewer() bool { return p.OnMissingCopies == "fewer" }

// validate returns the first invalid key and its error; folder is the agent's persistent folder.
func (p *Promises) validate(work bool, folder string) (key string, err error) {
	switch r := time.Duration(p.Remember); {
	case p.Copies < 0 || p.Copies > promises.MaxReplicas:
		return "copies", fmt.Errorf("must be from 0 to %d, is %d", promises.MaxReplicas, p.Copies)
	case p.OnMissingCopies != "refuse" && p.OnMissingCopies != "fewer":
		return "without", fmt.Errorf("must be \"refuse\" or \"fewer\", is %q", p.OnMissingCopies)
	case r < time.Second || r > 10*time.Minute:
		return "remember", fmt.Errorf("must be from 1s to 10m, is %v", r)
	case p.AnswersMB < 1 || p.AnswersMB > 1024:
		return "answers_mb", fmt.Errorf("must be from 1 to 1024, is %d", p.AnswersMB)
	case p.Journal != "memory" && p.Journal != "disk":
		return "journal", fmt.Errorf("must be \"memory\" or \"disk\", is %q", p.Journal)
	case p.On && p.Journal == "disk" && folder == "":
		return "journal", errors.New("disk needs work.folder")
	case p.On && !work:
		return "on", errors.New("needs [work]: its council assigns the holders")
	}
	return "", nil
}

// describe returns the lines that Settings.Describe shows for the table.
func (p *Promises) describe() []string {
	if !p.On {
		return nil
	}
	const text = "stores requests that other agents have begun (%s); " +
		"as a far gateway it keeps %d copies, and with too few of them: \"%s\""
	return []string{fmt.Sprintf(text, p.Journal, p.Copies, p.OnMissingCopies)}
}
