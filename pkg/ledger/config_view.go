package ledger

import "github.com/clementineweir/clementineweir/pkg/ticket"

// Teams returns the teams in force by ascending name.
func (st *State) Teams() []ticket.Team { return values(st.config.Teams) }

// Classes returns the request classes in force by ascending name.
func (st *State) Classes() []ticket.Class { return values(st.config.Classes) }

// Services returns the services in force by ascending name.
func (st *State) Services() []ticket.Service { return values(st.config.Services) }

// Endpoints returns the endpoints in force by ascending name.
func (st *State) Endpoints() []ticket.Endpoint { return values(st.config.Endpoints) }

// BudgetConfig returns the budget object of the given name.
func (st *State) BudgetConfig(name string) (ticket.Budget, bool) {
	ve, ok := st.config.Budgets[name]
	return ve.Value, ok && !ve.Value.Removed
}
