#include "serving/lease_validity.h"

#include <algorithm>

namespace briarhead {

void onLeaseGranted(lease_validity &validity, millis sentAt, millis ttl)
{
    validity = {ttl, sentAt, sentAt, false, {}};
}

void onLeaseRenewed(lease_validity &validity, millis sentAt, millis maxGap)
{
    if (sentAt - validity.lastRenewal > maxGap) {
        markUncertain(validity, sentAt);
    }
    validity.lastRenewal = std::max(validity.lastRenewal, sentAt);
    if (!validity.uncertain) {
        validity.validFrom = validity.lastRenewal;
    }
}

void markUncertain(lease_validity &validity, millis failedAt)
{
    validity.uncertain = true;
    validity.lastFailure = std::max(validity.lastFailure, failedAt);
}

void onRecordsRead(lease_validity &validity, millis sentAt)
{
    if (validity.uncertain && sentAt >= validity.lastFailure) {
        validity.uncertain = false;
        validity.validFrom = validity.lastRenewal;
    }
}

millis validUntil(const lease_validity &validity)
{
    return validity.validFrom + validity.ttl - validityMargin;
}

millis firstOrderAt(const removed_ownership &removed, millis leaseTtl)
{
    const bool expired = removed.owner && removed.seenAt >= removed.owner->validUntil
        && removed.seenAt <= removed.owner->validUntil + validityMargin + maxExpiryLag;
    return expired ? removed.seenAt : removed.seenAt + leaseTtl;
}

}
