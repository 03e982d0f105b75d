/* What proves that some leader lived: how long a cluster was without one is reckoned from it. */
#include "leadership_internal.h"

/*
 * Proof that a leader lived. The store removes a key `ttl` after its last renewal, unless
 * it was out meanwhile: then all sessions have their full time again. So a key that was read for
 * longer than that, without a refusal in between, was renewed within that time. A key that was just
 * written proves that somebody was elected, and not yet that he served anybody. Times are those at
 * which the question was asked: whoever stood still meanwhile has no newer proof.
 */
void ws_leader_proven(struct ws_core *core, double alive_at, uint64_t term)
{
	if (core->leadership.proof.exists && alive_at <= core->leadership.proof.alive_at)
		return;
	core->leadership.proof.exists = true;
	core->leadership.proof.alive_at = alive_at;
	core->leadership.proof.term = term;
}

void ws_leader_key_read(struct ws_core *core, double asked_at)
{
	struct ws_leader_proof *proof = &core->leadership.proof;
	const double proof_s = WS_PROOF_TTLS * core->leadership.session_ttl_s;

	if (core->leadership.leader_revision != proof->leader_revision) {
		proof->leader_revision = core->leadership.leader_revision;
		proof->key_since = asked_at;
	} else if (proof->leader_revision && asked_at - proof->key_since > proof_s) {
		ws_leader_proven(core, asked_at - proof_s, proof->leader_revision);
	}
}
