#pragma once

#include "state/clock.h"

#include <optional>

// Until when a daemon may send orders to a server that checks no fencing tokens, and from when its successor
// may. Such a server accepts orders of a replaced daemon as valid: a load too many crashes it, an unload
// removes an adapter that is in use. So an owner stops by its own clock before any successor can begin. Times
// are points on this daemon's CLOCK_BOOTTIME, which also runs while the machine is suspended and does not
// follow jumps of the wall clock.
namespace briarhead {

/// What a daemon knows for certain of its lease in the store, and so of its records under it.
struct lease_validity
{
    millis ttl; ///< as granted by the store
    millis validFrom; ///< send time of the latest renewal that counts; the lease ends no earlier than this
                      ///< plus `ttl`
    millis lastRenewal; ///< send time of the latest successful renewal, whether it counts or not
    bool uncertain = false; ///< a call failed, and the records have not been read since
    millis lastFailure; ///< when the latest call failed
};

/// Open orders are aborted and their connections reset this long before the lease ends. It covers what is in
/// transit then, a few ms between failure domains, and timers that fire late on a busy machine.
constexpr millis validityMargin{150};
/// No order is sent with less than this left: it is too short for a round trip.
constexpr millis minOrderTime{50};

/// Short leases are renewed every 800 ms. After a longer gap this daemon was suspended, so that calls that
/// would have failed were never made.
constexpr millis maxRenewalGap{1'000};

void onLeaseGranted(lease_validity &validity, millis sentAt, millis ttl);
/// A renewal sent at `sentAt` succeeded. It extends the validity only if the records are not uncertain; after
/// more than `maxGap` since the last renewal they become so.
void onLeaseRenewed(lease_validity &validity, millis sentAt, millis maxGap = maxRenewalGap);
/// Marks the records as uncertain after a failed call: renewals do not count until the records have been
/// read.
///
/// A store that refuses this daemon's calls may remove its records at once while the lease lives on. All that
/// shows is a failed call; a later successful renewal would then extend records that another daemon has
/// claimed in the meantime. Refusals that fall entirely between two renewals go unnoticed.
void markUncertain(lease_validity &validity, millis failedAt);
/// A full read sent at `sentAt` has been applied. It removes an uncertainty that is older than the read.
void onRecordsRead(lease_validity &validity, millis sentAt);
/// The time after which no order may be open; long past where nothing is certain.
millis validUntil(const lease_validity &validity);

/// What the previous owner of a server last reported in a heartbeat.
struct reported_ownership
{
    millis receivedAt; ///< when the heartbeat was received
    millis validUntil; ///< the owner sends no order after this unless it renews its lease
};

/// A server's ownership record has gone without being released by its owner.
struct removed_ownership
{
    millis seenAt; ///< when this daemon saw that the record is gone
    std::optional<reported_ownership> owner; ///< nothing: no heartbeat of the owner, or no known owner
};

/// From the end of a lease until a daemon sees that its records are gone: the pause between watches, the way
/// through a reader, and a slow store.
constexpr millis maxExpiryLag{1'500};

/// From when the successor may send orders. If the records went about when the owner's reported validity
/// ended, the owner has died and its lease expired: there is nothing to wait for. Records that went at
/// another time may have been removed while the owner does not know; it stops after another lease length at
/// the latest.
millis firstOrderAt(const removed_ownership &removed, millis leaseTtl);

}
