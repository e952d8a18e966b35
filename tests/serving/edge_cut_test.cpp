#include "serving/edge_fleet_fixture.h"

#include <algorithm>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

// A daemon that is cut off from backend servers, while callers, the store and the other daemons reach it.
namespace briarhead {

namespace {

/// How long callers wait for the rule on first attempts to bind, at the deployments with the shortest time.
constexpr millis contactTime{3'000};
constexpr int attempts = 24;
constexpr int concurrency = 4;
/// Long enough that concurrent requests need connections of their own.
constexpr millis serverTime{100};
/// Of `attempts`; the rule allows one in fifty, and ten more that a short test must not use up.
constexpr int maxFailures = 0;

std::string nameOfCut(link_fault cut)
{
    return cut == link_fault::Hangs ? "Hangs" : cut == link_fault::Refused ? "Refused" : "RefusesNew";
}

class edge_cut_test : public edge_fleet_test
{
protected:
    /// Sends a request to n1 every 100 ms, whatever its outcome, for `span`.
    void runTraffic(millis span)
    {
        const millis end = bootNow() + span;
        std::vector<std::unique_ptr<http_testing::raw_socket>> callers;
        while (bootNow() < end) {
            const bool model = callers.size() % 2 == 0;
            callers.push_back(model ? sendRequest("/gen/x", "a1") : sendRequest("/safe/x"));
            runRounds(100);
        }
    }
    /// Sends requests to n1, several at a time. Returns how many were not served.
    int countFailures(const std::string &path, const std::string &adapter, int count)
    {
        int failures = 0;
        for (int sent = 0; sent < count; sent += concurrency) {
            std::vector<std::unique_ptr<http_testing::raw_socket>> callers;
            callers.reserve(concurrency);
            std::vector<std::string> received(concurrency);
            for (int i = 0; i < concurrency; ++i) {
                callers.push_back(sendRequest(path, adapter));
            }
            EXPECT_TRUE(runUntil([&] {
                bool open = false;
                for (std::size_t i = 0; i < callers.size(); ++i) {
                    open = callers[i]->receive(received[i]) || open;
                }
                return !open;
            }));
            failures += static_cast<int>(
                std::count_if(received.begin(), received.end(), [](const std::string &response) {
                    return response.size() < 12 || statusOf(response) != "200";
                }));
        }
        return failures;
    }
};

}

struct cut_case
{
    link_fault cut = link_fault::None;
    const char *path = "";
    bool model = false;
};

std::ostream &operator<<(std::ostream &out, const cut_case &each)
{
    return out << nameOfCut(each.cut) << ' ' << each.path;
}

class cut_kinds_test : public edge_cut_test, public testing::WithParamInterface<cut_case>
{
};

/// Guards against first attempts that fail at a daemon which reaches its peers but no server.
TEST_P(cut_kinds_test, RequestsAreServedThroughAPeer)
{
    start();
    setServerTime(serverTime);
    startPeer("n2", "z");
    const std::string adapter = GetParam().model ? "a1" : "";
    ASSERT_EQ(countFailures(GetParam().path, adapter, concurrency), 0);
    setCut(m_links, GetParam().cut);
    runTraffic(contactTime);
    EXPECT_LE(countFailures(GetParam().path, adapter, attempts), maxFailures);
    EXPECT_LE(mostRunsOfOneRequest(), std::string(GetParam().path) == "/safe/x" ? 2 : 1);
}

INSTANTIATE_TEST_SUITE_P(EachKind, cut_kinds_test,
    testing::Values(cut_case{link_fault::Hangs, "/once/x", false},
        cut_case{link_fault::Hangs, "/safe/x", false}, cut_case{link_fault::Hangs, "/gen/x", true},
        cut_case{link_fault::Hangs, "/resume/x", true}, cut_case{link_fault::Refused, "/once/x", false},
        cut_case{link_fault::Refused, "/safe/x", false}, cut_case{link_fault::Refused, "/gen/x", true},
        cut_case{link_fault::Refused, "/resume/x", true}, cut_case{link_fault::RefusesNew, "/once/x", false},
        cut_case{link_fault::RefusesNew, "/safe/x", false}, cut_case{link_fault::RefusesNew, "/gen/x", true},
        cut_case{link_fault::RefusesNew, "/resume/x", true}),
    [](const testing::TestParamInfo<cut_case> &each) {
        std::string name = each.param.path;
        std::erase(name, '/');
        return nameOfCut(each.param.cut) + '_' + name;
    });

/// Guards against servers without orders while their owner is cut off from them.
TEST_F(edge_cut_test, ServersOfACutOffOwnerAreTakenOverAndLoadAdapters)
{
    start();
    startPeer("n2", "z");
    ASSERT_FALSE(isOwnedByPeers("m-1"));
    setCut(m_links, link_fault::Hangs);
    runTraffic(contactTime);
    ASSERT_TRUE(runUntil([this] {
        return isOwnedByPeers("m-1") && isOwnedByPeers("m-2");
    }));
    runRounds(1'500);
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a5")), "200") << "an adapter that has to be loaded";
}

/// Guards against a cut that a daemon takes for the end of all servers, and blocks its callers' requests for.
TEST_F(edge_cut_test, RequestsBrokenOffByACutAreNotBlocked)
{
    start();
    setServerTime({400});
    startPeer("n2", "z");
    for (int i = 0; i < 4; ++i) {
        setCut(m_links, link_fault::None);
        runRounds(1'200);
        const auto caller = sendRequest("/safe/x");
        runRounds(150);
        setCut(m_links, link_fault::Refused);
        std::string received;
        EXPECT_TRUE(runUntil([&] {
            return !caller->receive(received);
        }));
        EXPECT_EQ(statusOf(received), "200");
    }
    EXPECT_EQ(metric(m_settings, "server_ends_total"), 0);
    EXPECT_EQ(metric(m_settings, "requests_blocked_total"), 0);
}

/// Guards against dead servers that are taken for a cut: their requests would be relayed in vain, and the
/// daemon's servers handed over.
TEST_F(edge_cut_test, DeadServersAreNotTakenForACut)
{
    start();
    startPeer("n2", "z");
    ASSERT_EQ(countFailures("/safe/x", "", concurrency), 0);
    for (const char *id : {"m-1", "p-1"}) {
        m_links.at(id)->setFault(link_fault::Refused);
        m_peers[0]->links.at(id)->setFault(link_fault::Refused);
    }
    runTraffic({2'000});
    EXPECT_LE(countFailures("/safe/x", "", attempts), maxFailures);
    EXPECT_EQ(metric(m_settings, "cuts_from_servers_total"), 0);
    EXPECT_EQ(metric(m_settings, "relayed_total{domain=\"same\"}"), 0);
    EXPECT_FALSE(isOwnedByPeers("m-2"));
}

/// Guards against servers that are silent for a second and then taken for unreachable.
TEST_F(edge_cut_test, SilenceOfASecondIsNotTakenForACut)
{
    start();
    setServerTime({1'200});
    startPeer("n2", "z");
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(countFailures("/once/x", "", concurrency), 0);
        EXPECT_EQ(countFailures("/safe/x", "", concurrency), 0);
    }
    EXPECT_EQ(mostRunsOfOneRequest(), 1);
    EXPECT_EQ(metric(m_settings, "cuts_from_servers_total"), 0);
    EXPECT_EQ(metric(m_settings, "relayed_total{domain=\"same\"}"), 0);
}

/// Guards against a server that accepts nothing for a second, and is then reached by a peer first.
TEST_F(edge_cut_test, PauseOfOneServerIsNotTakenForACut)
{
    start();
    setServerTime(serverTime);
    startPeer("n2", "z");
    for (int i = 0; i < 3; ++i) {
        for (const char *id : {"m-1", "p-1"}) {
            m_links.at(id)->setFault(link_fault::Hangs);
            m_peers[0]->links.at(id)->setFault(link_fault::Hangs);
        }
        runTraffic({1'000});
        for (const char *id : {"m-1", "p-1"}) {
            m_links.at(id)->setFault(link_fault::None);
            m_peers[0]->links.at(id)->setFault(link_fault::None);
        }
        runTraffic({800});
    }
    EXPECT_EQ(metric(m_settings, "cuts_from_servers_total"), 0);
    EXPECT_EQ(metric(m_settings, "relayed_total{domain=\"same\"}"), 0);
    EXPECT_FALSE(isOwnedByPeers("m-1"));
}

/// Guards against relays within a failure domain that is cut off as a whole.
TEST_F(edge_cut_test, CutOffFailureDomainIsServedByAnother)
{
    start();
    setServerTime(serverTime);
    startPeer("n2", "z");
    startPeer("n3", "y");
    ASSERT_EQ(countFailures("/once/x", "", concurrency), 0);
    setCut(m_links, link_fault::Hangs);
    setCut(m_peers[0]->links, link_fault::Hangs);
    runTraffic(contactTime);
    const double accepted = metric(m_peers[0]->settings, "relayed_for_peers_total");
    EXPECT_LE(countFailures("/once/x", "", attempts), maxFailures);
    EXPECT_LE(countFailures("/gen/x", "a1", attempts), maxFailures);
    EXPECT_EQ(metric(m_peers[0]->settings, "relayed_for_peers_total"), accepted)
        << "a peer that is cut off itself has to be known by now";
    EXPECT_GT(metric(m_settings, "relayed_bytes_total{domain=\"other\"}"), 0);
}

/// Guards against a daemon that goes on relaying when its links are back, or fails when they are cut again.
TEST_F(edge_cut_test, LinksAreUsedAgainAfterEachOfSeveralCuts)
{
    start();
    setServerTime(serverTime);
    startPeer("n2", "z");
    for (const link_fault cut :
        {link_fault::Hangs, link_fault::Refused, link_fault::RefusesNew, link_fault::Hangs}) {
        setCut(m_links, cut);
        runTraffic(contactTime);
        EXPECT_LE(countFailures("/once/x", "", concurrency), maxFailures) << nameOfCut(cut);
        setCut(m_links, link_fault::None);
        runTraffic({2'500});
        EXPECT_EQ(metric(m_settings, "cut_off_from_servers"), 0) << nameOfCut(cut);
        const double relayed = metric(m_settings, "relayed_total{domain=\"same\"}");
        EXPECT_LE(countFailures("/once/x", "", attempts), maxFailures) << nameOfCut(cut);
        EXPECT_EQ(metric(m_settings, "relayed_total{domain=\"same\"}"), relayed) << nameOfCut(cut);
    }
}

/// Guards against a resumable stream that a cut ends in the middle, and against events lost or repeated
/// there.
TEST_F(edge_cut_test, ResumableStreamContinuesThroughAPeer)
{
    start();
    startPeer("n2", "z");
    const std::string whole = responseTo("/resume/x", "a1");
    setBehavior(m_models, backend_standin::behavior::HoldsStream);
    const auto caller = sendRequest("/resume/x", "a1");
    std::string received;
    ASSERT_TRUE(runUntil([&] {
        caller->receive(received);
        return received.find("id: 2") != std::string::npos || received.find("id: 1") != std::string::npos;
    }));
    runRounds(100);
    setBehavior(m_models, backend_standin::behavior::Serves);
    setCut(m_links, link_fault::Hangs);
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(received);
    }));
    const auto events = [](const std::string &response) {
        std::string ids;
        for (std::size_t at = response.find("id: "); at != std::string::npos;
             at = response.find("id: ", at + 1)) {
            ids += response.substr(at + 4, response.find('\n', at) - at - 4) + ' ';
        }
        return ids;
    };
    EXPECT_EQ(events(received), events(whole));
}

/// Guards against a request that waits for its deadline on a connection over a link that is known to be cut.
TEST_F(edge_cut_test, RepeatableRequestInFlightIsRepeatedThroughAPeer)
{
    start();
    setServerTime({600});
    startPeer("n2", "z");
    const auto caller = sendRequest("/safe/x");
    runRounds(150);
    setCut(m_links, link_fault::Hangs);
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        return !caller->receive(received);
    }));
    EXPECT_EQ(statusOf(received), "200");
}

/// Guards against a peer that accepts no connection and holds the requests of a cut off daemon.
TEST_F(edge_cut_test, PeerThatHangsIsReplacedByAnother)
{
    m_timeoutMs = 650;
    start();
    startPeer("n2", "z");
    fault_proxy hanging(m_loop, m_settings.peers.port);
    hanging.setFault(link_fault::Hangs);
    m_store.put(
        "briarhead/daemon/n0", encode(daemon_record{"n0", http_testing::loopback, hanging.port(), "z", 1}));
    setCut(m_links, link_fault::Refused);
    runTraffic(contactTime);
    EXPECT_LE(countFailures("/once/x", "", attempts), maxFailures);
}

/// Guards against requests that wait until their deadline although no daemon reaches a server.
TEST_F(edge_cut_test, RequestsAreRefusedAtOnceWhereNoPeerReachesTheServers)
{
    start();
    startPeer("n2", "z");
    setCut(m_links, link_fault::Refused);
    setCut(m_peers[0]->links, link_fault::Refused);
    runTraffic({1'000});
    const millis from = bootNow();
    const std::string received = responseTo("/once/x");
    EXPECT_EQ(statusOf(received), "503");
    EXPECT_NE(received.find("Retry-After"), std::string::npos);
    EXPECT_LT(bootNow() - from, millis{m_timeoutMs / 2});
    EXPECT_EQ(metric(m_settings, "cuts_from_servers_total"), 0);
}

/// Guards against relayed requests that a peer relays again, or sends to a server that is closed to it.
TEST_F(edge_cut_test, PeerRefusesToRelayWhereItIsCutOffItself)
{
    start();
    startPeer("n2", "z");
    startPeer("n3", "y");
    setCut(m_links, link_fault::Refused);
    runTraffic({1'000});
    ASSERT_EQ(metric(m_settings, "cut_off_from_servers"), 1);
    const backend_standin &server = *m_plain[0];
    const std::string body = encode(relay_request{"x1", server.id, server.id, false, false, 1'000,
        "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: x1\r\n\r\n"});
    for (const std::string &content : {body, std::string("no relay request")}) {
        const auto caller = http_testing::raw_socket::connectTo(m_settings.peers.port);
        caller->send("POST /relay HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
            + std::to_string(content.size()) + "\r\n\r\n" + content);
        std::string received;
        EXPECT_TRUE(runUntil([&] {
            return !caller->receive(received);
        }));
        EXPECT_EQ(statusOf(received), content == body ? "503" : "400");
    }
    EXPECT_EQ(runsById().count("x1"), 0U);
}

/// Whether the framing of a response says that it is complete.
bool isFramedAsComplete(const std::string &response)
{
    return response.ends_with("\r\n0\r\n\r\n") || response.find("Content-Length: ") != std::string::npos;
}

/// Guards against a cut response that looks complete because it came through a peer.
TEST_F(edge_cut_test, ResponseCutBehindAPeerIsNotFramedAsComplete)
{
    start();
    startPeer("n2", "z");
    setCut(m_links, link_fault::Refused);
    runTraffic(contactTime);
    for (const body_framing framing : {body_framing::Connection, body_framing::Chunked}) {
        for (const std::size_t cut : {0U, 5U, 9U, 27U}) {
            for (auto *servers : {&m_models, &m_plain}) {
                for (const auto &server : *servers) {
                    server->ending = response_ending{framing, cut, false};
                }
            }
            const std::string stream = responseTo("/gen/x", "a1");
            EXPECT_FALSE(isFramedAsComplete(stream) && statusOf(stream) == "200") << stream;
            const std::string once = responseTo("/once/x");
            EXPECT_FALSE(isFramedAsComplete(once) && statusOf(once) == "200") << once;
        }
    }
    for (const auto &server : m_plain) {
        server->ending = response_ending{body_framing::Connection, {}, false};
    }
    const std::string whole = responseTo("/once/x");
    EXPECT_NE(whole.find("served by p-"), std::string::npos) << whole;
    EXPECT_FALSE(isFramedAsComplete(whole)) << whole;
    EXPECT_GT(metric(m_settings, "relayed_total{domain=\"same\"}"), 0);
}

/// A peer of a build that reports a response as complete where its connection closed in order.
class older_peer
{
public:
    older_peer(loop &eventLoop, fake_store &store)
    {
        error why;
        m_server = front_server::listen(
            eventLoop, http_testing::loopback, 0,
            [this](const front_request &request, const std::shared_ptr<front_reply> &reply) {
                onRequest(request, reply);
            },
            why);
        store.put("briarhead/daemon/n0",
            encode(daemon_record{"n0", http_testing::loopback, m_server->port(), "z", 1}));
    }
    int relayed = 0;

private:
    void onRequest(const front_request &request, const std::shared_ptr<front_reply> &reply)
    {
        error why;
        const auto decoded = decodeRelayRequest(request.body, why);
        if (!decoded) { // asks whether a server is reached
            reply->respond(200, {}, "reached");
            return;
        }
        ++relayed;
        reply->begin(relayedStatus, {}, body_framing::Chunked);
        reply->write(frame(relay_head{
            200, "OK", {{"X-Briarhead-Request-Id", decoded->id}, {"X-Briarhead-Server-Stamp", "by-it"}}}));
        reply->write(frame(relay_body{"cut o"}));
        reply->write(frame(relay_end{true, ""}));
        reply->end();
    }

    std::unique_ptr<front_server> m_server;
};

/// Guards against a response that a peer of an older build takes for complete.
TEST_F(edge_cut_test, UnframedResponseThroughAnOlderPeerIsPassedOnUnframed)
{
    start();
    const older_peer peer(m_loop, m_store);
    runRounds(500);
    setCut(m_links, link_fault::Refused);
    runTraffic(contactTime);
    const int before = peer.relayed;
    const std::string received = responseTo("/once/x");
    EXPECT_GT(peer.relayed, before);
    EXPECT_NE(received.find("cut o"), std::string::npos) << received;
    EXPECT_FALSE(isFramedAsComplete(received)) << received;
}

/// Guards against a stream that goes on at another software version because a peer sends it there.
TEST_F(edge_cut_test, StreamOverAPeerStaysAtItsSoftwareVersion)
{
    start();
    startPeer("n2", "z");
    for (std::size_t i = 0; i < m_models.size(); ++i) {
        m_models[i]->softwareVersion = i == 0 ? "v1" : "v2";
        m_store.put("servers/" + m_models[i]->id, m_models[i]->entry());
    }
    setCut(m_links, link_fault::Refused);
    runTraffic(contactTime);
    const auto cutRequests = std::make_shared<std::set<std::string>>();
    for (const auto &server : m_models) {
        server->ending = response_ending{body_framing::Chunked, 25, true}; // in the second event
        server->cutRequests = cutRequests;
    }
    for (int i = 0; i < 6; ++i) {
        const std::string received = responseTo("/resume/x", "a1");
        const bool both = received.find("data: m-1") != std::string::npos
            && received.find("data: m-2") != std::string::npos;
        EXPECT_FALSE(both) << received;
        EXPECT_FALSE(isFramedAsComplete(received) && statusOf(received) == "200") << received;
    }
    EXPECT_GT(metric(m_settings, "relayed_total{domain=\"same\"}"), 0);
}

}
