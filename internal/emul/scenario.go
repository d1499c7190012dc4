package emul

import "time"

// Class is a kind of request.
type Class struct {
	Name string
	// PerSecond is the mean rate of arrivals of the whole fleet.
	PerSecond float64
	// KindTokens is a part of the prompt that all requests of the class share, SubjectTokens one that those about one subject share.
	KindTokens    int64
	SubjectTokens int64
	Subjects      int
	// OwnTokens is the mean of the rest, which is distributed exponentially; Output is the mean of the tokens made.
	OwnTokens float64
	Output    float64
	Objective time.Duration
	// Patience is how long a caller waits for the first event.
	Patience time.Duration
	// Rank is the urgency, 0 first; Worth is what an answer within the objective is worth, LateWorth a later one.
	Rank      int
	Worth     float64
	LateWorth float64
}

// Surge multiplies the arrivals of all classes for a while.
type Surge struct {
	From   time.Duration
	To     time.Duration
	Factor float64
}

// Hot makes a share of one class's requests about one subject.
type Hot struct {
	Class string
	Share float64
}

// Scenario is a deployment and the load on it.
type Scenario struct {
	Name      string
	Answers   string
	Length    time.Duration
	Instances int
	Domains   int
	Runners   int
	Runner    RunnerConfig
	Classes   []Class
	Surges    []Surge
	Hot       Hot
}

// The runners and classes of the two users' grown deployments; a class's shared parts are means of the users' sheets.
var (
	birligiRunner = RunnerConfig{
		Slots: 48, Memory: 508_449, Step: 3090 * time.Microsecond, StepPerRequest: 16500 * time.Nanosecond, TokensPerMs: 61.8,
		Chunk: 1024, CopyTokensPerMs: 198,
	}
	birligiClasses = []Class{
		{"dossier", 81.9, 512, 4870, 695, 6610, 382, 800 * time.Millisecond, 3200 * time.Millisecond, 0, 6.9, 3.5},
		{"question", 215, 119, 79, 812, 628, 291, 600 * time.Millisecond, 2400 * time.Millisecond, 1, 0.87, 0.44},
		{"letter", 139, 341, 227, 524, 1800, 23, 1200 * time.Millisecond, 3 * time.Second, 2, 0.44, 0.22},
	}
	virtanenRunner = RunnerConfig{
		Slots: 32, Memory: 677_599, Step: 2970 * time.Microsecond, StepPerRequest: 16500 * time.Nanosecond, TokensPerMs: 101,
		Chunk: 1024, CopyTokensPerMs: 198,
	}
	virtanenClasses = []Class{
		{"digest", 132, 512, 4870, 750, 6610, 378, 500 * time.Millisecond, 2 * time.Second, 0, 5.6, 0.56},
		{"query", 210, 119, 79, 800, 628, 288, 500 * time.Millisecond, 2 * time.Second, 1, 1.1, 0.11},
		{"index", 238, 341, 227, 600, 1800, 27, 800 * time.Millisecond, 2500 * time.Millisecond, 2, 0.34, 0.034},
	}
)

// Scenarios returns all scenarios, in the order in which they are listed.
func Scenarios() []Scenario {
	birligi := Scenario{Length: 20 * time.Second, Instances: 31, Domains: 3, Runners: 60, Runner: birligiRunner, Classes: birligiClasses}
	virtanen := Scenario{Length: 20 * time.Second, Instances: 30, Domains: 4, Runners: 60, Runner: virtanenRunner, Classes: virtanenClasses}
	few := birligi
	few.Instances, few.Runners = 4, 9
	few.Classes = scaled(birligiClasses, 0.15)
	list := []Scenario{
		named(birligi, "birligi", "many instances that each see little of the load"),
		named(virtanen, "virtanen", "the same with shorter objectives"),
		named(few, "birligi-small", "four instances before nine runners"),
	}
	surge := named(birligi, "surge", "twice the usual for six seconds")
	surge.Surges = []Surge{{From: 6 * time.Second, To: 12 * time.Second, Factor: 2}}
	overload := named(birligi, "overload", "four times what the runners can serve in time, for six seconds")
	overload.Surges = []Surge{{From: 6 * time.Second, To: 12 * time.Second, Factor: 4}}
	hot := named(virtanen, "hot-subject", "a third of the digests about one subject")
	hot.Hot = Hot{Class: "digest", Share: 0.33}
	return append(list, surge, overload, hot)
}

// FindScenario returns the scenario of a name.
func FindScenario(name string) (Scenario, bool) {
	for _, sc := range Scenarios() {
		if sc.Name == name {
			return sc, true
		}
	}
	return Scenario{}, false
}

func named(sc Scenario, name, answers string) Scenario {
	sc.Name, sc.Answers = name, answers
	return sc
}

func scaled(list []Class, factor float64) []Class {
	out := make([]Class, 0, len(list))
	for _, cl := range list {
		cl.PerSecond *= factor
		cl.Subjects = max(1, int(float64(cl.Subjects)*factor))
		out = append(out, cl)
	}
	return out
}

// factor returns how many times the usual load arrives at a time.
func (sc Scenario) factor(at time.Duration) float64 {
	for _, su := range sc.Surges {
		if at >= su.From && at < su.To {
			return su.Factor
		}
	}
	return 1
}
