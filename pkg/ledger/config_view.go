package ledger

import "github.com/clementineweir/clementineweir/pkg/ticket"

// Teams returns all teams that tickets have set, in ascending order of name; those marked as removed are included.
func (st *State) Teams() []ticket.Team { return values(st.config.Teams) }

// Classes returns all request classes that tickets have set, in ascending order of name; those marked as removed are included.
func (st *State) Classes() []ticket.Class { return values(st.config.Classes) }

// Services returns all services that tickets have set, in ascending order of name; those marked as removed are included.
func (st *State) Services() []ticket.Service { return values(st.config.Services) }

// Endpoints returns all endpoints that tickets have set, in ascending order of name; those marked as removed are included.
func (st *State) Endpoints() []ticket.Endpoint { return values(st.config.Endpoints) }

// BudgetConfig returns the configuration of a budget; it returns false if the budget does not exist or was removed.
func (st *State) BudgetConfig(name string) (ticket.Budget, bool) {
	ve, ok := st.config.Budgets[name]
	return ve.Value, ok && !ve.Value.Removed
}
