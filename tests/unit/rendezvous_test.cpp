#include "coordination/rendezvous.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace briarhead {

namespace {

std::vector<std::string> numbered(const std::string &prefix, int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        names.push_back(prefix + std::to_string(i));
    }
    return names;
}

}

RC_GTEST_PROP(Rendezvous, ALeavingMemberMovesOnlyItsOwnKeys,
    (const std::string &key, const std::set<std::string> &names))
{
    RC_PRE(names.size() > 1);
    const std::vector<std::string> all(names.begin(), names.end());
    std::vector<std::string> rest = all;
    rest.erase(rest.begin() + *rc::gen::inRange<int>(0, static_cast<int>(rest.size())));
    const auto before = rendezvousFirst(key, all);
    if (std::find(rest.begin(), rest.end(), before) != rest.end()) {
        RC_ASSERT(rendezvousFirst(key, rest) == before);
    } else {
        RC_ASSERT(rendezvousFirst(key, rest) == rendezvousOrder(key, all, 2).back());
    }
}

RC_GTEST_PROP(Rendezvous, TheOrderIsByScoreForAnyOrderOfTheInput,
    (const std::string &key, const std::set<std::string> &names))
{
    std::vector<std::string> nodes(names.begin(), names.end());
    const auto order = rendezvousOrder(key, nodes, 0);
    RC_ASSERT(std::set<std::string>(order.begin(), order.end()) == names);
    RC_ASSERT(std::is_sorted(order.begin(), order.end(), [&](const auto &a, const auto &b) {
        return rendezvousScore(key, a) > rendezvousScore(key, b);
    }));
    std::reverse(nodes.begin(), nodes.end());
    RC_ASSERT(rendezvousOrder(key, nodes, 0) == order);
    const auto count = *rc::gen::inRange<std::size_t>(1, 8);
    const auto first = rendezvousOrder(key, nodes, count);
    RC_ASSERT(
        first == std::vector<std::string>(order.begin(), order.begin() + std::min(count, order.size())));
}

TEST(Rendezvous, KeysSpreadEvenlyOverNodes)
{
    const auto nodes = numbered("server-", 12);
    std::map<std::string, int> keysOf;
    for (const auto &key : numbered("adapter-", 12'000)) {
        ++keysOf[rendezvousFirst(key, nodes)];
    }
    for (const auto &entry : keysOf) {
        EXPECT_GT(entry.second, 850) << entry.first;
        EXPECT_LT(entry.second, 1150) << entry.first;
    }
}

}
