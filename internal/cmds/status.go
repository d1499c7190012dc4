package cmds

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/clementineweir/clementineweir/internal/admin"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show budgets, endpoints and members as one instance sees them",
		Flags: []cli.Flag{operatorFlag(), jsonFlag()},
		Action: func(ctx context.Context, cm *cli.Command) error {
			var st admin.Status
			if err := fetch(ctx, cm, "/status", &st); err != nil {
				return err
			}
			if cm.Bool("json") {
				return printJSON(cm, st)
			}
			return printStatus(cm, st)
		},
	}
}

func printStatus(cm *cli.Command, st admin.Status) error {
	tw := tabwriter.NewWriter(cm.Root().Writer, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format+"\n", args...) }
	row("instance %s in %s, incarnation %d, ready %t, draining %t", st.Instance, st.Domain, st.Incarnation, st.Ready, st.Draining)
	row("log: %s, offset %d, %d behind, checkpoint at %d, %d entries rejected", st.Contact, st.Offset, st.LagEntries, st.Checkpoint, st.Rejected)
	row("\nBUDGET\tTEAM\tPREPAID\tBILLED\tWRITTEN OFF\tFREE\tGRANTED HERE\tELSEWHERE\tRESERVED HERE\tLIMIT HERE\tOVERSPENT")
	for _, bu := range st.Budgets {
		row("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", bu.Name, bu.Team, bu.Prepaid, bu.Billed, bu.WrittenOff,
			bu.Free, bu.GrantedHere, bu.GrantedElsewhere, bu.ReservedHere, bu.LimitHere, bu.Overspent)
	}
	row("\nENDPOINT\tDOMAIN\tSLOTS\tOWN\tESTIMATED\tLEAVING\tCIRCUIT OPEN")
	for _, ep := range st.Endpoints {
		row("%s\t%s\t%d\t%d\t%d\t%t\t%t", ep.Name, ep.Domain, ep.Slots, ep.OwnRequests, ep.EstimatedRequests, ep.Leaving, ep.CircuitOpen)
	}
	row("\nMEMBER\tINSTANCE\tDOMAIN\tADDRESS\tPROVED DEAD")
	for _, me := range st.Members {
		row("%d\t%s\t%s\t%s\t%t", me.Incarnation, me.Instance, me.Domain, me.Address, me.ProvedDead)
	}
	row("\nPEER\tUP\tREACHES LOG\tDRAINING")
	for _, li := range st.Links {
		row("%s\t%t\t%t\t%t", li.Address, li.Up, li.ReachesLog, li.Draining)
	}
	for _, hash := range st.Quarantine {
		row("quarantined content %s", hash)
	}
	return tw.Flush()
}
