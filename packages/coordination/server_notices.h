#pragma once

#include "state/clock.h"

#include <map>
#include <string>
#include <utility>

// What backend servers say of themselves in their answers: the one place where a daemon keeps it.
namespace briarhead {

/// Requests a second that a server takes from all daemons together, as a daemon has heard of it.
struct named_limit
{
    double perSecond = 0;
    millis heard; ///< last, in an answer; or first, from another daemon
    millis turnAt; ///< a further request has its turn then, as far as this daemon knows
};

using named_limits = std::map<std::string, named_limit>; ///< by server

/// A start of a server is named by the server and, where it is told, the time of the start.
struct server_words
{
    named_limits limits;
    std::map<std::string, millis> leaving; ///< when a start first said so; by start
    /// Until when a start wants nothing from a daemon; by start and daemon.
    std::map<std::pair<std::string, std::string>, millis> pauses;
};

/// No pause is taken for longer than this, whatever an answer says.
constexpr millis longestPause{3'600'000};
/// A server that leaves is gone long before; one that isn't says so again.
constexpr millis leavingKept{3'600'000};

/// Callers that are refused together are told times that lie apart by up to this fraction, so that they don't
/// return together.
constexpr double comeBackSpread = 0.5;

/// Takes in that a start of a server leaves; whether that is new. It is final for that start.
bool hearLeaving(server_words &words, const std::string &start, millis now);
/// Takes in that it wants nothing from a daemon for so long; whether that is longer than was known. A pause
/// that was asked for stands, whatever shorter one is asked for later.
bool hearPause(
    server_words &words, const std::string &start, const std::string &daemon, millis pause, millis now);

bool isLeaving(const server_words &words, const std::string &start);
/// What is left of a daemon's pause; 0: it has none.
millis pauseLeft(const server_words &words, const std::string &start, const std::string &daemon, millis now);

}
