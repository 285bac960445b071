// Package fulmarrun is a router for servers that own keys exclusively.
//
// One small daemon runs beside each target. Any daemon accepts any caller's
// request and forwards it to the one owner of its key; every caller gets the
// complete answer or a refusal with the true outcome. Persistent state is stored in
// the table and object store of a platform; there is no coordination service and no
// separate proxy tier.
//
// # Usage
//
//	settings, err := config.ParseSettings("agenda-1.json", data)
//	router, err := fulmarrun.New(*settings)
//	err = router.Run(ctx) // runs until ctx ends, then stops gracefully
//
// Each subpackage has one task: caller, forward, owner and targethttp transfer a
// request; lease, control, routes and handover decide who owns a key; admission
// and outcome decide whether a request may run; config, operator and audit serve
// operators; peer, storage and wire transfer and store the data of daemons.
package fulmarrun
