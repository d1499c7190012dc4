package ledger

import "github.com/clementineweir/clementineweir/pkg/ticket"

// Teams returns the configured teams in ascending order of name, including removed ones.
func (st *State) Teams() []ticket.Team { return values(st.config.Teams) }

// Classes returns the configured request classes in ascending order of name, including removed ones.
func (st *State) Classes() []ticket.Class { return values(st.config.Classes) }

// Services returns the configured services in ascending order of name, including removed ones.
func (st *State) Services() []ticket.Service { return values(st.config.Services) }

// Endpoints returns the configured endpoints in ascending order of name, including removed ones.
func (st *State) Endpoints() []ticket.Endpoint { return values(st.config.Endpoints) }

// BudgetConfig returns the configuration of a budget; removed budgets are not found.
func (st *State) BudgetConfig(name string) (ticket.Budget, bool) {
	ve, ok := st.config.Budgets[name]
	return ve.Value, ok && !ve.Value.Removed
}
