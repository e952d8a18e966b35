#pragma once

#include "state/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

// What backend servers announce about themselves in their responses. A daemon keeps all of it here.
namespace briarhead {

/// The rate of a server that announces none, but whose requests need permits since it is brittle.
constexpr double unlimitedPerSecond = 1'000'000;

/// The limits that a server announced for all daemons together: a rate, or that it is brittle, or both.
struct announced_limit
{
    double perSecond = 0; ///< requests; unlimitedPerSecond if no rate was announced
    millis receivedAt; ///< last received in a response, or first received from another daemon
    millis nextPermitAt; ///< when the next request may be sent, as far as this daemon knows
    /// Requests that the server bears to reject per second for want of room; empty: not brittle, or this
    /// daemon has not seen the announcement itself.
    std::optional<std::int64_t> maxRejections = {};
};

using announced_limits = std::map<std::string, announced_limit>; ///< by server

/// An incarnation of a server is identified by the server's name and, where known, its start time.
struct server_notices
{
    announced_limits limits;
    std::map<std::string, millis> leaving; ///< when it was first announced; by incarnation
    /// Until when an incarnation accepts no requests from a daemon; by incarnation and daemon.
    std::map<std::pair<std::string, std::string>, millis> pauses;
};

/// A longer pause that a response asks for is cut to this.
constexpr millis maxServerPause{3'600'000};
/// How long a leaving notice is kept. A leaving server has ended long before, or repeats the notice.
constexpr millis leavingRetention{3'600'000};

/// The retry times given to callers that are refused together are lengthened by a random fraction of up to
/// this much, so that the callers don't all return at once.
constexpr double retryAfterSpread = 0.5;

/// Records that an incarnation of a server is leaving, which is final. Returns whether this is new.
bool recordLeaving(server_notices &notices, const std::string &incarnation, millis now);
/// Records that a server incarnation accepts no requests from a daemon for `pause`. Returns whether this
/// extends the known pause; a shorter one never ends it earlier.
bool recordPause(server_notices &notices, const std::string &incarnation, const std::string &daemon,
    millis pause, millis now);

bool isLeaving(const server_notices &notices, const std::string &incarnation);
/// What remains of a server's pause for a daemon; 0: there is none.
millis pauseLeft(
    const server_notices &notices, const std::string &incarnation, const std::string &daemon, millis now);

}
