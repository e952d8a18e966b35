#include "coordination/membership_task.h"

#include "standins/live_list_standin.h"
#include "standins/run_until.h"

#include <gtest/gtest.h>

namespace briarhead {
namespace {

/// One daemon's membership task on real sockets.
struct task_daemon
{
    bus messages;
    http_client http;
    live_list list;
    std::unique_ptr<peer_link> link;
    std::unique_ptr<membership_task> task;
    std::vector<members_changed> members;
    std::vector<live_list_changed> lists;
    std::vector<peer_version_seen> versions;

    task_daemon(loop &events, const std::string &name, std::uint16_t listPort)
        : messages(events)
        , http(events)
        , list(events, http, "http://127.0.0.1:" + std::to_string(listPort), "x")
    {
        messages.on<members_changed>([this](const members_changed &change) {
            members.push_back(change);
        });
        messages.on<live_list_changed>([this](const live_list_changed &change) {
            lists.push_back(change);
        });
        messages.on<peer_version_seen>([this](const peer_version_seen &update) {
            versions.push_back(update);
        });
        error why;
        peer_link::handlers handlers;
        handlers.onDatagram = [this](const peer_address &from, const peer_datagram &datagram) {
            task->onDatagram(from, datagram);
        };
        link = peer_link::open(events, name, 1, {"127.0.0.1", 0}, std::string(64, 'a'), handlers, why);
        EXPECT_TRUE(link) << message(why);
        membership initial;
        initial.self = {name, "domain", {"127.0.0.1", link->port()}, 80, 1};
        initial.tuning.probeInterval = {50};
        task = std::make_unique<membership_task>(messages, events, *link, list, initial, millis{20});
    }

    std::string seen() const
    {
        std::string all;
        for (const member &peer : members.empty() ? std::vector<member>() : members.back().members) {
            all += peer.name + ':' + std::string(nameOf(peer.state)) + ' ';
        }
        return all;
    }
};

// Two daemons on real sockets: changes of the live list, an announced configuration version and the start of
// a drain at one of them must be posted at the other.
TEST(membership_task, postsMembersVersionsAndDrainsOfPeers)
{
    loop events;
    live_list_standin service(events, millis{0});
    error why;
    ASSERT_TRUE(service.listen(0, why)) << message(why);
    task_daemon a(events, "a", service.port());
    task_daemon b(events, "b", service.port());
    ASSERT_TRUE(runUntil(events, [&] {
        return !a.members.empty() && !a.lists.empty();
    }));
    EXPECT_EQ(a.seen(), "a:alive ");
    service.change({{{"name", "a"}, {"kind", "entry"}, {"region", "x"}, {"address", "127.0.0.1"},
                        {"port", a.link->port()}},
                       {{"name", "b"}, {"kind", "entry"}, {"region", "x"}, {"address", "127.0.0.1"},
                           {"port", b.link->port()}}},
        {});
    ASSERT_TRUE(runUntil(events, [&] {
        return a.seen() == "a:alive b:alive " && b.seen() == "a:alive b:alive "
            && a.members.back().members.back().incarnation == 1;
    }));
    a.messages.post(announce_version{9});
    ASSERT_TRUE(runUntil(events, [&] {
        return !b.versions.empty();
    }));
    EXPECT_EQ(b.versions.front().peer, "a");
    EXPECT_EQ(b.versions.front().version, 9U);
    b.messages.post(drain_began{});
    ASSERT_TRUE(runUntil(events, [&] {
        return a.seen() == "a:alive b:leaving " && b.seen() == "a:alive b:leaving ";
    }));
}

}
}
