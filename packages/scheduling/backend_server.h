#pragma once

#include "state/clock.h"
#include "transport/peer_link.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// An adapter that a model server reports as resident.
struct resident_adapter
{
    std::string name;
    std::int64_t version = 1;
};

/// A base model that a model server reports as resident, with its adapters.
struct resident_model
{
    std::string name;
    std::int64_t version = 1;
    std::vector<resident_adapter> adapters;
};

/// A backend server as the platform's server list describes it.
struct backend_server
{
    std::string id; ///< may or may not change when the server restarts
    std::string service;
    peer_address address;
    std::string failureDomain;
    int slots = 1;
    bool draining = false;
    std::vector<resident_model> models; ///< as of when the entry was written
    /// When this incarnation started, in ms since the epoch by the server's clock; 0 if unknown.
    std::int64_t startedAtMs = 0;
    /// The version of the server's software, not of weights or adapters. Versions have no order.
    std::string softwareVersion;
};

/// Identifies the current incarnation of a server, because a restarted server may keep its id.
inline std::string incarnationOf(const backend_server &server)
{
    return server.startedAtMs == 0 ? server.id : server.id + '@' + std::to_string(server.startedAtMs);
}

/// Whether two entries of a server agree in every field that daemons use. Resident models are ignored, since
/// the server's owner requests them from the server itself.
inline bool equalIgnoringModels(const backend_server &a, const backend_server &b)
{
    return a.startedAtMs == b.startedAtMs && a.service == b.service && a.address.ip == b.address.ip
        && a.address.port == b.address.port && a.failureDomain == b.failureDomain && a.slots == b.slots
        && a.draining == b.draining && a.softwareVersion == b.softwareVersion;
}

/// A model server's response to a report request. It may be several hundred ms old.
struct server_report
{
    std::int64_t sequence = 0; ///< number of orders accepted so far
    bool busy = false; ///< an order for a base model is in progress
    std::vector<resident_model> models;
    std::vector<std::string> loading; ///< adapters being loaded, as MODEL/ADAPTER
    std::int64_t startedAtMs = 0; ///< as in backend_server
};

enum class order_kind : std::uint8_t
{
    Load,
    Unload,
};

/// A command from a server's owner to load or unload a model or adapter.
struct server_order
{
    order_kind kind = order_kind::Load;
    std::string model;
    std::string adapter; ///< empty for the base model itself
    std::int64_t version = 0; ///< adapter version; 0 for the newest
    std::int64_t expectedSequence = 0; ///< the server rejects the order unless its sequence equals this
    std::string owner; ///< node name of the sender
    std::uint64_t fence = 0; ///< fencing token of the sender's ownership
};

/// How a server responded to an order.
enum class order_result : std::uint8_t
{
    AlreadyDone, ///< nothing to do: the server is in the requested state already
    Accepted, ///< accepted, but not completed yet
    Conflict, ///< rejected: the sequence differs, or another order is in progress
    Fenced, ///< rejected: an owner with a higher fencing token has sent orders
    OtherServer, ///< rejected: the address belongs to a different server now
    Refused, ///< rejected for another reason, or certainly not sent
    Unknown, ///< may have been accepted, or may still be
};

std::string_view nameOf(order_result value);

/// "MODEL/ADAPTER", or just the model if there is no adapter.
inline std::string adapterKey(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + '/' + adapter;
}

}
