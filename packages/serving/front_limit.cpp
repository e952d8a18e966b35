#include "coordination/quota_plan.h"
#include "serving/front_pending.h"

#include <algorithm>

// What a request meets at a server that names a limit: its turn there, and what an answer says of the limit.
namespace briarhead {

/// How long a caller may still wait for its turn.
millis front_task::slotWaitLeft(const pending_request &pending) const
{
    return maxSlotWait(pending.matchedRoute->target) - (bootNow() - pending.arrived);
}

/// Until a further request has its turn at a server that names a limit; nothing: it names none.
std::optional<millis> front_task::permitWait(const std::string &server) const
{
    const auto limit = m_limits.find(server);
    return limit == m_limits.end() ? std::nullopt
                                   : std::optional(std::max(limit->second.turnAt - bootNow(), millis{}));
}

bool front_task::isPermitTooLate(const pending_request &pending, millis wait) const
{
    return wait > std::max(slotWaitLeft(pending), millis{});
}

/// Whether a server of its service is left out for its limit.
bool front_task::lacksPermit(const pending_request &pending) const
{
    return std::any_of(m_limits.begin(), m_limits.end(), [&](const auto &each) {
        const auto found = m_store.view().servers.find(each.first);
        return found != m_store.view().servers.end() && found->second.service == pending.service
            && (isPermitTooLate(pending, *permitWait(each.first))
                || pending.excludedServers.count(each.first) != 0);
    });
}

/// The daemon that keeps the limit of a plain server, or should take that up; empty: it doesn't answer.
std::string front_task::limitOwner(const backend_server &server) const
{
    const store_view &view = m_store.view();
    const auto record = view.orderers.find(server.id);
    const auto observed = m_observed.find(server.id);
    if (record != view.orderers.end() && view.daemons.count(record->second.record.node) != 0) {
        const std::string &node = record->second.record.node;
        const bool silent = observed != m_observed.end() && observed->second.owner == node
            && !isFresh(observed->second, bootNow());
        return silent ? std::string() : node;
    }
    return proposedHolder(holderChoice(view.daemons), server);
}

/// Asks whether a plain server's limit has a turn for the request.
void front_task::requestPermit(const request_ptr &pending, const backend_server &server)
{
    pending->server = server.id;
    pending->granted = false;
    pending->slotRequestsSent = 0;
    pending->slotRequestedAt = bootNow();
    pending->owner = limitOwner(server);
    ++pending->serversTried;
    named_limit &limit = m_limits.at(server.id);
    if (pending->owner.empty()) {
        limit.turnAt = bootNow() + unresponsiveOwnerBackoff;
        pending->excludedServers.insert(server.id);
        dispatchPlain(pending);
        return;
    }
    countPermitRequest(limit, bootNow());
    sendSlotRequest(pending);
}

/// Tells the daemon that keeps a server's limit what an answer said of it.
void front_task::reportLimit(const pending_request &pending)
{
    std::string holder = pending.owner;
    if (holder.empty()) {
        const auto server = m_store.view().servers.find(pending.server);
        holder = server == m_store.view().servers.end() ? holder : limitOwner(server->second);
    }
    if (!holder.empty()) {
        sendToOwner(holder,
            limit_note{pending.request.id, pending.server,
                pending.responseMeta.limit ? toMilli(*pending.responseMeta.limit) : -1});
    }
}

/// What the head of an answer says of its server's limit.
void front_task::onResponseLimit(const pending_request &pending)
{
    // A server that took nothing, or someone between, need not know of the limit.
    const bool says = pending.responseMeta.limit
        || (pending.responseMeta.signedByServer && !pending.responseMeta.notExecuted
            && pending.responseMeta.unreadable.empty());
    if (!says) {
        return;
    }
    const bool wasKnown = m_limits.count(pending.server) != 0;
    const auto change = briarhead::applyResponseLimit(
        m_limits, pending.server, pending.responseMeta.limit, pending.sentAt, bootNow());
    if (change != limit_change::None) {
        m_log.important("server.limit")
            .add("id", pending.request.id)
            .add("server", pending.server)
            .add("change", nameOf(change))
            .add("per_second", pending.responseMeta.limit.value_or(-1));
    }
    if (pending.responseMeta.limit || wasKnown) {
        reportLimit(pending);
    }
}

}
