#include "serving/order_right.h"

#include <algorithm>

namespace briarhead {

void granted(lease_proof &proof, millis asked, millis length)
{
    proof = {length, asked, asked, false, {}};
}

void renewed(lease_proof &proof, millis asked, millis gapMost)
{
    if (asked - proof.renewed > gapMost) {
        doubted(proof, asked);
    }
    proof.renewed = std::max(proof.renewed, asked);
    if (!proof.doubted) {
        proof.from = proof.renewed;
    }
}

void doubted(lease_proof &proof, millis at)
{
    proof.doubted = true;
    proof.doubtedAt = std::max(proof.doubtedAt, at);
}

void confirmed(lease_proof &proof, millis asked)
{
    if (proof.doubted && asked >= proof.doubtedAt) {
        proof.doubted = false;
        proof.from = proof.renewed;
    }
}

millis provenUntil(const lease_proof &proof)
{
    return proof.from + proof.length - proofMargin;
}

millis firstOrderAt(const vacancy &left, millis leaseLength)
{
    const bool lapsed = left.holder && left.seen >= left.holder->until
        && left.seen <= left.holder->until + proofMargin + lapseSeenWithin;
    return lapsed ? left.seen : left.seen + leaseLength;
}

}
