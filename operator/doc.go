// Package operator implements the protocol between the operator's command line
// and any daemon, which is HTTP with JSON, and the logic that puts a configuration
// file in force.
//
// # Usage
//
// A daemon sets the functions of the calls that it supports:
//
//	server := operator.NewServer(operator.WithRegistry(registry))
//	applier := operator.NewApplier(store, operator.WithAudit(func(e audit.Entry) { writer.Add(e) }))
//	server.Apply = func(ctx context.Context, req operator.ApplyRequest) (operator.ApplyReply, error) {
//		return applier.Apply(ctx, req, [][]byte{req.Text})
//	}
//	err := http.Serve(listener, server)
//
// The command line calls it:
//
//	client := operator.NewClient(netip.MustParseAddrPort("10.0.0.1:7200"))
//	reply, err := operator.ApplyAny(ctx, []*operator.Client{client}, operator.ApplyRequest{
//		Text: text, Base: 6, Author: "ana", Change: uuid.Must(uuid.NewV7()).String(),
//	})
//	var conflict *operator.ConflictError
//	if errors.As(err, &conflict) { … }
//
// # Protocol
//
//	POST /apply                   ApplyRequest -> ApplyReply
//	GET  /show                    -> ShowReply
//	GET  /status                  -> StatusReply
//	GET  /audit?since=&limit=     -> AuditReply
//	GET  /key?service=&key=       -> KeyReply
//	POST /leave                   -> {}
//	GET  /metrics                 -> metrics in Prometheus's text format
//	GET  /healthz                 -> 200 while the process runs
//	GET  /readyz                  -> 200 if the daemon accepts work, else 503
//
// Bytes are encoded in base64, times in RFC 3339, and generations as decimal
// strings. An error response has a code, a reason, and details that depend on the
// code. The client returns these errors:
//
//	bad          400  ErrBadRequest
//	missing      404  ErrMissing
//	conflict     409  *ConflictError
//	large        413  ErrBadRequest
//	invalid      422  *InvalidError
//	internal     500
//	unsupported  501  ErrUnsupported
//	unavailable  503  ErrUnavailable
//	unknown      504  ErrUnknown
//
// # Which file is in force
//
// The row config/current holds a wire.CurrentConfig. It lists the digests of the
// sections of the file. Each section is stored as an object config/<digest> before
// the row is written. A file is accepted at the moment the row is written, by one
// transaction that is conditional on the version of the row that was read. So only
// one of two files made from the same version is accepted. The row also stores the
// latest request IDs, so that a request that is repeated after a lost reply gets
// the result of the first attempt.
package operator
