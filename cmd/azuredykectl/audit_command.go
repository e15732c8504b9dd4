package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// newAuditCommand returns the command that prints the audit trail.
func newAuditCommand(a *app) *cobra.Command {
	var (
		actor, kind, name string
		limit             int32
	)
	cmd := &cobra.Command{
		Use: "audit", Short: "Shows who changed what, when and why, newest first", Args: cobra.NoArgs,
		RunE: wrapErrors(false, func(cmd *cobra.Command, _ []string) error {
			req := &operatorv1.ListAuditRequest{Actor: actor, Name: name, Limit: limit}
			if kind != "" {
				k, ok := kindByName(kind)
				if !ok {
					return errUsage.New("--kind must be one of %s", strings.Join(kindNames(), ", "))
				}
				req.Kind = k.proto
			}
			resp, err := call(cmd.Context(), a, operatorv1connect.OperatorServiceClient.ListAudit, req)
			if err != nil {
				return err
			}
			return a.print(messagesToMaps(resp.GetRecords()), func() table { return auditTable(resp.GetRecords()) })
		}),
	}
	flags := cmd.Flags()
	flags.StringVar(&actor, "actor", "", "only changes made by this operator")
	flags.StringVar(&kind, "kind", "", "only changes of objects of this kind: "+strings.Join(kindNames(), ", "))
	flags.StringVar(&name, "name", "", "only changes of objects with this name")
	flags.Int32Var(&limit, "limit", 0, "maximum number of records (default 100)")
	_ = cmd.RegisterFlagCompletionFunc("kind", cobra.FixedCompletions(kindNames(), cobra.ShellCompDirectiveNoFileComp))
	return cmd
}

func auditTable(records []*operatorv1.AuditRecord) table {
	t := table{header: []string{"TIME", "REVISION", "ACTOR", "ACTION", "OBJECT", "OUTCOME", "REASON", "OPERATION"}}
	for _, r := range records {
		object := r.GetName()
		if kind := kindByProto(r.GetKind()); kind != nil {
			object = kind.fieldName + "/" + object
		}
		t.rows = append(t.rows, []string{
			time.UnixMilli(r.GetTimeMs()).UTC().Format(time.RFC3339), fmt.Sprint(r.GetRevision()), r.GetActor(),
			r.GetAction(), object, r.GetOutcome(), r.GetReason(), r.GetOperationId(),
		})
	}
	return t
}
