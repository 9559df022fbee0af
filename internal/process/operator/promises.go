package operator

import (
	"errors"
	"fmt"
	"time"

	"molepaddle/internal/decide/promises"
)

// Promises is the table of agents that hold for others what those have begun; see package promises. Far
// gateways among them promise.
type Promises struct {
	On        bool     `toml:"on"`
	Copies    int      `toml:"copies"`     // that hold what a far gateway here begins; 0: nothing is promised
	OnMissingCopies   string   `toml:"without"`    // as many copies: refuse, or fewer
	Remember  Duration `toml:"remember"`   // longer than any order may be open
	AnswersMB int      `toml:"answers_mb"` // held for others
	Journal   string   `toml:"journal"`    // where what others began is kept: memory, or disk (in the folder of work)
}

func defaultPromises() Promises {
	return Promises{Copies: 1, OnMissingCopies: "refuse", Remember: Duration(time.Minute), AnswersMB: 16, Journal: "memory"}
}

// AllowsFewer tells whether fewer copies than wanted do.
func (p *Promises) AllowsFewer() bool { return p.OnMissingCopies == "fewer" }

// validate reports the first key that makes no sense; folder is where the agent keeps what lasts.
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
		return "on", errors.New("needs [work]: its council settles who holds for whom")
	}
	return "", nil
}

// describe tells what the table switches describe.
func (p *Promises) describe() []string {
	if !p.On {
		return nil
	}
	const text = "holds for other agents what they have begun (%s); " +
		"as a far gateway it has %d copies, else it does with \"%s\""
	return []string{fmt.Sprintf(text, p.Journal, p.Copies, p.OnMissingCopies)}
}
