package memory

import "testing"

// TestRequestBound guards against request bodies above the bound, against a bound that
// counts released bodies, and against a body above the bound that is refused for ever.
func TestRequestBound(t *testing.T) {
	a := &Account{Bounds: Bounds{Total: 100, Requests: 50}}
	first, second := a.Request(), a.Request()
	if !first.TryGrow(30) || second.TryGrow(30) || !second.TryGrow(20) || first.TryGrow(31) {
		t.Errorf("held %+v, want bodies of 30 and 20 bytes and no more", a.Held())
	}
	first.Release()
	first.Release()
	if held := a.Held(); held != (Held{Total: 20, Requests: 20}) {
		t.Errorf("held %+v after a release, want 20 bytes", held)
	}
	if !second.TryGrow(100) || second.TryGrow(101) {
		t.Error("the only body must be able to take all of the account, and no more")
	}
	second.Release()
	if held := a.Held(); held != (Held{}) {
		t.Errorf("held %+v after all releases, want nothing", held)
	}
}

// TestNoAccount guards against an entry without bounds that refuses bodies.
func TestNoAccount(t *testing.T) {
	var a *Account
	r := a.Request()
	if !r.TryGrow(1<<40) || a.Held() != (Held{}) {
		t.Error("an entry without an account must reserve anything")
	}
	r.Release()
}
