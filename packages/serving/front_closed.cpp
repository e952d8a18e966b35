#include "serving/front_pending.h"

#include <algorithm>

// Handling of servers that have closed themselves to this daemon by a notice.
namespace briarhead {

/// Whether the request's service has servers, but all of them are closed to this daemon.
bool front_task::allServersClosed(const pending_request &pending) const
{
    bool hasServers = false;
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.service == pending.service && isOfStreamVersion(pending, server)) {
            hasServers = true;
            if (!isClosed(m_notices.accessOf(server))) {
                return false;
            }
        }
    }
    return hasServers;
}

bool front_task::isUnreachable(const std::string &server) const
{
    const auto health = m_serverHealth.find(server);
    return health != m_serverHealth.end() && briarhead::isUnreachable(health->second, bootNow());
}

const char *front_task::noServerReason(const pending_request &pending) const
{
    return allServersClosed(pending) ? "all servers leave or want a pause"
        : lacksPermit(pending)       ? "the limits of the servers are used up"
        : pending.origin             ? "no server of the stream's software version can take it"
                                     : "no server";
}

/// Retry-After for a request that finds no server. If all servers are closed, the end of the shortest pause,
/// with jitter; otherwise the earliest time at which a slot or permit is expected. `fallback` if unknown.
millis front_task::earliestRetryAfter(const pending_request &pending, millis fallback) const
{
    std::optional<millis> earliest;
    const auto consider = [&earliest](millis retryAfter) {
        earliest = earliest ? std::min(*earliest, retryAfter) : retryAfter;
    };
    if (pending.shortestRetryAfter.count >= 0) {
        consider(pending.shortestRetryAfter);
    }
    std::optional<millis> shortestPause;
    bool anyClosed = false;
    bool anyOpen = false;
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.service != pending.service || !isOfStreamVersion(pending, server)) {
            continue;
        }
        switch (m_notices.accessOf(server)) {
        case server_access::WithPermit:
            anyOpen = true;
            consider(*permitWait(id) - maxSlotWait(pending.matchedRoute->target));
            break;
        case server_access::Paused: {
            const millis remaining = m_notices.pauseLeft(server, m_settings.node);
            shortestPause = std::min(shortestPause.value_or(remaining), remaining);
            anyClosed = true;
            break;
        }
        case server_access::Leaving:
            anyClosed = true;
            break;
        default:
            anyOpen = true;
        }
    }
    if (anyClosed && !anyOpen) {
        return withJitter(
            std::max(shortestPause.value_or(retryAfterAllLeaving), minRetryAfter), pending.request.id);
    }
    return earliest ? std::max(*earliest, minRetryAfter) : fallback;
}

/// When a server becomes closed, dispatches the requests that wait for a slot there again, to other servers.
void front_task::onServerClosed(const std::string &server)
{
    if (!isClosed(m_notices.accessOf(server))) {
        return;
    }
    std::vector<request_ptr> waiting;
    for (const auto &[id, number] : m_numberByRequestId) {
        const auto found = m_requests.find(number);
        const bool isWaiting = found != m_requests.end()
            && found->second->progress.stage == request_stage::AwaitingSlot
            && found->second->attempt.server == server && !isBlocked(*found->second);
        if (isWaiting) {
            waiting.push_back(found->second);
        }
    }
    for (const request_ptr &pending : waiting) {
        --pending->serversTried;
        dispatchElsewhere(pending, slot_event::Ended);
    }
}

/// Failures over a cut link say nothing about the server.
void front_task::onServerLinkCut(const std::string &server)
{
    m_serverHealth.erase(server);
    m_plainLatency.erase(server);
}

/// Gives up the server that the request was meant for, before anything was sent, and dispatches it again.
void front_task::dispatchElsewhere(const request_ptr &pending, slot_event event)
{
    pending->attempt.slotRequestTimer.reset();
    notifyOwner(*pending, event);
    pending->excludedServers.insert(pending->attempt.server);
    dispatch(pending);
}

}
