#pragma once

#include "serving/limit_check.h"
#include "state/clock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// Holds what a server got against what it had said of itself: that it leaves, and that it wants nothing from
// a daemon for a while.
namespace briarhead {

/// An answer that said so.
struct sent_notice
{
    std::string id; ///< of the request that it answered
    millis at;
    bool leaving = false;
    millis pause; ///< 0: none
};

/// From such an answer until the daemon that got it has to go by it, and the requests that may come in a
/// pause.
constexpr millis leavingReactionTime{2'000};
constexpr millis pauseReactionTime{500};
constexpr std::size_t maxRequestsInPause = 2;

/// The daemon that sent a request, by its id; empty: what it sent doesn't count.
using sender_of = std::function<std::string(const std::string &id, millis at)>;

/// The first request that reached a server too long after its daemon was told that the server leaves, in
/// words.
std::optional<std::string> findSendAfterLeaving(const std::vector<sent_notice> &notices,
    const std::vector<received_request> &arrivals, const sender_of &senderOf);
/// The first pause in which too many requests came from the daemon that was asked for it, in words.
std::optional<std::string> findSendInPause(const std::vector<sent_notice> &notices,
    const std::vector<received_request> &arrivals, const sender_of &senderOf);

}
