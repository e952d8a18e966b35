#pragma once

#include "state/clock.h"
#include "state/quota_limit.h"
#include "transport/front_server.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The configuration that daemons serve by: routes from host and path prefix to services, the capacity of the
// services' servers, and client accounts. Plain data, filled in by the platform adapter.
namespace briarhead {

/// What a route's requests return, and whether they may be retried.
enum class route_kind : std::uint8_t
{
    Idempotent, ///< may run more than once
    Once, ///< may run at most once per attempt of the caller
    Stream, ///< returns server-sent events; retried only if the route is resumable
};

std::string_view nameOf(route_kind value);

/// A service and its weight in a route's traffic split.
struct service_share
{
    std::string service;
    double weight = 1;
};

/// Maps requests for a host and path prefix to services.
struct route
{
    std::string name;
    std::string host; ///< lower case
    std::string prefix; ///< begins and ends with a slash
    route_kind kind = route_kind::Once;
    millis timeout{10'000}; ///< from arrival to the end of the response
    millis target{1'000}; ///< latency target, to the response or to the first event of a stream
    /// Longest inter-event gap with which a stream is on time; 0: the route states none.
    millis maxGap;
    int rank = 0; ///< priority, 0 being the most urgent
    int maxServers = 1; ///< number of servers that one attempt may be sent to
    bool resumable = false; ///< a stream may be continued on another server
    bool anonymousAllowed = false; ///< callers need no API key
    std::vector<service_share> services; ///< at least one
};

/// A base model and the size of its adapters.
struct model_spec
{
    std::string name;
    double weightsMb = 0;
    millis loadTime; ///< from the weight store, without concurrent loads
    double adapterMb = 0; ///< per adapter
};

/// The capacity of each model server of a service.
struct engine_spec
{
    int slots = 1; ///< concurrent requests
    std::int64_t memoryTokens = 0; ///< tokens that fit into the KV cache
    double weightsMb = 0; ///< memory for the weights of models and adapters together
    int adapterSlotCount = 0; ///< adapters that can be resident at the same time
    double loadsPerSecond = 0; ///< loads/s from the weight store, over all servers
    std::vector<model_spec> models;
};

/// A service: plain HTTP servers, or model servers if it has an engine.
struct service_spec
{
    std::string name;
    int maxConnections = 0;
    std::optional<engine_spec> engine; ///< only for services that run models
};

/// A client account. Its API keys are not stored here; serving_config has their hashes.
struct client_account
{
    std::string name;
    std::optional<int> rank; ///< overrides the rank of the routes for all of the account's requests
    quota_limit limit;
    bool countsTokens = false; ///< the limit counts tokens; otherwise each request is one unit
    std::int64_t defaultTokens = 1; ///< counted for a request that announces no token counts
};

/// One version of the configuration.
struct serving_config
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service_spec> services;
    front_limits limits;
    std::vector<client_account> accounts; ///< if empty, callers need no keys
    std::unordered_map<std::string, std::size_t> accountByKeyHash; ///< index into `accounts` by keyHash()
    std::unordered_map<std::uint64_t, std::size_t>
        accountByNameHash; ///< by accountHash(); see indexAccounts()
    std::vector<std::string> warnings; ///< usable but probably wrong entries, for the operator to fix

    /// Indices into `routes` by host, longest prefix first. Filled by indexRoutes().
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost;
    /// The most urgent rank of the routes to each service. Filled by indexRoutes().
    std::unordered_map<std::string, int> mostUrgentRanks;
};

/// Fills `routesByHost` and `mostUrgentRanks`. Call once, after `routes` has been filled.
void indexRoutes(serving_config &config);

/// The route of the host with the longest prefix that matches the path, or null if none matches.
const route *findRoute(const serving_config &config, std::string_view host, std::string_view target);

/// Picks a service of the route by weight. The result is the same for the same request id.
const std::string &pickService(const route &from, std::string_view requestId);

/// The engine of a service, or null if the service is plain or unknown.
const engine_spec *engineOf(const serving_config &config, const std::string &service);

}
