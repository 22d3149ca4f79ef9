// Package protocol defines the messages that entries and side processes exchange,
// their CBOR encoding and their framing.
//
// A session between an entry and a side process has one control stream and one
// stream per attempt. The first frame on a control stream is Hello; the first
// frame on an attempt stream is Dispatch, Attach or Void.
package protocol
