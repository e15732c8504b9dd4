package operator

import (
	"context"
	"crypto/subtle"
	"strings"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/common/keyhash"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// changingProcedures need the role operator; all others need any role.
var changingProcedures = map[string]bool{
	operatorv1connect.OperatorServicePutObjectProcedure:          true,
	operatorv1connect.OperatorServiceDeleteObjectProcedure:       true,
	operatorv1connect.OperatorServiceSetDataCentreStateProcedure: true,
}

// newAuthenticator returns an interceptor that refuses calls without a known token or with too weak a role. It tells
// refused about a change that a known operator may not make.
func newAuthenticator(tokens []settings.OperatorToken, refused func(actor, connect.AnyRequest)) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			a, ok := authenticate(tokens, req.Header().Get("Authorization"))
			if !ok {
				return nil, connect.NewError(connect.CodeUnauthenticated, errMissingToken)
			}
			if changingProcedures[req.Spec().Procedure] && a.role != settings.RoleOperator {
				refused(a, req)
				return nil, connect.NewError(connect.CodePermissionDenied, errViewerOnly)
			}
			return next(withActor(ctx, a), req)
		}
	}
}

// authenticate compares the hash of the bearer token with every known hash, so that its time does not tell which one
// matched.
func authenticate(tokens []settings.OperatorToken, header string) (actor, bool) {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return actor{}, false
	}
	hash := []byte(keyhash.Of(token))
	var found actor
	matched := false
	for _, t := range tokens {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(t.Hash))) == 1 {
			found, matched = actor{name: t.Name, role: t.Role}, true
		}
	}
	return found, matched
}
