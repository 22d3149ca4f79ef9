// Package standin serves small stand-ins for the platform and for targets: the
// log service, the instance list, the weight store, engines and plain
// services. They are for tests, the demo and the trial only.
//
// Every part listens on its own loopback address and can be given faults
// through Platform.SetFault or POST /admin/faults. Random decisions are drawn
// from the seed in the settings. A ledger counts what the targets really ran,
// so that a load generator can compare it with the responses it received.
package standin
