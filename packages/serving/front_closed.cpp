#include "serving/front_pending.h"

#include <algorithm>

// What a request meets where servers are closed to this daemon by what they say of themselves.
namespace briarhead {

/// Whether its service has servers and none of them may be sent anything now, by what they say of themselves.
bool front_task::allServersClosed(const pending_request &pending) const
{
    bool any = false;
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.service == pending.service) {
            any = true;
            if (!isClosed(m_notices.accessOf(server))) {
                return false;
            }
        }
    }
    return any;
}

const char *front_task::noServerReason(const pending_request &pending) const
{
    return allServersClosed(pending) ? "all servers leave or want a pause"
        : lacksPermit(pending)       ? "the limits of the servers are used up"
                                     : "no server";
}

/// When a caller that is refused finds a server: where every server is closed at the end of the first pause,
/// apart from other callers; else at the next turn within a limit. `otherwise`: nothing tells.
millis front_task::earliestRetryAfter(const pending_request &pending, millis fallback) const
{
    std::optional<millis> first;
    const auto take = [&first](millis back) {
        first = first ? std::min(*first, back) : back;
    };
    if (pending.shortestRetryAfter.count >= 0) {
        take(pending.shortestRetryAfter);
    }
    std::optional<millis> pause;
    bool closed = false;
    bool open = false;
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.service != pending.service) {
            continue;
        }
        switch (m_notices.accessOf(server)) {
        case server_access::WithPermit:
            open = true;
            take(*permitWait(id) - maxSlotWait(pending.matchedRoute->target));
            break;
        case server_access::Paused: {
            const millis left = m_notices.pauseLeft(server, m_settings.node);
            pause = std::min(pause.value_or(left), left);
            closed = true;
            break;
        }
        case server_access::Leaving:
            closed = true;
            break;
        default:
            open = true;
        }
    }
    if (closed && !open) {
        return withJitter(
            std::max(pause.value_or(retryAfterAllLeaving), shortestComeBack), pending.request.id);
    }
    return first ? std::max(*first, shortestComeBack) : fallback;
}

/// What waits for a place at a server that has become closed goes elsewhere at once.
void front_task::onServerClosed(const std::string &server)
{
    if (!isClosed(m_notices.accessOf(server))) {
        return;
    }
    std::vector<request_ptr> waiting;
    for (const auto &[id, number] : m_requestOfSlotRequest) {
        const auto found = m_requests.find(number);
        const bool waits = found != m_requests.end() && found->second->server == server
            && found->second->slotRequestsSent > 0 && !found->second->granted && !found->second->activeSend
            && found->second->quotaWaitId == 0 && !isBlocked(*found->second);
        if (waits) {
            waiting.push_back(found->second);
        }
    }
    for (const request_ptr &pending : waiting) {
        --pending->serversTried;
        dispatchElsewhere(pending, place_event::Ended);
    }
}

/// Nothing of the request goes to the server that it was meant for.
void front_task::dispatchElsewhere(const request_ptr &pending, place_event event)
{
    pending->slotRequestTimer.reset();
    notifyOwner(*pending, event);
    pending->granted = false;
    pending->excludedServers.insert(pending->server);
    dispatch(pending);
}

}
