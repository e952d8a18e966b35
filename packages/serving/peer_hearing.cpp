#include "serving/peer_hearing.h"

#include "coordination/rendezvous.h"

#include <algorithm>
#include <set>

namespace briarhead {

bool hearsMost(const heard_holders &heard, millis now)
{
    std::set<std::string> all;
    std::set<std::string> lately;
    for (const auto &[server, holder] : heard) {
        all.insert(holder.node);
        if (now - holder.at < heardLately) {
            lately.insert(holder.node);
        }
    }
    return !all.empty() && static_cast<double>(lately.size()) >= leastHeard * static_cast<double>(all.size());
}

replacers replacersOf(const std::string &server, const std::string &holder,
    const std::vector<std::string> &near, const std::vector<std::string> &all)
{
    replacers order;
    order.nodes = near;
    std::erase(order.nodes, holder);
    if (order.nodes.empty()) {
        order.nodes = all;
        order.farther = true;
        std::erase(order.nodes, holder);
    }
    order.nodes = rendezvousOrder(server, order.nodes, replacersMost);
    return order;
}

bool mayReplace(const heard_holder &holder, const replacers &order, const std::string &self, millis now)
{
    const auto found = std::find(order.nodes.begin(), order.nodes.end(), self);
    if (found == order.nodes.end()) {
        return false;
    }
    const std::int64_t rank = found - order.nodes.begin();
    const millis wait =
        silentAfter + (order.farther ? silentFarther : millis{}) + millis{silentStep.count * rank};
    return now - holder.at >= wait;
}

}
