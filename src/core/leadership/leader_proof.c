/* Proof that a leader was active; the time without a leader is counted from it. */
#include "leadership_internal.h"

/*
 * Records that a leader was active at a time. The store deletes a leader key one session TTL after
 * its last renewal, except that all sessions get their full TTL again after a store outage. So a
 * key that was read for longer than that, without a failed request in between, was renewed within
 * that time. A key that was just written shows an election, but not that the leader served any
 * request. Times are those at which a request was sent, so a stall of this process can't make a
 * proof look newer than it is.
 */
void ws_leader_record_active(struct ws_core *core, double active_at, uint64_t term)
{
	if (core->leadership.proof.exists && active_at <= core->leadership.proof.active_at)
		return;
	core->leadership.proof.exists = true;
	core->leadership.proof.active_at = active_at;
	core->leadership.proof.term = term;
}

void ws_leader_key_read(struct ws_core *core, double sent_at)
{
	struct ws_leader_proof *proof = &core->leadership.proof;
	const double proof_s = WS_PROOF_TTLS * core->leadership.session_ttl_s;

	if (core->leadership.leader_revision != proof->leader_revision) {
		proof->leader_revision = core->leadership.leader_revision;
		proof->key_since = sent_at;
	} else if (proof->leader_revision && sent_at - proof->key_since > proof_s) {
		ws_leader_record_active(core, sent_at - proof_s, proof->leader_revision);
	}
}
