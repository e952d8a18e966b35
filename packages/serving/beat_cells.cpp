#include "serving/beat_cells.h"

#include "coordination/rendezvous.h"

#include <algorithm>

namespace briarhead {

namespace {

using domain_map = std::map<std::string, std::vector<const daemon_record *>>;

domain_map byDomain(const fleet_shape &fleet)
{
    domain_map domains;
    for (const auto &[node, record] : *fleet.daemons) {
        domains[record.failureDomain].push_back(&record);
    }
    return domains;
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
    const fleet_shape &fleet, const daemon_record &from, const fleet_beat &beat, int round)
{
    std::vector<beat_parcel> parcels;
    for (const auto &[domain, records] : byDomain(fleet)) {
        const bool own = domain == from.failureDomain;
        const std::size_t cells = cellCount(records.size(), fleet.servers);
        std::map<std::size_t, beat_parcel> byCell;
        for (const server_beat &server : beat.servers) {
            fleet_beat &part = byCell[cellOf(server.server, cells)].beat;
            part.orderingMs = beat.orderingMs;
            part.loadsAtOnce = beat.loadsAtOnce;
            part.servers.push_back(server);
        }
        for (auto &[cell, parcel] : byCell) {
            for (const daemon_record *record : records) {
                if (record->node != from.node && cellOf(record->node, cells) == cell) {
                    parcel.to.push_back(record);
                }
            }
            const bool direct = own || parcel.to.size() <= directPeers;
            if (parcel.to.empty() || (!direct && round % relayedRounds != 0)) {
                continue;
            }
            parcel.beat.relay = !direct;
            if (!direct) {
                parcel.to = {parcel.to[static_cast<std::size_t>(round) % parcel.to.size()]};
            }
            parcels.push_back(std::move(parcel));
        }
    }
    return parcels;
}

std::vector<const daemon_record *> passOnTo(
    const fleet_shape &fleet, const daemon_record &relay, const fleet_beat &beat)
{
    const domain_map domains = byDomain(fleet);
    const auto own = domains.find(relay.failureDomain);
    std::vector<const daemon_record *> to;
    if (own == domains.end() || beat.servers.empty()) {
        return to;
    }
    // A beat that is relayed holds servers of one cell.
    const std::size_t cells = cellCount(own->second.size(), fleet.servers);
    const std::size_t cell = cellOf(beat.servers.front().server, cells);
    for (const daemon_record *record : own->second) {
        if (record->node != relay.node && cellOf(record->node, cells) == cell) {
            to.push_back(record);
        }
    }
    return to;
}

}
