#include "scheduling/serving_config.h"

#include "coordination/rendezvous.h"
#include "transport/header_text.h"

#include <algorithm>
#include <limits>

namespace briarhead {

std::string_view nameOf(route_kind value)
{
    switch (value) {
    case route_kind::Idempotent:
        return "idempotent";
    case route_kind::Once:
        return "once";
    case route_kind::Stream:
        return "stream";
    }
    return "unknown";
}

void indexRoutes(serving_config &config)
{
    config.routesByHost.clear();
    config.mostUrgentRanks.clear();
    for (std::size_t i = 0; i < config.routes.size(); ++i) {
        const route &each = config.routes[i];
        config.routesByHost[each.host].push_back(i);
        for (const service_share &share : each.services) {
            int &rank = config.mostUrgentRanks.try_emplace(share.service, each.rank).first->second;
            rank = std::min(rank, each.rank);
        }
    }
    for (auto &[host, indices] : config.routesByHost) {
        std::stable_sort(indices.begin(), indices.end(), [&config](std::size_t a, std::size_t b) {
            return config.routes[a].prefix.size() > config.routes[b].prefix.size();
        });
    }
}

const route *findRoute(const serving_config &config, std::string_view host, std::string_view target)
{
    std::string name = detail::lowerCase(host);
    if (const std::size_t colon = name.rfind(':'); colon != std::string::npos) {
        name.resize(colon);
    }
    const auto found = config.routesByHost.find(name);
    if (found == config.routesByHost.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::size_t index : found->second) {
        if (path.starts_with(config.routes[index].prefix)) {
            return &config.routes[index];
        }
    }
    return nullptr;
}

const std::string &pickService(const route &from, std::string_view requestId)
{
    double total = 0;
    for (const service_share &share : from.services) {
        total += share.weight;
    }
    const double unit = static_cast<double>(rendezvousScore(requestId, from.name))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double remaining = unit * total;
    for (const service_share &share : from.services) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.service;
        }
    }
    return from.services.back().service;
}

const engine_spec *engineOf(const serving_config &config, const std::string &service)
{
    const auto found = config.services.find(service);
    const bool hasEngine = found != config.services.end() && found->second.engine;
    return hasEngine ? &*found->second.engine : nullptr;
}

}
