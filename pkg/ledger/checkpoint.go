package ledger

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/clementineweir/clementineweir/pkg/record"
)

// snapshot is the encoded form of the state at the log offset Offset.
type snapshot struct {
	Offset           int64                 `cbor:"offset"`
	Incarnations     map[int64]incarnation `cbor:"incarnations"`
	Nonces           []nonce               `cbor:"nonces"`
	Budgets          map[string]*budget    `cbor:"budgets"`
	Config           config                `cbor:"config"`
	Requests         map[string]Request    `cbor:"requests"`
	RequestOrder     []string              `cbor:"requestOrder"`
	Suspects         map[string][]string   `cbor:"suspects"`
	SuspectOrder     []string              `cbor:"suspectOrder"`
	Audit            []AuditEntry          `cbor:"audit"`
	Rejected         int64                 `cbor:"rejected"`
	CheckpointOffset int64                 `cbor:"saved"`
}

// nonce is the text of a join nonce with the number of the incarnation that joined with it.
type nonce struct {
	Text   string `cbor:"text"`
	Number int64  `cbor:"number"`
}

// Encode returns the canonical encoding of the state: equal states have equal encodings.
func (st *State) Encode() ([]byte, error) {
	sn := snapshot{
		Offset: st.offset, Budgets: st.budgets, Config: st.config,
		Incarnations: make(map[int64]incarnation, len(st.incarnations)),
		Nonces:       make([]nonce, 0, len(st.nonces.order)),
		Requests:     st.requests.byKey, RequestOrder: st.requests.resolved,
		Suspects: st.suspects.endpoints, SuspectOrder: st.suspects.order,
		Audit: st.audit.list, Rejected: st.rejected, CheckpointOffset: st.checkpointOffset,
	}
	for num, inc := range st.incarnations {
		sn.Incarnations[num] = *inc
	}
	for _, text := range st.nonces.order {
		sn.Nonces = append(sn.Nonces, nonce{Text: text, Number: st.nonces.incarnations[text]})
	}
	data, err := record.Marshal(sn)
	return data, eris.Wrap(err, "encode the state")
}

// Decode returns the state that was encoded by Encode.
func Decode(data []byte) (*State, error) {
	var sn snapshot
	if err := record.Unmarshal(data, &sn); err != nil {
		return nil, eris.Wrap(err, "decode the state")
	}
	st := NewState()
	st.offset = sn.Offset
	st.rejected = sn.Rejected
	st.checkpointOffset = sn.CheckpointOffset
	st.audit.list = sn.Audit
	st.restoreConfig(sn)
	st.restoreTables(sn)
	st.restoreHeldBudgets()
	return st, nil
}

func (st *State) restoreConfig(sn snapshot) {
	maps.Copy(st.config.Teams, sn.Config.Teams)
	maps.Copy(st.config.Classes, sn.Config.Classes)
	maps.Copy(st.config.Services, sn.Config.Services)
	maps.Copy(st.config.Endpoints, sn.Config.Endpoints)
	maps.Copy(st.config.Contents, sn.Config.Contents)
	maps.Copy(st.config.Retired, sn.Config.Retired)
	st.config.Numbers = sn.Config.Numbers
	if sn.Config.Budgets != nil {
		st.config.Budgets = sn.Config.Budgets
	}
	if sn.Config.MaxPrepaid != nil {
		st.config.MaxPrepaid = sn.Config.MaxPrepaid
	}
	if sn.Budgets != nil {
		st.budgets = sn.Budgets
	}
}

func (st *State) restoreTables(sn snapshot) {
	for num, inc := range sn.Incarnations {
		inc.heldBudgets = map[string]struct{}{}
		st.incarnations[num] = &inc
	}
	for _, no := range sn.Nonces {
		st.nonces.add(no.Text, no.Number)
	}
	maps.Copy(st.requests.byKey, sn.Requests)
	st.requests.resolved = slices.Clone(sn.RequestOrder)
	for _, key := range st.requests.resolved {
		st.requests.addBody(key)
	}
	maps.Copy(st.suspects.endpoints, sn.Suspects)
	st.suspects.order = slices.Clone(sn.SuspectOrder)
}

// restoreHeldBudgets rebuilds incarnation.heldBudgets, which is not part of the encoding, from the holders of each budget.
func (st *State) restoreHeldBudgets() {
	for name, bu := range st.budgets {
		for _, ho := range bu.Holders {
			if inc, ok := st.incarnations[ho.Incarnation]; ok {
				inc.heldBudgets[name] = struct{}{}
			}
		}
	}
}
