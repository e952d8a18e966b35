#pragma once

#include "state/clock.h"

#include <map>
#include <string>
#include <utility>

// What backend servers say of themselves in their answers: the one place where a daemon keeps it.
namespace briarhead {

/// Requests a second that a server takes from all daemons together, as a daemon has heard of it.
struct announced_limit
{
    double perSecond = 0;
    millis receivedAt; ///< last, in an answer; or first, from another daemon
    millis nextPermitAt; ///< a further request has its turn then, as far as this daemon knows
};

using announced_limits = std::map<std::string, announced_limit>; ///< by server

/// A incarnation of a server is named by the server and, where it is told, the time of the incarnation.
struct server_notices
{
    announced_limits limits;
    std::map<std::string, millis> leaving; ///< when a incarnation first said so; by incarnation
    /// Until when a incarnation wants nothing from a daemon; by incarnation and daemon.
    std::map<std::pair<std::string, std::string>, millis> pauses;
};

/// No pause is taken for longer than this, whatever an answer says.
constexpr millis maxServerPause{3'600'000};
/// A server that leaves is gone long before; one that isn't says so again.
constexpr millis leavingRetention{3'600'000};

/// Callers that are refused together are told times that lie apart by up to this fraction, so that they don't
/// return together.
constexpr double retryAfterSpread = 0.5;

/// Takes in that a incarnation of a server leaves; whether that is new. It is final for that incarnation.
bool recordLeaving(server_notices &notices, const std::string &incarnation, millis now);
/// Takes in that it wants nothing from a daemon for so long; whether that is longer than was known. A pause
/// that was requestedUntil for stands, whatever shorter one is requestedUntil for later.
bool recordPause(server_notices &notices, const std::string &incarnation, const std::string &daemon,
    millis pause, millis now);

bool isLeaving(const server_notices &notices, const std::string &incarnation);
/// What is left of a daemon's pause; 0: it has none.
millis pauseLeft(
    const server_notices &notices, const std::string &incarnation, const std::string &daemon, millis now);

}
