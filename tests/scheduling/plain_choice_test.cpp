#include "protocol/codec.h"
#include "protocol/messages.h"
#include "scheduling/choose_plain_server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <random>
#include <string>

namespace briarhead {

namespace {

constexpr millis start{50'000};

plain_candidate freeServer()
{
    plain_candidate server;
    server.sameDomain = true;
    server.slots = 6;
    server.usualMs = 60;
    return server;
}

plain_latency latencyOf(std::initializer_list<std::int64_t> responses, millis now)
{
    plain_latency latency;
    for (const std::int64_t response : responses) {
        recordPlainSend(latency, now - millis{response});
        recordPlainEnd(latency, now - millis{response}, true, now);
    }
    return latency;
}

/// Daemons in four failure domains that send random requests to plain servers for a minute. All of them hear
/// the same reports, every 150 ms, of three quarters of the daemons.
struct plain_simulation
{
    std::size_t daemonCount = 81;
    std::size_t serverCount = 4;
    double requestsPerSecond = 1.1; ///< of each daemon
    std::size_t serversPerDomain = 2;
    bool usesSubsets = true;
    bool usesReports = true;
    double domainSwing = 0; ///< the first domain has this much more requests, the third as much less

    std::size_t requests = 0;
    std::size_t connectionsOpened = 0;
    std::size_t late = 0; ///< responses after more than 150 ms
    std::vector<std::size_t> requestsOf; ///< by server

    void run()
    {
        struct end_of_request
        {
            std::int64_t at;
            std::size_t daemon;
            std::size_t server;
            std::int64_t sentAt;
            bool operator>(const end_of_request &other) const
            {
                return at > other.at;
            }
        };
        struct daemon_state
        {
            std::vector<std::size_t> order;
            std::vector<plain_latency> latency;
            std::vector<std::vector<std::int64_t>> idle; ///< when kept connections expire, by server
            request_rate rate;
            std::int64_t nextAt = 0;
            double perSecond = 0;
        };
        std::mt19937_64 random(daemonCount);
        constexpr std::array<std::string_view, 4> domains{"z0", "z1", "z2", "z3"};
        std::vector<std::string> names;
        for (std::size_t i = 0; i < daemonCount + serverCount; ++i) {
            names.push_back((i < daemonCount ? "d" : "p") + std::to_string(i));
        }
        std::vector<subset_member> members;
        std::vector<subset_member> servers;
        for (std::size_t i = 0; i < daemonCount; ++i) {
            members.push_back({names[i], domains[i % domains.size()]});
        }
        for (std::size_t i = 0; i < serverCount; ++i) {
            servers.push_back({names[daemonCount + i], domains[i / serversPerDomain % domains.size()]});
        }
        const double total = requestsPerSecond * static_cast<double>(daemonCount);
        const int slots = std::max(2, static_cast<int>(total * 0.27 / static_cast<double>(serverCount)));
        std::vector<daemon_state> daemons(daemonCount);
        for (std::size_t i = 0; i < daemonCount; ++i) {
            daemons[i].order = connectionOrder(members[i], members, servers);
            daemons[i].latency.resize(serverCount);
            daemons[i].idle.resize(serverCount);
            daemons[i].perSecond = requestsPerSecond
                * (i % 4 == 0        ? 1 + domainSwing
                        : i % 4 == 2 ? 1 - domainSwing
                                     : 1);
            daemons[i].nextAt = start.count
                + static_cast<std::int64_t>(
                    1'000 * std::exponential_distribution<>(daemons[i].perSecond)(random));
        }
        requestsOf.assign(serverCount, 0);
        std::vector<std::vector<std::int64_t>> slotFreeAt(
            serverCount, std::vector<std::int64_t>(static_cast<std::size_t>(slots)));
        std::priority_queue<end_of_request, std::vector<end_of_request>, std::greater<>> ends;
        plain_reports reports;
        for (std::int64_t now = start.count; now < start.count + 60'000; ++now) {
            for (; !ends.empty() && ends.top().at <= now; ends.pop()) {
                const end_of_request &end = ends.top();
                daemon_state &daemon = daemons[end.daemon];
                recordPlainEnd(daemon.latency[end.server], millis{end.sentAt}, true, millis{now});
                daemon.idle[end.server].push_back(now + keepTimeOf(end.server).count);
            }
            for (std::size_t i = 0; usesReports && now % 150 == 0 && i < daemonCount; ++i) {
                if (i % 4 == 3) {
                    continue;
                }
                countReport(reports, millis{now});
                for (std::size_t server = 0; server < serverCount; ++server) {
                    const auto count = daemons[i].latency[server].outstanding.size();
                    if (count > 0) {
                        recordReport(
                            reports, servers[server].name, static_cast<std::uint32_t>(count), millis{now});
                    }
                }
            }
            for (std::size_t i = 0; i < daemonCount; ++i) {
                daemon_state &daemon = daemons[i];
                if (daemon.nextAt > now) {
                    continue;
                }
                daemon.nextAt = now
                    + static_cast<std::int64_t>(
                        1'000 * std::exponential_distribution<>(daemon.perSecond)(random));
                std::vector<plain_candidate> candidates;
                for (std::size_t position = 0; position < (usesSubsets ? daemon.order.size() : serverCount);
                     ++position) {
                    const std::size_t server = usesSubsets ? daemon.order[position] : position;
                    std::erase_if(daemon.idle[server], [now](std::int64_t expiry) {
                        return expiry < now;
                    });
                    plain_candidate candidate;
                    candidate.slots = slots;
                    candidate.sameDomain = servers[server].failureDomain == members[i].failureDomain;
                    candidate.inFlight = static_cast<int>(daemon.latency[server].outstanding.size());
                    candidate.usualMs = daemon.latency[server].meanMs;
                    candidate.stalledMs = stalledMs(daemon.latency[server], millis{now});
                    candidate.tieBreak = random();
                    candidate.othersInFlight =
                        othersInFlight(reports, servers[server].name, daemonCount - 1, millis{now});
                    if (!daemon.idle[server].empty()) {
                        candidate.reusableFor = millis{daemon.idle[server].back() - now};
                    }
                    candidates.push_back(candidate);
                }
                countRequest(daemon.rate, millis{now});
                const plain_request request{150, millis{150}, usesSubsets};
                const std::size_t width = subsetWidth(
                    briarhead::requestsPerSecond(daemon.rate, millis{now}), millis{2'700}, serverCount);
                const auto chosen = usesSubsets ? chooseFromSubset(candidates, width, request)
                                                : choosePlainServer(candidates, request);
                const std::size_t server = usesSubsets ? daemon.order[*chosen] : *chosen;
                if (daemon.idle[server].empty()) {
                    ++connectionsOpened;
                } else {
                    daemon.idle[server].pop_back();
                }
                auto &slot = *std::min_element(slotFreeAt[server].begin(), slotFreeAt[server].end());
                slot = std::max(slot, now) + std::uniform_int_distribution<>(40, 80)(random);
                recordPlainSend(daemon.latency[server], millis{now});
                ends.push({slot, i, server, now});
                late += slot - now > 150 ? 1 : 0;
                ++requests;
                ++requestsOf[server];
            }
        }
    }
    /// As backend_pool keeps connections to servers whose idle timeout is 2 to 5 s.
    static millis keepTimeOf(std::size_t server)
    {
        const auto timeout = static_cast<std::int64_t>(2'000 + 1'000 * (server % 4));
        return {timeout - std::clamp<std::int64_t>(timeout / 5, 300, 1'000)};
    }
    double connectionsPerRequest() const
    {
        return static_cast<double>(connectionsOpened) / static_cast<double>(requests);
    }
    double worstOverMean() const
    {
        return static_cast<double>(*std::max_element(requestsOf.begin(), requestsOf.end()))
            * static_cast<double>(serverCount) / static_cast<double>(requests);
    }
};

}

// 81 daemons with 1.1 requests a second each spread them over all servers, and connections expire unused.
TEST(PlainChoice, DaemonsWithFewRequestsReuseTheirConnections)
{
    plain_simulation simulation;
    simulation.run();
    RecordProperty("connections_per_request", std::to_string(simulation.connectionsPerRequest()));
    EXPECT_LE(simulation.connectionsPerRequest(), 0.2);
    EXPECT_LE(simulation.worstOverMean(), 1.3);
    EXPECT_LE(static_cast<double>(simulation.late), 0.01 * static_cast<double>(simulation.requests));
}

// Subsets that differ from daemon to daemon must still share out all requests.
TEST(PlainChoice, RequestsAreBalancedOverServersAtEachFleetSize)
{
    for (const std::size_t daemons : {70U, 300U, 1'200U}) {
        for (const std::size_t servers : {4U, 12U}) {
            plain_simulation simulation;
            simulation.daemonCount = daemons;
            simulation.serverCount = servers;
            simulation.run();
            EXPECT_LE(simulation.worstOverMean(), 1.3) << daemons << " daemons, " << servers << " servers";
        }
    }
}

// Where the failure domains differ in demand, the busier ones must use the servers of the others.
TEST(PlainChoice, UnevenDomainsDoNotMakeRequestsWait)
{
    plain_simulation simulation;
    simulation.domainSwing = 0.5;
    simulation.run();
    EXPECT_LE(simulation.connectionsPerRequest(), 0.2);
    EXPECT_LE(static_cast<double>(simulation.late), 0.01 * static_cast<double>(simulation.requests));
}

// A server that takes two and a half times as long for 0.6 s: requests in a hurry queue behind the stall,
// though another server is free.
TEST(PlainChoice, StalledServerGetsNoRequestInAHurryWhileAnotherIsFree)
{
    millis now = start;
    plain_latency latency = latencyOf({58, 60, 62, 60, 58, 60, 62, 60, 60, 60}, now);
    EXPECT_EQ(stalledMs(latency, now), 0);
    const millis sentAt = now;
    recordPlainSend(latency, sentAt);
    now = now + millis{70};
    EXPECT_EQ(stalledMs(latency, now), 0) << "not much longer than usual";
    now = sentAt + millis{100};
    plain_candidate stalled = freeServer();
    stalled.inFlight = 1;
    stalled.reusableFor = millis{1'000};
    stalled.stalledMs = stalledMs(latency, now);
    EXPECT_GT(stalled.stalledMs, 0);
    plain_candidate other = freeServer();
    other.sameDomain = false;
    other.inFlight = 5;
    const plain_request hurried{150, millis{150}, true};
    EXPECT_EQ(choosePlainServer({stalled, other}, hurried), 1U);
    EXPECT_EQ(chooseFromSubset({stalled, freeServer(), other}, 2, hurried), 1U);
    EXPECT_EQ(choosePlainServer({stalled, other}, {5'000, millis{5'000}, true}), 0U) << "not in a hurry";
    other.inFlight = 6;
    EXPECT_EQ(choosePlainServer({stalled, other}, hurried), 0U) << "none is free";
    // The slow response itself tells of the stall for a while, then the server is tried again.
    now = sentAt + millis{150};
    recordPlainEnd(latency, sentAt, true, now);
    EXPECT_GT(stalledMs(latency, now + millis{400}), 0);
    EXPECT_EQ(stalledMs(latency, now + millis{600}), 0);
    EXPECT_LT(latency.meanMs, 65) << "a stall must not become the usual response time";
}

// A service whose response times vary by themselves is not taken for stalled at each long response.
TEST(PlainChoice, VaryingResponseTimesAreNoStall)
{
    plain_latency latency = latencyOf({20, 150, 40, 120, 30, 90, 20, 160, 50, 130}, start);
    recordPlainSend(latency, start);
    EXPECT_EQ(stalledMs(latency, start + millis{180}), 0);
}

// A server leaves or crashes: the next ones of the order take its place for this very request.
TEST(PlainChoice, SubsetHealsAtOnceWhenAServerLeavesOrFails)
{
    plain_candidate leaving = freeServer();
    leaving.excluded = true;
    plain_candidate failing = freeServer();
    failing.failureRate = 0.8;
    EXPECT_EQ(
        chooseFromSubset({leaving, failing, freeServer(), freeServer()}, 2, {150, millis{150}, true}), 2U);
}

// At equal load, the connection that expires first is used, so that all of them remain open.
TEST(PlainChoice, ConnectionThatExpiresFirstIsPreferredAtEqualLoad)
{
    plain_candidate early = freeServer();
    early.reusableFor = millis{300};
    plain_candidate later = freeServer();
    later.reusableFor = millis{2'000};
    plain_candidate busy = freeServer();
    busy.inFlight = 3;
    EXPECT_EQ(choosePlainServer({busy, later, freeServer(), early}, {150, millis{150}, true}), 3U);
    later.tieBreak = 1;
    early.tieBreak = 2;
    EXPECT_EQ(choosePlainServer({later, early}, {150, millis{150}, false}), 0U) << "no subset: as before";
}

// Reports say that one server is idle and another full. If all daemons followed them, they would overload the
// idle one before the next report.
TEST(PlainChoice, NoDaemonFollowsReportsToTheServerThatLooksFastest)
{
    std::mt19937_64 random(1);
    std::array<int, 3> chosen{};
    for (int i = 0; i < 3'000; ++i) {
        std::vector<plain_candidate> servers(3, freeServer());
        servers[0].othersInFlight = 0;
        servers[1].othersInFlight = 4;
        servers[2].othersInFlight = 12;
        for (plain_candidate &server : servers) {
            server.tieBreak = random();
        }
        ++chosen[choosePlainServer(servers, {150, millis{150}, false}).value()];
    }
    EXPECT_NEAR(chosen[0], chosen[1], 200) << "below a high load, reports don't matter";
    EXPECT_LT(chosen[2], 700) << "a full server is avoided";
    EXPECT_GT(chosen[2], 100) << "but not by all at once";
}

TEST(PlainChoice, ReportsStandForAllDaemons)
{
    plain_reports reports;
    for (int i = 0; i < 20; ++i) {
        countReport(reports, start);
        recordReport(reports, "p-1", i % 2 == 0 ? 1 : 0, start);
    }
    EXPECT_NEAR(othersInFlight(reports, "p-1", 80, start), 40, 1e-6);
    EXPECT_EQ(othersInFlight(reports, "p-2", 80, start), 0);
}

// Reports are lost, or come from a daemon that froze: what they said must not hold forever.
TEST(PlainChoice, ReportsLoseTheirWeightWithAge)
{
    plain_reports reports;
    for (int i = 0; i < 20; ++i) {
        countReport(reports, start);
        recordReport(reports, "p-1", 2, start);
    }
    EXPECT_NEAR(othersInFlight(reports, "p-1", 20, start), 40, 1e-6);
    EXPECT_LT(othersInFlight(reports, "p-1", 20, start + millis{3'000}), 1) << "no reports at all";
    // One of ten daemons froze while it had 20 requests in flight; the others go on.
    plain_reports frozen;
    for (int round = 0; round < 20; ++round) {
        const millis now = start + millis{150 * round};
        for (int i = 0; i < 9; ++i) {
            countReport(frozen, now);
        }
        if (round == 0) {
            countReport(frozen, now);
            recordReport(frozen, "p-1", 20, now);
        }
    }
    EXPECT_LT(othersInFlight(frozen, "p-1", 10, start + millis{3'000}), 0.1);
}

// What a daemon keeps and sends must not grow with the number of daemons.
TEST(PlainChoice, StateAndReportsDoNotGrowWithTheFleet)
{
    constexpr std::size_t serverCount = 16;
    std::vector<std::size_t> stateBytes;
    for (const std::size_t daemons : {80U, 300U, 1'200U}) {
        plain_reports reports;
        std::vector<std::string> names;
        for (std::size_t i = 0; i < daemons + serverCount; ++i) {
            names.push_back("node-" + std::to_string(i));
        }
        std::vector<subset_member> members;
        std::vector<subset_member> servers;
        for (std::size_t i = 0; i < names.size(); ++i) {
            (i < daemons ? members : servers).push_back({names[i], "z"});
        }
        for (std::size_t i = 0; i < daemons; ++i) {
            countReport(reports, start);
            recordReport(reports, servers[i % serverCount].name, 1, start);
        }
        const auto order = connectionOrder(members[0], members, servers);
        stateBytes.push_back(sizeof(reports) + reports.inFlight.size() * sizeof(*reports.inFlight.begin())
            + order.size() * sizeof(std::string)
            + serverCount * (sizeof(plain_latency) + sizeof(std::string)));
        RecordProperty("state_bytes_at_" + std::to_string(daemons), static_cast<int>(stateBytes.back()));
    }
    EXPECT_EQ(stateBytes[0], stateBytes[1]);
    EXPECT_EQ(stateBytes[0], stateBytes[2]);
    EXPECT_LE(stateBytes[2], 8'192U);
    load_heartbeat beat;
    for (int i = 0; i < 4; ++i) { // as many as a load heartbeat has at most
        beat.plainServers.push_back({"pool-server-" + std::to_string(i), 3});
    }
    const std::size_t reportBytes = encode(fleet_datagram{"node", 1, extended_heartbeat{{}, beat}}).size()
        - encode(fleet_datagram{"node", 1, extended_heartbeat{}}).size();
    RecordProperty("report_bytes", static_cast<int>(reportBytes));
    EXPECT_LE(reportBytes, 128U);
}

}
