#pragma once

#include "state/clock.h"

#include <optional>

// Until when a daemon may order a server that checks no fencing tokens, and from when its successor may. Such
// a server takes an order of a daemon that was replaced for a valid one: a load too many crashes it, an
// unload takes an adapter away that serves. So the holder stops by its own clock before anybody else can
// begin. Times are points on this daemon's CLOCK_BOOTTIME, which also runs while the machine is suspended and
// doesn't follow jumps of the time of day.
namespace briarhead {

/// What a daemon can prove of its lease in the store, and so of its records there.
struct lease_validity
{
    millis length; ///< of the lease, as the store granted it
    millis validFrom; ///< sending of the latest renewal that counts; the store's lease ends no earlier than
                      ///< that plus `length`
    millis lastRenewal; ///< sending of the latest renewal that succeeded, whether it counts or not
    bool uncertain = false; ///< a call failed, and no reading has shown the records since
    millis lastFailure; ///< when the latest call failed
};

/// An order is given up and its connection reset at the proof's end. This lies before the lease's end for
/// what is on its way then: some ms between failure domains, and the rest for a timer that comes late on a
/// busy machine.
constexpr millis validityMargin{150};
/// Less time than this is not enough for an order's way there and back.
constexpr millis minOrderTime{50};

/// Renewals are sent every 800 ms. After a longer gap calls may have failed that were never made: the daemon
/// stood still.
constexpr millis maxRenewalGap{1'000};

void onLeaseGranted(lease_validity &proof, millis asked, millis length);
/// A renewal that was sent at `asked` succeeded. It counts only without a doubt.
void onLeaseRenewed(lease_validity &proof, millis asked, millis gapMost = maxRenewalGap);
/// Guards against: a store that turns this daemon away may remove its records at once, while the lease lives
/// on. It shows as a failed call and nothing else; a renewal that succeeds later would prove records that
/// another daemon has claimed meanwhile. After a failed call, or a gap between renewals, they count only once
/// a reading that was sent after it has come. A store that turns a daemon away for less than the pause
/// between two renewals is not noticed.
void markUncertain(lease_validity &proof, millis at);
/// A whole reading that was sent at `asked` has come, and what it shows has been taken in.
void onRecordsRead(lease_validity &proof, millis asked);
/// No order after this; long past where nothing is proved.
millis validUntil(const lease_validity &proof);

/// What the former holder of a server's record last said of itself.
struct reported_ownership
{
    millis at;
    millis until; ///< it gives no order after this unless its lease is renewed
};

/// A server's record is gone, and its holder didn't give it up.
struct removed_ownership
{
    millis seen; ///< when this daemon saw that it is gone
    std::optional<reported_ownership> holder; ///< nothing: it was not heard, or is not known
};

/// From the end of a lease until a daemon sees that the records are gone: a watch's pause, the way by a
/// reader, and a store with slow answers.
constexpr millis maxExpiryLag{1'500};

/// From when the successor may order. A holder that died was heard to have the right until shortly before its
/// records went: they lapsed, and nothing has to be waited for. Records that went at another time may have
/// been removed under a holder that doesn't know; it stops a lease's length later at the latest.
millis firstOrderAt(const removed_ownership &left, millis leaseLength);

}
