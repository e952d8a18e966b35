#include "serving/beat_cells.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace briarhead {

namespace {

/// A failure domain's daemons. Those whose record lapsed hear too, but count for nothing and pass nothing on.
struct domain_daemons
{
    std::vector<const daemon_record *> live;
    std::vector<const daemon_record *> lapsed;
};

using domain_map = std::map<std::string, domain_daemons>;

domain_map byDomain(const fleet_shape &fleet)
{
    domain_map domains;
    for (const auto &[node, record] : *fleet.daemons) {
        domains[record.failureDomain].live.push_back(&record);
    }
    if (fleet.lapsed != nullptr) {
        for (const auto &[node, record] : *fleet.lapsed) {
            domains[record.failureDomain].lapsed.push_back(&record);
        }
    }
    return domains;
}

/// Adds those of a cell but for `self`.
void addHearers(std::vector<const daemon_record *> &to, const std::vector<const daemon_record *> &daemons,
    std::size_t cells, std::size_t cell, const std::string &self)
{
    std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(to), [&](const daemon_record *record) {
        return record->node != self && cellOf(record->node, cells) == cell;
    });
}

}

std::size_t cellCount(std::size_t daemons, std::size_t servers)
{
    const std::size_t byDaemons = (daemons + cellDaemons - 1) / cellDaemons;
    const std::size_t byServers = (servers + cellServers - 1) / cellServers;
    return std::max<std::size_t>({byDaemons, byServers, 1});
}

std::size_t cellOf(std::string_view name, std::size_t cells)
{
    return cells <= 1 ? 0 : static_cast<std::size_t>(rendezvousScore("cell", name) % cells);
}

std::size_t cellsIn(const fleet_shape &fleet, std::string_view domain)
{
    const auto near = std::count_if(fleet.daemons->begin(), fleet.daemons->end(), [domain](const auto &each) {
        return each.second.failureDomain == domain;
    });
    return cellCount(static_cast<std::size_t>(near), fleet.servers);
}

std::vector<beat_parcel> dealBeats(
    const fleet_shape &fleet, const daemon_record &from, const fleet_heartbeat &beat, int round)
{
    std::vector<beat_parcel> parcels;
    for (const auto &[domain, daemons] : byDomain(fleet)) {
        const bool own = domain == from.failureDomain;
        const std::size_t cells = cellCount(daemons.live.size(), fleet.servers);
        std::map<std::size_t, beat_parcel> byCell;
        for (const server_heartbeat &server : beat.servers) {
            fleet_heartbeat &part = byCell[cellOf(server.server, cells)].beat;
            part.ownershipLeftMs = beat.ownershipLeftMs;
            part.maxFullSpeedLoads = beat.maxFullSpeedLoads;
            part.servers.push_back(server);
        }
        for (const limit_heartbeat &limit : beat.limits) {
            byCell[cellOf(limit.server, cells)].beat.limits.push_back(limit);
        }
        for (auto &[cell, parcel] : byCell) {
            addHearers(parcel.to, daemons.live, cells, cell, from.node);
            const bool direct = own || parcel.to.size() <= directPeers;
            if (!direct && round % relayedRounds != 0) {
                continue;
            }
            parcel.beat.relay = !direct;
            if (direct) {
                addHearers(parcel.to, daemons.lapsed, cells, cell, from.node);
            } else {
                parcel.to = {parcel.to[static_cast<std::size_t>(round) % parcel.to.size()]};
            }
            if (parcel.to.empty()) {
                continue;
            }
            parcels.push_back(std::move(parcel));
        }
    }
    return parcels;
}

std::vector<const daemon_record *> passOnTo(
    const fleet_shape &fleet, const daemon_record &relay, const fleet_heartbeat &beat)
{
    const domain_map domains = byDomain(fleet);
    const auto own = domains.find(relay.failureDomain);
    std::vector<const daemon_record *> to;
    if (own == domains.end() || beat.servers.empty()) {
        return to;
    }
    // A beat that is relayed holds servers of one cell.
    const std::size_t cells = cellCount(own->second.live.size(), fleet.servers);
    const std::size_t cell = cellOf(beat.servers.front().server, cells);
    addHearers(to, own->second.live, cells, cell, relay.node);
    addHearers(to, own->second.lapsed, cells, cell, relay.node);
    return to;
}

}
