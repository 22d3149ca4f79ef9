package conntest

import "testing"

// Guards against two programs of one test that have the same address and so the same ports.
func TestAddressesDiffer(t *testing.T) {
	if a, b := Address(t), Address(t); a == b {
		t.Errorf("address %s twice", a)
	}
}
