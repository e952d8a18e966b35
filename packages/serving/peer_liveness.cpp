#include "serving/peer_liveness.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <set>

namespace briarhead {

bool seesMostOwners(const observed_owners &owners, millis now)
{
    std::set<std::string> all;
    std::set<std::string> live;
    for (const auto &[server, owner] : owners) {
        all.insert(owner.node);
        if (now - owner.heartbeatAt < ownerLiveWithin) {
            live.insert(owner.node);
        }
    }
    return !all.empty()
        && static_cast<double>(live.size()) >= minLiveOwnerShare * static_cast<double>(all.size());
}

replacement_order replacementOrderOf(const std::string &server, const std::string &owner,
    const std::vector<std::string> &near, const std::vector<std::string> &all)
{
    replacement_order order;
    order.nodes = near;
    std::erase(order.nodes, owner);
    if (order.nodes.empty()) {
        order.nodes = all;
        order.crossDomain = true;
        std::erase(order.nodes, owner);
    }
    order.nodes = rendezvousOrder(server, order.nodes, maxReplacers);
    return order;
}

bool mayReplace(
    const observed_owner &owner, const replacement_order &order, const std::string &self, millis now)
{
    const auto found = std::find(order.nodes.begin(), order.nodes.end(), self);
    if (found == order.nodes.end()) {
        return false;
    }
    const std::int64_t rank = found - order.nodes.begin();
    const millis wait = ownerTimeout + (order.crossDomain ? crossDomainExtraTimeout : millis{})
        + millis{replacementStep.count * rank};
    return now - owner.heartbeatAt >= wait;
}

}
