#pragma once

#include <cstdint>
#include <map>
#include <string>

// Which daemons understand the optional datagrams of load_messages.h. A daemon is known to if it has sent one
// in its present incarnation; to all others only the datagrams of older builds are sent.
namespace briarhead {

/// The latest incarnation of each daemon that has sent an optional datagram, by node.
using peer_features = std::map<std::string, std::uint64_t>;

inline void recordFeatures(peer_features &peers, const std::string &node, std::uint64_t incarnation)
{
    peers[node] = incarnation;
}

/// `incarnation`: the one that the store has recorded for the node.
inline bool understandsFeatures(
    const peer_features &peers, const std::string &node, std::uint64_t incarnation)
{
    const auto found = peers.find(node);
    return found != peers.end() && found->second == incarnation;
}

}
