#include "coordination/quota_plan.h"
#include "serving/front_work.h"

#include <algorithm>

// What a request meets at a server that names a limit: its turn there, and what an answer says of the limit.
namespace briarhead {

/// How long a caller may still wait for its turn.
millis front_task::patienceLeft(const work &one) const
{
    return patienceOf(one.way->target) - (bootNow() - one.arrived);
}

/// Until a further request has its turn at a server that names a limit; nothing: it names none.
std::optional<millis> front_task::turnWait(const std::string &server) const
{
    const auto limit = m_limits.find(server);
    return limit == m_limits.end() ? std::nullopt
                                   : std::optional(std::max(limit->second.turnAt - bootNow(), millis{}));
}

bool front_task::comesTooLate(const work &one, millis turnWait) const
{
    return turnWait > std::max(patienceLeft(one), millis{});
}

/// Whether a server of its service is left out for its limit.
bool front_task::lacksTurn(const work &one) const
{
    return std::any_of(m_limits.begin(), m_limits.end(), [&](const auto &each) {
        const auto found = m_store.view().servers.find(each.first);
        return found != m_store.view().servers.end() && found->second.service == one.service
            && (comesTooLate(one, *turnWait(each.first)) || one.excluded.count(each.first) != 0);
    });
}

/// The daemon that keeps the limit of a plain server, or should take that up; empty: it doesn't answer.
std::string front_task::limitHolder(const backend_server &server) const
{
    const store_view &view = m_store.view();
    const auto record = view.serverOwners.find(server.id);
    const auto heard = m_heard.find(server.id);
    if (record != view.serverOwners.end() && view.daemons.count(record->second.record.node) != 0) {
        const std::string &node = record->second.record.node;
        const bool silent =
            heard != m_heard.end() && heard->second.orderer == node && !isFresh(heard->second, bootNow());
        return silent ? std::string() : node;
    }
    return preferredOwner(ownerCandidates(view.daemons), server);
}

/// Asks whether a plain server's limit has a turn for the request.
void front_task::askTurn(const work_ptr &one, const backend_server &server)
{
    one->server = server.id;
    one->granted = false;
    one->asks = 0;
    one->askedAt = bootNow();
    one->orderer = limitHolder(server);
    ++one->placesTried;
    named_limit &limit = m_limits.at(server.id);
    if (one->orderer.empty()) {
        limit.turnAt = bootNow() + silentHolder;
        one->excluded.insert(server.id);
        startPlain(one);
        return;
    }
    countTurn(limit, bootNow());
    ask(one);
}

/// Tells the daemon that keeps a server's limit what an answer said of it.
void front_task::noteLimit(const work &one)
{
    std::string holder = one.orderer;
    if (holder.empty()) {
        const auto server = m_store.view().servers.find(one.server);
        holder = server == m_store.view().servers.end() ? holder : limitHolder(server->second);
    }
    if (!holder.empty()) {
        tell(holder, limit_note{one.request.id, one.server, one.meta.limit ? toMilli(*one.meta.limit) : -1});
    }
}

/// What the head of an answer says of its server's limit.
void front_task::hearLimit(const work &one)
{
    // A server that took nothing, or someone between, need not know of the limit.
    const bool says =
        one.meta.limit || (one.meta.signedByServer && !one.meta.notRun && one.meta.unreadable.empty());
    if (!says) {
        return;
    }
    const bool wasKnown = m_limits.count(one.server) != 0;
    const auto change = briarhead::hearLimit(m_limits, one.server, one.meta.limit, one.sentAt, bootNow());
    if (change != limit_change::None) {
        m_log.important("server.limit")
            .add("id", one.request.id)
            .add("server", one.server)
            .add("change", nameOf(change))
            .add("per_second", one.meta.limit.value_or(-1));
    }
    if (one.meta.limit || wasKnown) {
        noteLimit(one);
    }
}

}
