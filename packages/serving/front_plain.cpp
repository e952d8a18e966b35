#include "serving/front_pending.h"

#include "coordination/rendezvous.h"

#include <algorithm>

// Choice of the plain server for a request, and the reports of requests in flight at plain servers.
namespace briarhead {

namespace {

/// Plain servers in a load heartbeat at most: those with the most requests. With server names of 12 bytes,
/// they add 100 bytes, less than a heartbeat has.
constexpr std::size_t maxPlainServersReported = 4;

}

/// Finds the plain servers of each service, and the daemon's order of them where the members have changed.
/// The order costs a hash for each daemon and server, and a view changes more often than its members.
void front_task::updatePlainMembers()
{
    if (m_plainMembersCurrent) {
        return;
    }
    m_plainMembersCurrent = true;
    std::vector<subset_member> daemons;
    std::uint64_t daemonsHash = 0;
    for (const auto &[node, record] : m_store.view().daemons) {
        daemons.push_back({node, record.failureDomain});
        daemonsHash ^= rendezvousScore(node, record.failureDomain);
    }
    std::map<std::string, std::vector<subset_member>> members;
    std::map<std::string, std::vector<std::string>> servers;
    for (const auto &[id, server] : m_store.view().servers) {
        if (!featuresFor(server.service).plainLoad) {
            continue;
        }
        servers[server.service].push_back(id);
        if (!server.draining) {
            members[server.service].push_back({id, server.failureDomain});
        }
    }
    std::erase_if(m_plainServices, [&servers](const auto &each) {
        return servers.count(each.first) == 0;
    });
    const subset_member self{m_settings.node, m_settings.failureDomain};
    for (auto &[name, ids] : servers) {
        plain_service &service = m_plainServices[name];
        service.servers = std::move(ids);
        const std::vector<subset_member> &open = members[name];
        std::uint64_t hash = daemonsHash;
        for (const subset_member &server : open) {
            hash ^= rendezvousScore(server.name, server.failureDomain);
        }
        if (hash == service.membersHash && !service.order.empty()) {
            continue;
        }
        service.membersHash = hash;
        service.order.clear();
        for (const std::size_t i : connectionOrder(self, daemons, open)) {
            service.order.emplace_back(open[i].name);
        }
    }
}

/// How many servers this daemon has requests enough for to keep connections in use.
std::size_t front_task::plainWidth(const plain_service &service, millis now) const
{
    millis total;
    int known = 0;
    for (const std::string &id : service.order) {
        const auto server = m_store.view().servers.find(id);
        const millis keepTime =
            server == m_store.view().servers.end() ? millis{} : m_pool.keepTime(server->second.address);
        total = total + keepTime;
        known += keepTime.count > 0 ? 1 : 0;
    }
    const millis mean{known == 0 ? 0 : total.count / known};
    return subsetWidth(requestsPerSecond(service.rate, now), mean, service.servers.size());
}

plain_candidate front_task::plainCandidateOf(
    const pending_request &pending, const backend_server &server, millis now) const
{
    plain_candidate candidate;
    candidate.excluded = isClosed(m_notices.accessOf(server)) || pending.excludedServers.count(server.id) != 0
        || isUnreachable(server.id) || !isOfStreamVersion(pending, server);
    candidate.sameDomain = server.failureDomain == m_settings.failureDomain;
    candidate.slots = server.slots;
    const auto inFlight = m_inFlight.find(server.id);
    candidate.inFlight = inFlight == m_inFlight.end() ? 0 : inFlight->second;
    const auto health = m_serverHealth.find(server.id);
    candidate.failureRate = health == m_serverHealth.end() ? 0 : currentFailureRate(health->second, now);
    candidate.tieBreak = rendezvousScore(pending.request.id, server.id);
    if (const auto wait = permitWait(server.id)) {
        candidate.limited = true;
        candidate.permitWait = static_cast<double>(wait->count)
            / static_cast<double>(std::max<std::int64_t>(pending.matchedRoute->target.count, 1));
        candidate.excluded =
            candidate.excluded || pending.serversTried >= maxServersTried || isPermitTooLate(pending, *wait);
    }
    if (!featuresFor(pending.service).plainLoad) {
        return candidate;
    }
    const std::size_t daemons = m_store.view().daemons.size();
    candidate.othersInFlight = othersInFlight(m_plainReports, server.id, daemons == 0 ? 0 : daemons - 1, now);
    if (const auto latency = m_plainLatency.find(server.id); latency != m_plainLatency.end()) {
        candidate.usualMs = latency->second.meanMs;
        candidate.stalledMs = stalledMs(latency->second, now);
    }
    candidate.reusableFor = m_pool.reusableFor(server.address);
    return candidate;
}

void front_task::dispatchPlain(const request_ptr &pending)
{
    const millis now = bootNow();
    updatePlainMembers();
    std::vector<const backend_server *> servers;
    std::vector<plain_candidate> candidates;
    const auto add = [&](const backend_server &server) {
        servers.push_back(&server);
        candidates.push_back(plainCandidateOf(*pending, server, now));
    };
    plain_request request;
    std::optional<std::size_t> chosen;
    const auto &known = m_store.view().servers;
    const auto found = m_plainServices.find(pending->service);
    if (found != m_plainServices.end()) {
        plain_service &service = found->second;
        request.targetMs = static_cast<double>(pending->matchedRoute->target.count);
        request.targetLeft = pending->matchedRoute->target - (now - pending->arrived);
        if (pending->serversTried == 0 && pending->excludedServers.empty()) {
            countRequest(service.rate, now);
        }
        const std::size_t width = plainWidth(service, now);
        if (width < service.servers.size()) {
            for (const std::string &id : service.order) {
                if (const auto server = known.find(id); server != known.end()) {
                    add(server->second);
                }
            }
            request.keepsConnections = true;
            chosen = chooseFromSubset(candidates, width, request);
        }
    }
    if (!chosen) { // no subset, or it has no server for this request
        servers.clear();
        candidates.clear();
        request.keepsConnections = false;
        if (found != m_plainServices.end()) {
            // A request that another task dispatches again on a change of the view may come before the update
            // of the members, which then still list a removed server.
            for (const std::string &id : found->second.servers) {
                if (const auto server = known.find(id); server != known.end()) {
                    add(server->second);
                }
            }
        } else {
            for (const auto &[id, server] : known) {
                if (server.service == pending->service) {
                    add(server);
                }
            }
        }
        chosen = choosePlainServer(candidates, request);
    }
    if (!chosen) {
        if (pending->fallback) {
            forwardResponse(pending, *pending->fallback);
            return;
        }
        refuse(pending, noServerReason(*pending), earliestRetryAfter(*pending, retryAfterTransient));
        return;
    }
    const backend_server &server = *servers[*chosen];
    const plain_candidate &candidate = candidates[*chosen];
    if (found != m_plainServices.end()) {
        m_log.ordinary("plain.chosen")
            .add("id", pending->request.id)
            .add("server", server.id)
            .add("subset", request.keepsConnections ? 1 : 0)
            .add("candidates", static_cast<std::int64_t>(candidates.size()))
            .add("servers", static_cast<std::int64_t>(found->second.servers.size()))
            .add("reusable_ms", candidate.reusableFor.value_or(millis{-1}))
            .add("in_flight", candidate.inFlight)
            .add("others_in_flight", candidate.othersInFlight)
            .add("report_age_ms", now - m_plainReports.lastAt)
            .add("stalled_ms", candidate.stalledMs);
    }
    if (m_notices.accessOf(server) == server_access::WithPermit) {
        requestPermit(pending, server);
        return;
    }
    beginAttempt(*pending, server.id);
    send(pending, server);
}

/// Whether the time until the response's end is a response time: streams take as long as their events do.
bool front_task::isTimedPlainRequest(const pending_request &pending) const
{
    return !pending.usesModelServer && pending.matchedRoute->kind != route_kind::Stream
        && featuresFor(pending.service).plainLoad;
}

void front_task::onPlainSendEnd(const pending_request &pending, bool answered)
{
    const auto latency = m_plainLatency.find(pending.attempt.server);
    if (latency != m_plainLatency.end() && pending.attempt.isTimed) {
        recordPlainEnd(latency->second, pending.attempt.sentAt, answered, bootNow());
    }
}

void front_task::applyPlainLoads(const std::string &node, const std::vector<plain_load> &loads)
{
    if (node == m_settings.node) {
        return;
    }
    for (const plain_load &each : loads) {
        if (m_store.view().servers.count(each.server) != 0) {
            recordReport(m_plainReports, each.server, each.inFlight, bootNow());
        }
    }
}

std::vector<plain_load> front_task::plainLoads() const
{
    std::vector<plain_load> loads;
    for (const auto &[server, latency] : m_plainLatency) {
        if (!latency.outstanding.empty()) {
            loads.push_back({server, static_cast<std::uint32_t>(latency.outstanding.size())});
        }
    }
    const std::size_t count = std::min(loads.size(), maxPlainServersReported);
    std::partial_sort(loads.begin(), loads.begin() + static_cast<std::ptrdiff_t>(count), loads.end(),
        [](const plain_load &a, const plain_load &b) {
            return a.inFlight > b.inFlight;
        });
    loads.resize(count);
    return loads;
}

}
