#pragma once

#include "state/clock.h"
#include "transport/peer_link.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

struct resident_adapter
{
    std::string name;
    std::int64_t version = 1;
};

struct resident_model
{
    std::string name;
    std::int64_t version = 1;
    std::vector<resident_adapter> adapters;
};

/// A backend server as the platform's list has it.
struct backend_server
{
    std::string id; ///< a restart may have another one, or the same
    std::string service;
    peer_address address;
    std::string failureDomain;
    int slots = 1;
    bool draining = false;
    std::vector<resident_model> models; ///< when the entry was written
    std::int64_t startedAtMs =
        0; ///< when this start of it began, ms since the epoch by its own clock; 0: not told
};

/// Names the present start of a server: a restart may keep its id.
inline std::string incarnationOf(const backend_server &server)
{
    return server.startedAtMs == 0 ? server.id : server.id + '@' + std::to_string(server.startedAtMs);
}

/// Whether two entries of a server say the same of what daemons go by: all but what it holds, which its
/// orderer asks it for.
inline bool equalIgnoringModels(const backend_server &a, const backend_server &b)
{
    return a.startedAtMs == b.startedAtMs && a.service == b.service && a.address.ip == b.address.ip
        && a.address.port == b.address.port && a.failureDomain == b.failureDomain && a.slots == b.slots
        && a.draining == b.draining;
}

/// What a server tells of itself when asked. It may be some hundred ms old.
struct server_report
{
    std::int64_t sequence = 0; ///< orders accepted
    bool busy = false; ///< an order for a base model is in progress
    std::vector<resident_model> models;
    std::vector<std::string> loading; ///< MODEL/ADAPTER, on their way in
    std::int64_t startedAtMs = 0; ///< as in the server's entry
};

enum class order_kind : std::uint8_t
{
    Load,
    Unload,
};

struct server_order
{
    order_kind kind = order_kind::Load;
    std::string model;
    std::string adapter; ///< empty: the model itself
    std::int64_t version = 0; ///< of the adapter; 0: the newest
    std::int64_t expected = 0; ///< the server refuses it if its sequence is another
    std::string holder;
    std::uint64_t fence = 0;
};

enum class order_result : std::uint8_t
{
    Holds, ///< nothing to do: it is so already
    Accepted, ///< on its way; not done yet
    Conflict, ///< another sequence, or another order in progress; not taken
    Fenced, ///< someone with a higher fencing token gives this server's orders
    OtherServer, ///< another server has the address
    Refused, ///< not taken for another reason, or certainly not sent
    Unknown, ///< may have been taken, or may be taken later
};

std::string_view nameOf(order_result value);

/// "MODEL/ADAPTER", or the model alone.
inline std::string adapterKey(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + '/' + adapter;
}

}
