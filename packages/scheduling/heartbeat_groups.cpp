#include "scheduling/heartbeat_groups.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace briarhead {

namespace {

/// The daemons of a failure domain. Daemons whose record has expired receive heartbeats too, but are neither
/// counted nor used as relays.
struct domain_daemons
{
    std::vector<const daemon_record *> live;
    std::vector<const daemon_record *> expired;
};

using domain_map = std::map<std::string, domain_daemons>;

domain_map byDomain(const fleet_shape &fleet)
{
    domain_map domains;
    for (const auto &[node, record] : *fleet.daemons) {
        domains[record.failureDomain].live.push_back(&record);
    }
    if (fleet.expired != nullptr) {
        for (const auto &[node, record] : *fleet.expired) {
            domains[record.failureDomain].expired.push_back(&record);
        }
    }
    return domains;
}

/// Appends the daemons of a group, except `self`.
void addGroupMembers(std::vector<const daemon_record *> &recipients,
    const std::vector<const daemon_record *> &daemons, std::size_t groups, std::size_t group,
    const std::string &self)
{
    std::copy_if(
        daemons.begin(), daemons.end(), std::back_inserter(recipients), [&](const daemon_record *record) {
            return record->node != self && heartbeatGroupOf(record->node, groups) == group;
        });
}

}

std::size_t heartbeatGroupCount(std::size_t daemons, std::size_t servers)
{
    const std::size_t byDaemons = (daemons + maxDaemonsPerGroup - 1) / maxDaemonsPerGroup;
    const std::size_t byServers = (servers + maxServersPerGroup - 1) / maxServersPerGroup;
    return std::max<std::size_t>({byDaemons, byServers, 1});
}

std::size_t heartbeatGroupOf(std::string_view name, std::size_t groups)
{
    return groups <= 1 ? 0 : static_cast<std::size_t>(rendezvousScore("cell", name) % groups);
}

std::size_t heartbeatGroupsIn(const fleet_shape &fleet, std::string_view domain)
{
    const auto near = std::count_if(fleet.daemons->begin(), fleet.daemons->end(), [domain](const auto &each) {
        return each.second.failureDomain == domain;
    });
    return heartbeatGroupCount(static_cast<std::size_t>(near), fleet.servers);
}

millis heartbeatPhase(std::string_view node, millis interval)
{
    return {static_cast<std::int64_t>(
        rendezvousScore("heartbeat", node) % static_cast<std::uint64_t>(interval.count))};
}

std::vector<heartbeat_delivery> planHeartbeats(
    const fleet_shape &fleet, const daemon_record &from, const fleet_heartbeat &heartbeat, int round)
{
    std::vector<heartbeat_delivery> deliveries;
    for (const auto &[domain, daemons] : byDomain(fleet)) {
        const bool own = domain == from.failureDomain;
        const std::size_t groups = heartbeatGroupCount(daemons.live.size(), fleet.servers);
        std::map<std::size_t, heartbeat_delivery> byGroup;
        for (const server_heartbeat &server : heartbeat.servers) {
            fleet_heartbeat &groupHeartbeat = byGroup[heartbeatGroupOf(server.server, groups)].heartbeat;
            groupHeartbeat.ownershipLeftMs = heartbeat.ownershipLeftMs;
            groupHeartbeat.maxFullSpeedLoads = heartbeat.maxFullSpeedLoads;
            groupHeartbeat.servers.push_back(server);
        }
        for (const limit_heartbeat &limit : heartbeat.limits) {
            byGroup[heartbeatGroupOf(limit.server, groups)].heartbeat.limits.push_back(limit);
        }
        for (auto &[group, delivery] : byGroup) {
            addGroupMembers(delivery.recipients, daemons.live, groups, group, from.node);
            const bool direct = own || delivery.recipients.size() <= maxDirectPeers;
            if (!direct && round % relayIntervalRounds != 0) {
                continue;
            }
            delivery.heartbeat.relay = !direct;
            if (direct) {
                addGroupMembers(delivery.recipients, daemons.expired, groups, group, from.node);
            } else {
                delivery.recipients = {
                    delivery.recipients[static_cast<std::size_t>(round) % delivery.recipients.size()]};
            }
            if (delivery.recipients.empty()) {
                continue;
            }
            deliveries.push_back(std::move(delivery));
        }
    }
    return deliveries;
}

std::vector<const daemon_record *> relayTargets(
    const fleet_shape &fleet, const daemon_record &relay, const fleet_heartbeat &heartbeat)
{
    const domain_map domains = byDomain(fleet);
    const auto own = domains.find(relay.failureDomain);
    std::vector<const daemon_record *> recipients;
    if (own == domains.end() || heartbeat.servers.empty()) {
        return recipients;
    }
    // All servers of a relayed heartbeat belong to the same group.
    const std::size_t groups = heartbeatGroupCount(own->second.live.size(), fleet.servers);
    const std::size_t group = heartbeatGroupOf(heartbeat.servers.front().server, groups);
    addGroupMembers(recipients, own->second.live, groups, group, relay.node);
    addGroupMembers(recipients, own->second.expired, groups, group, relay.node);
    return recipients;
}

load_heartbeat loadsFor(const fleet_heartbeat &heartbeat, const load_heartbeat &loads)
{
    load_heartbeat part{{}, loads.plainServers};
    for (const server_load &load : loads.servers) {
        const bool included = std::any_of(
            heartbeat.servers.begin(), heartbeat.servers.end(), [&load](const server_heartbeat &each) {
                return each.server == load.server;
            });
        if (included) {
            part.servers.push_back(load);
        }
    }
    return part;
}

}
