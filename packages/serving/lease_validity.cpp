#include "serving/lease_validity.h"

#include <algorithm>

namespace briarhead {

void onLeaseGranted(lease_validity &proof, millis asked, millis length)
{
    proof = {length, asked, asked, false, {}};
}

void onLeaseRenewed(lease_validity &proof, millis asked, millis gapMost)
{
    if (asked - proof.lastRenewal > gapMost) {
        markUncertain(proof, asked);
    }
    proof.lastRenewal = std::max(proof.lastRenewal, asked);
    if (!proof.uncertain) {
        proof.validFrom = proof.lastRenewal;
    }
}

void markUncertain(lease_validity &proof, millis at)
{
    proof.uncertain = true;
    proof.lastFailure = std::max(proof.lastFailure, at);
}

void onRecordsRead(lease_validity &proof, millis asked)
{
    if (proof.uncertain && asked >= proof.lastFailure) {
        proof.uncertain = false;
        proof.validFrom = proof.lastRenewal;
    }
}

millis validUntil(const lease_validity &proof)
{
    return proof.validFrom + proof.length - validityMargin;
}

millis firstOrderAt(const removed_ownership &left, millis leaseLength)
{
    const bool lapsed = left.holder && left.seen >= left.holder->until
        && left.seen <= left.holder->until + validityMargin + maxExpiryLag;
    return lapsed ? left.seen : left.seen + leaseLength;
}

}
