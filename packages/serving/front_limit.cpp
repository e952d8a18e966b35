#include "coordination/quota_plan.h"
#include "serving/front_pending.h"

#include <algorithm>

// Servers with a rate limit: permits for requests, and limits announced in responses.
namespace briarhead {

/// How much longer the request may wait for a slot or permit.
millis front_task::slotWaitLeft(const pending_request &pending) const
{
    return maxSlotWait(pending.matchedRoute->target) - (bootNow() - pending.arrived);
}

/// The expected wait for a permit of the server, or nothing if the server has no limit.
std::optional<millis> front_task::permitWait(const std::string &server) const
{
    const auto limit = m_limits.find(server);
    return limit == m_limits.end()
        ? std::nullopt
        : std::optional(std::max(limit->second.nextPermitAt - bootNow(), millis{}));
}

bool front_task::isPermitTooLate(const pending_request &pending, millis wait) const
{
    return wait > std::max(slotWaitLeft(pending), millis{});
}

/// Whether a server of the request's service can't be used because of its limit.
bool front_task::lacksPermit(const pending_request &pending) const
{
    return std::any_of(m_limits.begin(), m_limits.end(), [&](const auto &each) {
        const auto found = m_store.view().servers.find(each.first);
        return found != m_store.view().servers.end() && found->second.service == pending.service
            && (isPermitTooLate(pending, *permitWait(each.first))
                || pending.excludedServers.count(each.first) != 0);
    });
}

/// The daemon that grants the permits of a plain server: the server's owner or, if it has none, the daemon
/// that should become its owner. Empty if the owner is unresponsive.
std::string front_task::limitOwner(const backend_server &server) const
{
    const store_view &view = m_store.view();
    const auto record = view.serverOwners.find(server.id);
    const auto observed = m_observed.find(server.id);
    if (record != view.serverOwners.end() && view.daemons.count(record->second.record.node) != 0) {
        const std::string &node = record->second.record.node;
        const bool unresponsive = observed != m_observed.end() && observed->second.owner == node
            && !isFresh(observed->second, bootNow());
        return unresponsive ? std::string() : node;
    }
    return preferredOwner(ownerCandidates(view), server);
}

/// Requests a permit for a plain server with a limit.
void front_task::requestPermit(const request_ptr &pending, const backend_server &server)
{
    beginAttempt(*pending, server.id).owner = limitOwner(server);
    ++pending->serversTried;
    announced_limit &limit = m_limits.at(server.id);
    if (pending->attempt.owner.empty()) {
        limit.nextPermitAt = bootNow() + unresponsiveOwnerBackoff;
        pending->excludedServers.insert(server.id);
        dispatchPlain(pending);
        return;
    }
    countPermitRequest(limit, bootNow());
    requestSlot(pending);
}

/// Reports the limit in a response, or its absence, to the server's owner.
void front_task::reportLimit(const pending_request &pending)
{
    std::string owner = pending.attempt.owner;
    if (owner.empty()) {
        const auto server = m_store.view().servers.find(pending.attempt.server);
        owner = server == m_store.view().servers.end() ? owner : limitOwner(server->second);
    }
    if (!owner.empty()) {
        const auto rate = rateOf(pending.attempt.meta.limit, pending.attempt.meta.maxRejections);
        sendToOwner(
            owner, limit_report{pending.request.id, pending.attempt.server, rate ? toMilli(*rate) : -1});
    }
}

/// Whether the response is a brittle server's rejection for want of room. A missing adapter is none.
bool front_task::isBrittleRejection(const pending_request &pending) const
{
    const bool rejected =
        pending.attempt.meta.notExecuted && pending.attempt.head.status != misdirectedStatus;
    const auto limit = m_limits.find(pending.attempt.server);
    return rejected && limit != m_limits.end() && limit->second.maxRejections.has_value();
}

/// Reports the rejection to the owner in place of the request's end. Datagrams may be lost, and the owner
/// counts a request as running until it hears of its end, so two are sent.
void front_task::reportRejection(const pending_request &pending)
{
    const server_rejection message{pending.request.id, pending.attempt.server};
    sendToOwner(pending.attempt.owner, message);
    sendToOwner(pending.attempt.owner, message);
}

/// Applies the server's limit, or its absence, from the head of a response.
void front_task::onResponseLimit(const pending_request &pending)
{
    // Rejected requests and unsigned responses don't prove the absence of a limit, since they may come from a
    // part of the server, or from an intermediary, that doesn't know it.
    const auto rate = rateOf(pending.attempt.meta.limit, pending.attempt.meta.maxRejections);
    const bool conveysLimit = rate
        || (pending.attempt.meta.signedByServer && !pending.attempt.meta.notExecuted
            && pending.attempt.meta.unreadable.empty());
    if (!conveysLimit) {
        return;
    }
    const bool wasKnown = m_limits.count(pending.attempt.server) != 0;
    const auto change = briarhead::applyResponseLimit(m_limits, pending.attempt.server,
        pending.attempt.meta.limit, pending.attempt.meta.maxRejections, pending.attempt.sentAt, bootNow());
    if (change != limit_change::None) {
        m_log.important("server.limit")
            .add("id", pending.request.id)
            .add("server", pending.attempt.server)
            .add("change", nameOf(change))
            .add("per_second", pending.attempt.meta.limit.value_or(-1))
            .add("max_rejections", pending.attempt.meta.maxRejections.value_or(-1));
    }
    if (rate || wasKnown) {
        reportLimit(pending);
    }
}

}
