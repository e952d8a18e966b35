#include "serving/front_work.h"

#include <algorithm>

// What a request meets where servers are closed to this daemon by what they say of themselves.
namespace briarhead {

/// Whether its service has servers and none of them may be sent anything now, by what they say of themselves.
bool front_task::allClosed(const work &one) const
{
    bool any = false;
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.service == one.service) {
            any = true;
            if (!isClosed(m_words.accessOf(server))) {
                return false;
            }
        }
    }
    return any;
}

const char *front_task::whyNoServer(const work &one) const
{
    return allClosed(one) ? "all servers leave or want a pause"
        : lacksTurn(one)  ? "the limits of the servers are used up"
                          : "no server";
}

/// When a caller that is refused finds a server: where every server is closed at the end of the first pause,
/// apart from other callers; else at the next turn within a limit. `otherwise`: nothing tells.
millis front_task::firstBack(const work &one, millis otherwise) const
{
    std::optional<millis> first;
    const auto take = [&first](millis back) {
        first = first ? std::min(*first, back) : back;
    };
    if (one.shortestWait.count >= 0) {
        take(one.shortestWait);
    }
    std::optional<millis> pause;
    bool closed = false;
    bool open = false;
    for (const auto &[id, server] : m_store.view().servers) {
        if (server.service != one.service) {
            continue;
        }
        switch (m_words.accessOf(server)) {
        case server_access::ByTurn:
            open = true;
            take(*turnWait(id) - patienceOf(one.way->target));
            break;
        case server_access::Paused: {
            const millis left = m_words.pauseLeft(server, m_settings.node);
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
        return spread(std::max(pause.value_or(comeBackAllLeave), minRetryAfter), one.request.id);
    }
    return first ? std::max(*first, minRetryAfter) : otherwise;
}

/// What waits for a place at a server that has become closed goes elsewhere at once.
void front_task::onClosed(const std::string &server)
{
    if (!isClosed(m_words.accessOf(server))) {
        return;
    }
    std::vector<work_ptr> waiting;
    for (const auto &[id, number] : m_workOfAsk) {
        const auto found = m_work.find(number);
        const bool waits = found != m_work.end() && found->second->server == server && found->second->asks > 0
            && !found->second->granted && !found->second->sending && found->second->unitsWaiting == 0
            && !isBlocked(*found->second);
        if (waits) {
            waiting.push_back(found->second);
        }
    }
    for (const work_ptr &one : waiting) {
        --one->placesTried;
        leaveClosed(one, place_event::Ended);
    }
}

/// Nothing of the request goes to the server that it was meant for.
void front_task::leaveClosed(const work_ptr &one, place_event event)
{
    one->askTimer.reset();
    note(*one, event);
    one->granted = false;
    one->excluded.insert(one->server);
    start(one);
}

}
