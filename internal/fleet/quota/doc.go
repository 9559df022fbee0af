// Package quota keeps the quotas of tenants over all proxies together: in no window do more requests of a tenant go to
// to backends than its quota allows, whichever machines are cut off, frozen, killed or new.
//
// A quota is divided into slots. A slot admits one request in a window: it is free again a window after its last use.
// So a holder of n slots admits at most n requests in any window, and all holders together admit no more than there are
// slots, as long as no slot has two holders. Proxies hold slots (Holder), and one control server, the primary, hands
// them out (Allocator). A holder gives back free slots only. It may use its slots for a lease after a report that was
// answered; the allocator counts the slots of a holder that it doesn't hear for a lease and a window.
//
// A new allocator knows no holdings. Until whoever has not reported to it can neither use a slot nor have used one
// within a window, it hands out what is given back to it, and what its predecessors can't have handed out: they kept to
// Ceilings that are in the control plane's record.
//
// Holder and Allocator do no I/O and read no clock; both are guarded by their callers. Client and Server carry the
// reports between them.
package quota
