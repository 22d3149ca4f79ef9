package protocol

import (
	"reflect"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Version is the protocol version sent in Hello. Peers with another version
// are refused.
const Version = 2

// Message is a pointer to one of the types in messageTypes.
type Message any

// Kind identifies the type of a message on the wire.
type Kind uint8

// The message kinds. Values are part of the wire format and never reused.
const (
	KindHello Kind = iota + 1
	KindWelcome
	KindStatus
	KindHeartbeat
	KindLeaving
	KindFetchBundle
	KindBundleDocument
	KindDispatch
	KindAttach
	KindWithdraw
	KindCancel
	KindVoid
	KindAck
	KindQueued
	KindStarted
	KindHead
	KindChunk
	KindDone
	KindRefused
	KindFailed
	KindAttemptState
	KindProgress
)

// Hello opens a session. It is the first message on the control stream.
type Hello struct {
	Version       uint8             `cbor:"1,keyasint"`
	Instance      state.InstanceID  `cbor:"2,keyasint"`
	Incarnation   state.Incarnation `cbor:"3,keyasint"`
	Session       uint64            `cbor:"4,keyasint"` // higher than every earlier session of this incarnation to this target
	BundleVersion uint64            `cbor:"5,keyasint"` // version of the bundle in effect; 0 for none
}

// Welcome answers Hello.
type Welcome struct {
	Instance    state.InstanceID  `cbor:"1,keyasint"`
	Incarnation state.Incarnation `cbor:"2,keyasint"`
	Target      state.TargetID    `cbor:"3,keyasint"`
	Service     state.Service     `cbor:"4,keyasint"`
	Status      state.Status      `cbor:"5,keyasint"`
}

// Heartbeat shows that an idle session is alive. Both peers send it.
type Heartbeat struct {
	BundleVersion uint64 `cbor:"1,keyasint"` // of the bundle in effect; 0 for none
}

// Leaving announces that the sender accepts no new attempts.
type Leaving struct{}

// FetchBundle asks the peer for the bundle that it has in effect.
type FetchBundle struct{}

// BundleDocument answers FetchBundle, and is sent without a request to a peer
// whose bundle is older.
type BundleDocument struct {
	Bundle state.AcceptedBundle `cbor:"1,keyasint"`
}

// messageTypes maps each kind to the type that it carries.
var messageTypes = map[Kind]reflect.Type{
	KindHello:          reflect.TypeFor[Hello](),
	KindWelcome:        reflect.TypeFor[Welcome](),
	KindStatus:         reflect.TypeFor[state.Status](),
	KindHeartbeat:      reflect.TypeFor[Heartbeat](),
	KindLeaving:        reflect.TypeFor[Leaving](),
	KindFetchBundle:    reflect.TypeFor[FetchBundle](),
	KindBundleDocument: reflect.TypeFor[BundleDocument](),
	KindDispatch:       reflect.TypeFor[state.Dispatch](),
	KindAttach:         reflect.TypeFor[state.Attach](),
	KindWithdraw:       reflect.TypeFor[state.Withdraw](),
	KindCancel:         reflect.TypeFor[state.Cancel](),
	KindVoid:           reflect.TypeFor[state.Void](),
	KindAck:            reflect.TypeFor[state.Ack](),
	KindQueued:         reflect.TypeFor[state.Queued](),
	KindStarted:        reflect.TypeFor[state.Started](),
	KindHead:           reflect.TypeFor[state.Head](),
	KindChunk:          reflect.TypeFor[state.Chunk](),
	KindDone:           reflect.TypeFor[state.Done](),
	KindRefused:        reflect.TypeFor[state.Refused](),
	KindFailed:         reflect.TypeFor[state.Failed](),
	KindAttemptState:   reflect.TypeFor[state.AttemptState](),
	KindProgress:       reflect.TypeFor[state.Progress](),
}

// kindsByType is the inverse of messageTypes.
var kindsByType = invert(messageTypes)

func invert(m map[Kind]reflect.Type) map[reflect.Type]Kind {
	out := make(map[reflect.Type]Kind, len(m))
	for k, t := range m {
		out[t] = k
	}
	return out
}

// kindOf returns the kind of m, which is a message or a pointer to one.
func kindOf(m Message) (Kind, bool) {
	t := reflect.TypeOf(m)
	if t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	k, ok := kindsByType[t]
	return k, ok
}

// newMessage returns a pointer to a zero message of the kind, or nil if the kind
// is unknown.
func newMessage(k Kind) Message {
	t, ok := messageTypes[k]
	if !ok {
		return nil
	}
	return reflect.New(t).Interface()
}
