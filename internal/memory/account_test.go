package memory

import "testing"

// TestRequestBound guards against request bodies above the bound, against a bound that
// counts released bodies, and against a body above the bound that is refused for ever.
func TestRequestBound(t *testing.T) {
	a := &Account{Bounds: Bounds{Total: 100, Requests: 50}}
	first, second := a.Request("a"), a.Request("b")
	if !first.TryGrow(30) || second.TryGrow(30) || !second.TryGrow(20) || first.TryGrow(31) {
		t.Errorf("held %+v, want bodies of 30 and 20 bytes and no more", a.Held())
	}
	first.Release()
	first.Release()
	if held := a.Held(); held != (Held{Total: 20, Requests: 20, Caller: 20, CallerLimit: 50}) {
		t.Errorf("held %+v after a release, want 20 bytes", held)
	}
	if !second.TryGrow(100) || second.TryGrow(101) {
		t.Error("the only body must be able to take all of the account, and no more")
	}
	second.Release()
	if held := a.Held(); held != (Held{CallerLimit: 50}) {
		t.Errorf("held %+v after all releases, want nothing", held)
	}
}

// TestNoAccount guards against an entry without bounds that refuses bodies.
func TestNoAccount(t *testing.T) {
	var a *Account
	r := a.Request("a")
	if !r.TryGrow(1<<40) || a.Held() != (Held{}) {
		t.Error("an entry without an account must reserve anything")
	}
	r.Release()
}

// TestCallerBound guards against one caller who takes the memory of all others, by request
// bodies or by responses that are not read, and against a large body that is refused for ever.
func TestCallerBound(t *testing.T) {
	a := &Account{Bounds: Bounds{Total: 100, Requests: 50}}
	first, second := a.Request("slow"), a.Request("slow")
	if !first.TryGrow(20) || second.TryGrow(6) || !second.TryGrow(5) {
		t.Errorf("held %+v, want 20 and 5 bytes of requests of one caller", a.Held())
	}
	other := a.Request("fast")
	if !other.TryGrow(25) {
		t.Errorf("a caller was refused because another has %d bytes", a.Held().Caller)
	}
	other.Release()
	second.Release()
	response := a.Response("slow")
	if response.Grow(t.Context(), 30) != nil || second.TryGrow(1) {
		t.Error("a caller at the bound of all bodies got memory for a request")
	}
	first.Release()
	response.Release()
	if !first.TryGrow(50) {
		t.Error("the only body of a caller was refused")
	}
}
