// Package standin implements small stand-ins (simulated servers) for what surrounds a
// deployment with side processes: the log service, the instance list, the weight store,
// engines and plain services. They are for tests, the demo and the trial only. The
// users' platform is emulated by package emulator.
//
// Every stand-in listens on its own loopback address. Faults are injected into
// it with Platform.SetFault or POST /admin/faults. Random decisions come from
// generators seeded by the settings. A ledger counts what each target ran, so
// that a load generator can compare it with the responses it received.
package standin
