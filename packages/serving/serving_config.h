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

// The configuration of direct dispatch: routes by host and path prefix to services, and what their servers
// can hold. Plain data; the platform's adapter fills it in.
namespace briarhead {

/// What may be repeated.
enum class route_kind : std::uint8_t
{
    Idempotent, ///< may run more than once
    Once, ///< may run at most once a caller's attempt
    Stream, ///< a series of events; as Once unless the route is resumable
};

std::string_view nameOf(route_kind value);

struct service_share
{
    std::string service;
    double weight = 1;
};

struct route
{
    std::string name;
    std::string host; ///< lower case
    std::string prefix; ///< begins and ends with a slash
    route_kind kind = route_kind::Once;
    millis timeout{10'000}; ///< the longest a caller is kept waiting for the end of its answer
    millis target{1'000}; ///< to the answer, or to the first event of a stream
    int rank = 0; ///< 0 is the most urgent
    int maxServers = 1; ///< on which one attempt may be tried
    bool resumable = false;
    bool allowAnonymous = false; ///< callers need no key
    std::vector<service_share> services; ///< at least one
};

struct model_spec
{
    std::string name;
    double weightsMb = 0;
    millis loadTime; ///< from the weight store, alone
    double adapterMb = 0;
};

/// What the model servers of a service can do.
struct engine_spec
{
    int slots = 1; ///< requests at once
    std::int64_t memoryTokens = 0;
    double weightsMb = 0; ///< for models and adapters together
    int adapterSlots = 0;
    double loadsPerSecond = 0; ///< from the weight store, over all servers
    std::vector<model_spec> models;
};

struct service_spec
{
    std::string name;
    int maxConnections = 0;
    std::optional<engine_spec> engine; ///< of services that run models
};

/// A client account. Its keys are not here, only their hashes in serving_config.
struct client_account
{
    std::string name;
    std::optional<int> rank; ///< of all its requests, in place of their routes'
    quota_limit limit;
    bool countsTokens = false; ///< else each request is one unit
    std::int64_t defaultTokens = 1; ///< of a request that doesn't say how many
};

struct serving_config
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service_spec> services;
    front_limits limits;
    std::vector<client_account> accounts; ///< none: callers need no keys
    std::unordered_map<std::string, std::size_t> accountOfKey; ///< index into `accounts` by keyHash()
    std::unordered_map<std::uint64_t, std::size_t> accountOfHash; ///< by accountHash(); see indexAccounts()
    std::vector<std::string> warnings; ///< what an operator should mend, though it can be read

    /// Indices into `routes` by host, longest prefix first; filled by indexRoutes().
    std::unordered_map<std::string, std::vector<std::size_t>> byHost;
};

/// Fills `byHost`. To be called once, after the routes are there.
void indexRoutes(serving_config &config);

/// The route of a request, or null: among those of the host, the one with the longest prefix of the path.
const route *findRoute(const serving_config &config, std::string_view host, std::string_view target);

/// The service a request goes to: by weight, the same one whenever asked for the same id.
const std::string &pickService(const route &from, std::string_view requestId);

/// The engine of a service, or null for plain services and unknown ones.
const engine_spec *engineOf(const serving_config &config, const std::string &service);

}
