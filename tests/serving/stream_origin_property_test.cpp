#include "serving/store_fixture.h"
#include "serving/stream_origin_task.h"
#include "unit/free_port.h"

#include <gtest/gtest.h>

#include <random>
#include <variant>

namespace briarhead {

namespace {

constexpr int histories = 32;
constexpr millis length{10'000};
/// Store outages end within it, and what was written is in the store.
constexpr millis settled{1'500};
const std::string service = "llm";

node_settings settingsOf(const std::string &node, std::uint16_t port)
{
    node_settings settings = test_daemon::settingsOf(node, node, false);
    settings.peers = {"127.0.0.1", port};
    return settings;
}

/// One daemon's store task and stream origins, which reach those of other daemons by datagrams.
struct origin_daemon
{
    node_settings settings;
    bus messages;
    fake_store_client client;
    decision_log log;
    store_task store;
    stream_origin_task origins;
    std::unique_ptr<fleet_port> port;
    millis startedAt = bootNow();
    millis disturbedAt;

    origin_daemon(fake_store &shared, const std::string &node, std::uint64_t incarnation)
        : settings(settingsOf(node, http_testing::freePort()))
        , messages(shared.events)
        , client(shared)
        , log(-1, node)
        , store(shared.events, messages, client, platform::recordCodec(), settings, incarnation, log)
        , origins(shared.events, messages, store, settings, log)
    {
        error why;
        port = fleet_port::open(
            shared.events, settings.peers,
            [this](const fleet_datagram &datagram, const peer_address &) {
                onDatagram(datagram);
            },
            why);
        if (!port) {
            throw std::runtime_error(message(why));
        }
        origins.setPort(*port);
    }
    void onDatagram(const fleet_datagram &datagram)
    {
        if (ended || isCutOff) {
            return;
        }
        if (const auto *report = std::get_if<stream_origins_report>(&datagram.body)) {
            origins.onReport(datagram.from, *report);
        } else if (const auto *query = std::get_if<stream_origin_query>(&datagram.body)) {
            origins.onQuery(datagram.from, *query);
        } else if (const auto *answer = std::get_if<stream_origin_answer>(&datagram.body)) {
            origins.onAnswer(datagram.from, *answer);
        }
    }
    /// As a kill does: nothing reaches it any more, and nothing of it the store.
    void end()
    {
        ended = true;
        client.fault = store_fault::Unresponsive;
    }
    bool ended = false;
    bool isCutOff = false; ///< from the other daemons: their datagrams are lost
};

struct begun_stream
{
    std::string version;
    millis at;
    bool recorded = false; ///< its daemon ran and reached the store for long enough afterwards
    bool beganAlone = false; ///< streams without a record could begin at its version alone
};

struct history
{
    history(loop &events, unsigned seed)
        : store(events)
        , random(seed)
    {
    }
    fake_store store;
    std::mt19937 random;
    std::map<std::string, std::shared_ptr<origin_daemon>> daemons;
    std::vector<std::shared_ptr<origin_daemon>> ended; ///< the loop may hold messages for them
    std::map<std::string, begun_stream> streams;
    std::set<std::string> servedVersions;
    std::vector<std::shared_ptr<void>> timers;
    std::uint64_t starts = 0;
    std::string violation;
    std::size_t due = 0; ///< take-ups that must go on
    std::size_t wentOn = 0;

    std::size_t below(std::size_t bound)
    {
        return random() % bound;
    }
    /// A route whose streams callers may take up.
    void configure()
    {
        store.put("op/config",
            R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","routeType":"streaming",
               "timeoutMs":300,"targetLatencyMs":100,"maxAttempts":1,"service":"llm","resumable":true}],
               "services":[{"name":"llm"}]})");
    }
    /// Whether the store's record says that a stream without a record began at this version.
    bool isOnlyVersion(const std::string &version) const
    {
        error why;
        const auto item = store.items.find("briarhead/versions/llm");
        const auto record =
            item == store.items.end() ? std::nullopt : decodeServiceVersions(item->second.value, why);
        return record
            && (record->base == version
                || (record->base.empty() && record->versions == std::vector<std::string>{version}));
    }
    void serve(const std::string &version)
    {
        servedVersions.insert(version);
        store.put("servers/i-" + version,
            R"({"service":"llm","address":"127.0.0.1:9","zone":"z","slots":4,"state":"ready","version":")"
                + version + "\"}");
    }
    void withdraw(const std::string &version)
    {
        servedVersions.erase(version);
        store.remove("servers/i-" + version);
    }
    std::shared_ptr<origin_daemon> anyDaemon()
    {
        return daemons.empty() ? nullptr
                               : std::next(daemons.begin(), static_cast<int>(below(daemons.size())))->second;
    }
    void kill(const std::string &node)
    {
        daemons.at(node)->end();
        ended.push_back(daemons.at(node));
        daemons.erase(node);
    }
    void startMissing()
    {
        for (const char *node : {"n0", "n1", "n2"}) {
            if (daemons.count(node) == 0) {
                daemons[node] = std::make_shared<origin_daemon>(store, node, ++starts);
            }
        }
    }
    void begin(loop &events)
    {
        const auto daemon = anyDaemon();
        if (!daemon) {
            return;
        }
        for (const auto &[id, server] : daemon->store.view().servers) {
            if (servedVersions.count(server.softwareVersion) == 0 || below(2) == 0
                || daemon->origins.isHeldBack(service, server.softwareVersion)) {
                continue;
            }
            const std::string stream = "s" + std::to_string(streams.size());
            streams[stream] = {
                server.softwareVersion, bootNow(), false, isOnlyVersion(server.softwareVersion)};
            daemon->origins.onStreamBegan(stream, {service, server.softwareVersion}, true);
            timers.push_back(events.timer(settled, {}, [this, stream, daemon, began = bootNow()] {
                streams[stream].recorded =
                    !daemon->ended && daemon->disturbedAt < began && daemon->startedAt + settled < began;
            }));
            return;
        }
    }
    void takeUp()
    {
        const auto daemon = anyDaemon();
        if (!daemon || streams.empty()) {
            return;
        }
        const auto stream = std::next(streams.begin(), static_cast<int>(below(streams.size())));
        const millis now = bootNow();
        const bool calm = daemon->startedAt + settled < now
            && (daemon->disturbedAt.count == 0 || daemon->disturbedAt + settled + settled < now);
        const bool certain = stream->second.beganAlone && isOnlyVersion(stream->second.version);
        const bool counts = calm && (stream->second.recorded || certain);
        daemon->origins.find(stream->first, service,
            [this, counts, id = stream->first, daemon](const std::optional<stream_origin> &origin) {
                if (daemon->ended) {
                    return;
                }
                if (origin && origin->softwareVersion != streams[id].version) {
                    violation = id + " began at " + streams[id].version + " and goes on at "
                        + origin->softwareVersion;
                }
                due += counts ? 1 : 0;
                wentOn += counts && origin ? 1 : 0;
            });
    }
    void disturbStore(loop &events)
    {
        static constexpr store_fault faults[] = {
            store_fault::Unresponsive, store_fault::ExecutesChangesLate, store_fault::LosesWriteResponses};
        const auto daemon = anyDaemon();
        if (!daemon) {
            return;
        }
        daemon->client.fault = faults[below(std::size(faults))];
        daemon->client.lateBy = {static_cast<std::int64_t>(below(2'000))};
        daemon->disturbedAt = bootNow();
        timers.push_back(events.timer({400}, {}, [daemon] {
            if (!daemon->ended) {
                daemon->client.fault = store_fault::None;
            }
        }));
    }
    void step(loop &events)
    {
        begin(events);
        takeUp();
        takeUp();
        const std::string version = "v" + std::to_string(1 + below(3));
        switch (below(24)) {
        case 0:
        case 1:
            serve(version);
            break;
        case 2:
            if (servedVersions.size() > 1) {
                withdraw(*servedVersions.begin());
            }
            break;
        case 3:
            if (!daemons.empty()) {
                kill(std::next(daemons.begin(), static_cast<int>(below(daemons.size())))->first);
            }
            break;
        case 4: // all lose power, and the servers of a version may be gone before they are back
            if (below(2) == 0) {
                while (!daemons.empty()) {
                    kill(daemons.begin()->first);
                }
                if (servedVersions.size() > 1 && below(2) == 0) {
                    withdraw(*servedVersions.rbegin());
                }
            }
            break;
        case 5:
            disturbStore(events);
            break;
        case 6:
            store.compact();
            break;
        case 7:
        case 8:
        case 9:
            startMissing();
            break;
        default:
            break;
        }
    }
};

}

/// Any order of releases, late and unanswered writes, outages, kills of any daemons and take-ups: no stream
/// goes on at another version, and nine in ten of those go on that were recorded.
TEST(StreamOrigins, NoStreamGoesOnAtAnotherVersionAndRecordedOnesGoOn)
{
    loop events;
    std::vector<std::unique_ptr<history>> all;
    all.reserve(histories);
    for (int i = 0; i < histories; ++i) {
        all.push_back(std::make_unique<history>(events, static_cast<unsigned>(i + 1)));
        all.back()->configure();
        all.back()->serve("v1");
        all.back()->startMissing();
    }
    const auto steps = events.timer({100}, {100}, [&] {
        for (const auto &each : all) {
            each->step(events);
        }
    });
    const auto end = events.timer(length, {}, [&] {
        events.stop();
    });
    events.run();
    std::size_t due = 0;
    std::size_t wentOn = 0;
    for (int i = 0; i < histories; ++i) {
        const history &each = *all[static_cast<std::size_t>(i)];
        EXPECT_EQ(each.violation, "") << "history " << i + 1;
        due += each.due;
        wentOn += each.wentOn;
    }
    RecordProperty("due", static_cast<int>(due));
    RecordProperty("wentOn", static_cast<int>(wentOn));
    EXPECT_GT(due, 100U);
    EXPECT_GE(10 * wentOn, 9 * due);
}

/// Guards against a loss of streams whose daemons, one to all, lose power before a second version appears:
/// nobody was told where they began.
TEST(StreamOrigins, StreamsOfLostDaemonsGoOnOnceASecondVersionHasAppeared)
{
    loop events;
    const auto runFor = [&events](millis span) {
        const auto end = events.timer(span, {}, [&events] {
            events.stop();
        });
        events.run();
    };
    std::vector<std::unique_ptr<history>> all;
    for (std::size_t lost = 1; lost <= 3; ++lost) {
        all.push_back(std::make_unique<history>(events, static_cast<unsigned>(lost)));
        all.back()->configure();
        all.back()->serve("v1");
        all.back()->startMissing();
    }
    runFor({2'500});
    std::vector<std::vector<std::optional<stream_origin>>> found(all.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
        for (int stream = 0; stream < 12; ++stream) {
            all[i]->daemons.at("n0")->origins.onStreamBegan(
                "s" + std::to_string(stream), {service, "v1"}, true);
        }
        for (std::size_t lost = 0; lost <= i; ++lost) {
            all[i]->kill("n" + std::to_string(lost));
        }
    }
    runFor({300});
    for (const auto &each : all) {
        each->serve("v2");
    }
    runFor({300});
    for (const auto &each : all) {
        each->startMissing();
    }
    runFor({1'500});
    for (std::size_t i = 0; i < all.size(); ++i) {
        for (int stream = 0; stream < 12; ++stream) {
            all[i]->daemons.at("n2")->origins.find("s" + std::to_string(stream), service,
                [&found, i](const std::optional<stream_origin> &origin) {
                    found[i].push_back(origin);
                });
        }
    }
    runFor({1'500});
    for (std::size_t i = 0; i < found.size(); ++i) {
        ASSERT_EQ(found[i].size(), 12U);
        for (const auto &origin : found[i]) {
            EXPECT_TRUE(origin && origin->softwareVersion == "v1") << i + 1 << " daemons were lost";
        }
    }
}

/// Guards against a daemon that was out of step while servers of a new version joined, and takes the version
/// that it knows for the only one: streams that began at the new one elsewhere would go on there.
TEST(StreamOrigins, DaemonsOutOfStepJoinNoStreamsOfTwoVersions)
{
    constexpr int rounds = 12;
    loop events;
    const auto runFor = [&events](millis span) {
        const auto end = events.timer(span, {}, [&events] {
            events.stop();
        });
        events.run();
    };
    std::vector<std::unique_ptr<history>> all;
    for (int i = 0; i < rounds; ++i) {
        all.push_back(std::make_unique<history>(events, static_cast<unsigned>(i + 1)));
        all.back()->configure();
        all.back()->serve("v1");
        all.back()->startMissing();
    }
    runFor({2'500});
    for (const auto &each : all) {
        each->store.put("op/other", "x"); // which confirms all views
    }
    runFor({100});
    // Two daemons are cut off from the store and from the third, which begins streams and then ends.
    for (const auto &each : all) {
        each->daemons.at("n1")->isCutOff = true;
        each->daemons.at("n2")->isCutOff = true;
        each->daemons.at("n1")->client.fault = store_fault::Unresponsive;
        each->daemons.at("n2")->client.fault = store_fault::Unresponsive;
        each->serve("v2");
    }
    for (int step = 0; step < 24; ++step) {
        runFor({100});
        for (const auto &each : all) {
            const auto &beginner = *each->daemons.at("n0");
            const bool knowsNew = beginner.store.view().servers.count("i-v2") != 0;
            const std::string version = knowsNew && !beginner.origins.isHeldBack(service, "v2") ? "v2" : "v1";
            const std::string id = "s" + std::to_string(step);
            each->streams[id] = {version, bootNow(), false, false};
            each->daemons.at("n0")->origins.onStreamBegan(id, {service, version}, true);
        }
    }
    for (const auto &each : all) {
        each->kill("n0");
        each->daemons.at("n1")->isCutOff = false;
        each->daemons.at("n2")->isCutOff = false;
    }
    std::size_t joined = 0;
    for (const auto &each : all) {
        for (const auto &[id, stream] : each->streams) {
            each->daemons.at("n1")->origins.find(
                id, service, [&joined, version = stream.version](const std::optional<stream_origin> &origin) {
                    joined += origin && origin->softwareVersion != version ? 1 : 0;
                });
        }
    }
    runFor({1'500});
    EXPECT_EQ(joined, 0U);
}

}
