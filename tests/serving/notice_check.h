#pragma once

#include "scheduling/limit_check.h"
#include "state/clock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// Checks the requests that a server received against its notices: that it is leaving, and that it wants a
// daemon to pause.
namespace briarhead {

/// A notice that a server sent in a response.
struct sent_notice
{
    std::string id; ///< of the request that was responded to
    millis at;
    bool leaving = false;
    millis pause; ///< requested pause; 0 for none
};

/// The time within which a daemon has to react to a notice, and the requests that are tolerated in a pause.
constexpr millis leavingReactionTime{2'000};
constexpr millis pauseReactionTime{500};
constexpr std::size_t maxRequestsInPause = 2;

/// Returns the daemon that sent a request, by its id, or an empty string if the request is not to be counted.
using sender_of = std::function<std::string(const std::string &id, millis at)>;

/// Describes the first request that a daemon sent too long after it was notified that the server is leaving.
std::optional<std::string> findSendAfterLeaving(const std::vector<sent_notice> &notices,
    const std::vector<received_request> &arrivals, const sender_of &senderOf);
/// Describes the first pause in which the daemon that was asked for it sent too many requests.
std::optional<std::string> findSendInPause(const std::vector<sent_notice> &notices,
    const std::vector<received_request> &arrivals, const sender_of &senderOf);

}
