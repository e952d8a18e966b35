#include "coordination/config_task.h"
#include "standins/kv_standin.h"
#include "standins/run_until.h"
#include "transport/kv_client.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarhead {
namespace {

constexpr millis kvTimeout{2'000};
const std::string headKey = "briarhead/config/head";

std::string adapterSet(const std::string &name, std::uint32_t version)
{
    const auto number = std::to_string(version);
    return R"({"adapters":{")" + name + R"(":{"base_model":"base-7b","active":)" + number + R"(,"versions":[)"
        + number + "]}}}";
}

config_patch patchOf(std::uint64_t base, const std::string &id, const std::string &set)
{
    config_patch patch;
    patch.base = base;
    patch.id = id;
    patch.by = "ivana";
    patch.set = set;
    return patch;
}

/// One daemon's config task, with its own bus and client of the key-value service.
struct node
{
    std::string name;
    bus messages;
    kv_client kv;
    config_task task;
    std::vector<std::uint64_t> versions; ///< in the order they came into force
    std::uint64_t responseFrames = 0; ///< received from peers

    node(
        loop &eventLoop, const std::string &self, const std::string &url, const config_task::options &options)
        : name(self)
        , messages(eventLoop)
        , kv(eventLoop, {url}, kvTimeout)
        , task(messages, eventLoop, kv, options)
    {
        messages.on<config_changed>([this](const config_changed &change) {
            versions.push_back(change.current->version);
        });
    }
    std::uint64_t version() const
    {
        return task.current() ? task.current()->version : 0;
    }
};

class config_task_test : public testing::Test
{
protected:
    loop m_loop;
    std::unique_ptr<kv_standin> m_kv;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::unique_ptr<node>> m_unreachable; ///< running, but no peer can reach them
    millis m_submitTimeout{10'000};

    void SetUp() override
    {
        m_kv = startKv();
    }

    std::unique_ptr<kv_standin> startKv()
    {
        error why;
        auto service = kv_standin::start(m_loop, {}, why);
        EXPECT_NE(service, nullptr) << message(why);
        return service;
    }

    /// Starts a daemon whose frames to the nodes of m_nodes are delivered in order.
    node &start(const std::string &name, const std::string &url = {})
    {
        config_task::options options;
        options.self = name;
        options.failureDomain = "zg-dubrava";
        options.pollInterval = millis{100};
        options.retryInterval = millis{20};
        options.peerTimeout = millis{200};
        options.peerGrace = millis{200};
        options.submitTimeout = m_submitTimeout;
        m_nodes.push_back(std::make_unique<node>(m_loop, name, url.empty() ? m_kv->url() : url, options));
        auto &started = *m_nodes.back();
        started.messages.on<send_to>([this, &started](const send_to &frame) {
            deliver(started, frame);
        });
        return started;
    }

    void deliver(node &from, const send_to &frame)
    {
        for (const auto &to : m_nodes) {
            if (to->name != frame.to) {
                continue;
            }
            if (const auto *request = std::get_if<config_request>(&frame.body)) {
                to->messages.post(received<config_request>{from.name, 1, *request});
            } else if (const auto *response = std::get_if<config_response>(&frame.body)) {
                ++to->responseFrames;
                to->messages.post(received<config_response>{from.name, 1, *response});
            }
        }
    }

    /// Posts the live daemons and their versions to a node, as its membership task would.
    void postMembers(node &to)
    {
        members_changed change;
        for (const auto &peer : m_nodes) {
            change.members.push_back(
                {peer->name, "zg-dubrava", {}, 0, 1, peer_state::Alive, peer->version()});
        }
        to.messages.post(change);
    }

    submit_result submit(node &to, const config_patch &patch)
    {
        std::optional<submit_result> result;
        to.task.submitPatch(patch, [&result](const submit_result &submitted) {
            result = submitted;
        });
        EXPECT_TRUE(runUntil(m_loop, [&result] {
            return result.has_value();
        }));
        return result.value_or(submit_result{});
    }

    submit_result submitNext(node &to, const std::string &id)
    {
        const auto base = to.version();
        return submit(to, patchOf(base, id, adapterSet("a" + std::to_string(base % 5), 1)));
    }

    /// Submits more than a megabyte of adapters; the head is compacted in between.
    void fill(node &to)
    {
        for (int part = 0; part < 8; ++part) {
            std::string set = R"({"adapters":{)";
            for (int i = 0; i < 3'000; ++i) {
                const auto name = 'p' + std::to_string(part) + '-' + std::to_string(i);
                set +=
                    (i > 0 ? ",\"" : "\"") + name + R"(":{"base_model":"base-7b","active":1,"versions":[1]})";
            }
            const auto id = "fill" + std::to_string(part);
            ASSERT_EQ(submit(to, patchOf(to.version(), id, set + "}}")).status, submit_status::Accepted);
        }
    }

    static std::vector<std::string> names(const std::map<std::string, std::string> &chunks)
    {
        std::vector<std::string> all;
        all.reserve(chunks.size());
        for (const auto &[name, text] : chunks) {
            all.push_back(name);
        }
        return all;
    }

    bool reaches(const node &daemon, std::uint64_t version)
    {
        return runUntil(m_loop, [&daemon, version] {
            return !daemon.versions.empty() && daemon.versions.back() >= version;
        });
    }

    void wait(millis time)
    {
        const auto timer = m_loop.timer(time, millis{0}, [this] {
            m_loop.stop();
        });
        m_loop.run();
    }

    static bool strictlyIncreasing(const std::vector<std::uint64_t> &versions)
    {
        return std::ranges::is_sorted(versions, std::ranges::less_equal{});
    }
};

}

TEST_F(config_task_test, AnAcceptedPatchIsInForceOnAllDaemons)
{
    auto &first = start("zg-1");
    auto &second = start("zg-2");
    ASSERT_TRUE(reaches(first, 0));
    const auto result = submitNext(first, "p1");
    EXPECT_EQ(result.status, submit_status::Accepted);
    EXPECT_EQ(result.version, 1U);
    ASSERT_TRUE(reaches(second, 1));
    EXPECT_NE(findAdapter(*second.task.current(), "a0"), nullptr);
    EXPECT_TRUE(strictlyIncreasing(second.versions));
}

/// Two operators patch version 0 at the same time through two daemons. One patch is accepted; the other is
/// refused with the current version and how to rebase, and nothing of it is ever in force.
TEST_F(config_task_test, OneOfTwoConcurrentPatchesIsAccepted)
{
    auto &first = start("zg-1");
    auto &second = start("zg-2");
    std::vector<submit_result> results;
    const auto collect = [&results](const submit_result &result) {
        results.push_back(result);
    };
    first.task.submitPatch(patchOf(0, "x", adapterSet("x", 1)), collect);
    second.task.submitPatch(patchOf(0, "y", adapterSet("y", 1)), collect);
    ASSERT_TRUE(runUntil(m_loop, [&results] {
        return results.size() == 2;
    }));
    const auto accepted = std::ranges::count(results, submit_status::Accepted, &submit_result::status);
    ASSERT_EQ(accepted, 1);
    const auto &refused = results[results[0].status == submit_status::Accepted ? 1 : 0];
    EXPECT_EQ(refused.status, submit_status::Refused);
    EXPECT_EQ(refused.why.kind, error_kind::StalePatch);
    EXPECT_EQ(refused.version, 1U);
    EXPECT_NE(refused.why.detail.find("set \"base\" to 1"), std::string::npos);
    ASSERT_TRUE(reaches(first, 1) && reaches(second, 1));
    EXPECT_EQ(toJson(*first.task.current()), toJson(*second.task.current()));
    EXPECT_EQ(adapterCount(*first.task.current()), 1U);
}

/// The key-value service writes the patch, but its response is lost. The result must not be that nothing was
/// written, and the patch must not be applied twice when the daemon retries.
TEST_F(config_task_test, APatchWhoseWriteResponseIsLostIsAcceptedOnce)
{
    auto &first = start("zg-1");
    ASSERT_TRUE(reaches(first, 0));
    m_kv->setFaults({.loseAnswers = 1});
    const auto result = submitNext(first, "p1");
    EXPECT_EQ(result.status, submit_status::Accepted) << message(result.why);
    EXPECT_EQ(result.version, 1U);
    ASSERT_TRUE(reaches(first, 1));
    EXPECT_EQ(first.version(), 1U);
}

/// An operator submits the same patch again, soon and after it was compacted into a snapshot. Each time the
/// result is the version at which it was accepted first.
TEST_F(config_task_test, ARepeatedIdGetsTheVersionOfItsFirstAcceptance)
{
    auto &first = start("zg-1");
    ASSERT_TRUE(reaches(first, 0));
    const auto patch = patchOf(0, "first", adapterSet("x", 1));
    EXPECT_FALSE(submit(first, patch).repeated);
    for (std::size_t i = 0; i < maxHeadPatches + 2; ++i) {
        const auto again = submit(first, patch);
        ASSERT_EQ(again.status, submit_status::Accepted) << i;
        EXPECT_EQ(again.version, 1U);
        EXPECT_TRUE(again.repeated);
        ASSERT_EQ(submitNext(first, "p" + std::to_string(i)).status, submit_status::Accepted);
    }
    auto &fresh = start("zg-2"); // holds no patches from before the compaction in memory
    ASSERT_TRUE(reaches(fresh, first.version()));
    const auto again = submit(fresh, patch);
    EXPECT_EQ(again.status, submit_status::Accepted);
    EXPECT_EQ(again.version, 1U);
    const auto other = submit(fresh, patchOf(0, "other", adapterSet("x", 2)));
    EXPECT_EQ(other.why.kind, error_kind::StalePatch);
}

/// The service fails right after the swap and stays down, so neither "accepted" nor "not run" would certainly
/// be true. The result is Unknown; submitting the same id again once the service responds settles it.
TEST_F(config_task_test, AnUnconfirmedWriteIsReportedAsUnknown)
{
    m_submitTimeout = millis{500};
    auto &first = start("zg-1");
    ASSERT_TRUE(reaches(first, 0));
    m_kv->setFaults({.loseAnswers = 1});
    std::optional<submit_result> result;
    const auto patch = patchOf(0, "p1", adapterSet("x", 1));
    first.task.submitPatch(patch, [&result](const submit_result &submitted) {
        result = submitted;
    });
    ASSERT_TRUE(runUntil(m_loop, [this] {
        return m_kv->faults().loseAnswers == 0;
    }));
    m_kv->setFaults({.down = kv_down::Refuse});
    ASSERT_TRUE(runUntil(m_loop, [&result] {
        return result.has_value();
    }));
    EXPECT_EQ(result->status, submit_status::Unknown);
    EXPECT_NE(result->why.detail.find("ask again with the same patch id \"p1\""), std::string::npos);
    m_kv->setFaults({});
    const auto again = submit(first, patch);
    EXPECT_EQ(again.status, submit_status::Accepted);
    EXPECT_EQ(again.version, 1U);
}

TEST_F(config_task_test, APatchIsNotRunWhileTheServiceIsDown)
{
    auto &first = start("zg-1");
    ASSERT_TRUE(reaches(first, 0));
    m_kv->setFaults({.down = kv_down::Refuse});
    const auto result = submitNext(first, "p1");
    EXPECT_EQ(result.status, submit_status::NotRun);
    EXPECT_EQ(result.why.kind, error_kind::ServiceDown);
    m_kv->setFaults({});
    EXPECT_EQ(submitNext(first, "p1").version, 1U);
}

/// A new instance starts while the service is down. It is not ready until a peer has sent it the
/// configuration, and starts with the highest version that any peer holds.
TEST_F(config_task_test, AStartDuringAnOutageUsesThePeersHighestVersion)
{
    auto &first = start("zg-1");
    auto &behind = start("zg-2");
    ASSERT_TRUE(reaches(first, 0));
    ASSERT_EQ(submitNext(first, "p1").version, 1U);
    ASSERT_TRUE(reaches(behind, 1));
    auto &ahead = start("zg-3");
    ASSERT_TRUE(reaches(ahead, 1));
    m_kv->setFaults({.down = kv_down::Refuse});
    // The last patch reached only one peer before the service went down.
    error why;
    const auto last = patchOf(1, "p2", adapterSet("late", 7));
    ahead.messages.post(received<config_response>{"zg-9", 1, {2, {toJson(last)}, {}}});
    ASSERT_TRUE(reaches(ahead, 2));
    auto &fresh = start("zg-4");
    wait(millis{100});
    EXPECT_EQ(fresh.task.current(), nullptr) << "not ready without any source";
    postMembers(fresh);
    ASSERT_TRUE(reaches(fresh, 2));
    EXPECT_EQ(fresh.versions, std::vector<std::uint64_t>{2});
    EXPECT_EQ(findAdapter(*fresh.task.current(), "late")->active, 7U);
}

/// A daemon that started after a compaction holds no earlier patches, so it sends a new daemon the complete
/// configuration, in several frames, since it is larger than one frame.
TEST_F(config_task_test, APeerWithoutThePatchesSendsTheCompleteConfiguration)
{
    auto &first = start("zg-1");
    ASSERT_TRUE(reaches(first, 0));
    fill(first);
    m_unreachable.swap(m_nodes);
    auto &second = start("zg-2");
    ASSERT_TRUE(reaches(second, first.version()));
    m_kv->setFaults({.down = kv_down::Refuse});
    auto &third = start("zg-3");
    postMembers(third);
    ASSERT_TRUE(reaches(third, second.version()));
    EXPECT_EQ(toJson(*third.task.current()), toJson(*second.task.current()));
    EXPECT_GT(third.responseFrames, 1U);
}

/// A new daemon reads a large snapshot from a slow service. Meanwhile a peer sends it the next version. The
/// chunks that arrive afterwards must not put the older version into force again.
TEST_F(config_task_test, ASlowSnapshotDoesNotReplaceAPeersNewerVersion)
{
    auto &first = start("zg-1");
    ASSERT_TRUE(reaches(first, 0));
    fill(first);
    error why;
    const auto next =
        applyPatch(*first.task.current(), patchOf(first.version(), "n", adapterSet("n", 1)), why);
    ASSERT_TRUE(next) << message(why);
    m_unreachable.swap(m_nodes);
    auto &slow = start("zg-2");
    m_kv->setFaults({.delay = millis{100}});
    ASSERT_TRUE(runUntil(m_loop, [&slow] {
        return slow.kv.counters().reads > 1; // the head has arrived, the chunks are being read
    }));
    const auto chunks = toChunks(*next);
    config_response response{next->version, {}, {chunks.begin(), chunks.end()}};
    response.chunks.emplace_back("index", nlohmann::json(names(chunks)).dump());
    slow.messages.post(received<config_response>{"zg-9", 1, response});
    const auto reads = chunks.size() + 1;
    ASSERT_TRUE(runUntil(m_loop, [&slow, reads] {
        return slow.kv.counters().reads
            > reads; // the next poll, which comes after the snapshot has been handled
    }));
    EXPECT_EQ(slow.versions, std::vector<std::uint64_t>{next->version});
}

/// The service is restored from an older backup. The versions that were reported as accepted stay in force on
/// every daemon and are written back, so that the next patch is based on them.
TEST_F(config_task_test, ARestoredBackupNeverLowersTheVersion)
{
    auto &first = start("zg-1");
    ASSERT_TRUE(reaches(first, 0));
    ASSERT_EQ(submitNext(first, "p1").version, 1U);
    std::optional<kv_entry> backup;
    first.kv.get(headKey, [&backup](const kv_read &read) {
        backup = read.entries.at(0);
    });
    ASSERT_TRUE(runUntil(m_loop, [&backup] {
        return backup.has_value();
    }));
    ASSERT_EQ(submitNext(first, "p2").version, 2U);
    ASSERT_EQ(submitNext(first, "p3").version, 3U);
    bool restored = false;
    first.kv.get(headKey, [&](const kv_read &read) {
        first.kv.compareAndSwap(
            headKey, read.entries.at(0).modRevision, backup->value, 0, [&restored](const kv_write &write) {
                restored = write.status == kv_status::Ok;
            });
    });
    ASSERT_TRUE(runUntil(m_loop, [&restored] {
        return restored;
    }));
    const auto next = submitNext(first, "p4");
    EXPECT_EQ(next.status, submit_status::Accepted) << message(next.why);
    EXPECT_EQ(next.version, 4U);
    EXPECT_TRUE(strictlyIncreasing(first.versions));
    auto &fresh = start("zg-2");
    ASSERT_TRUE(reaches(fresh, 4));
    EXPECT_EQ(toJson(*fresh.task.current()), toJson(*first.task.current()));
    std::vector<config_patch> patches;
    fresh.task.history(1, [&patches](const std::vector<config_patch> &all, const error &) {
        patches = all;
    });
    ASSERT_TRUE(runUntil(m_loop, [&patches] {
        return patches.size() == 4;
    }));
    EXPECT_EQ(patches[2].id, "p3");
}

/// The service has lost its data, and an operator submits a patch to a new daemon, which has read only the
/// empty head. Accepting it would give one version number to two configurations, so it waits until a version
/// that a peer holds is in force.
TEST_F(config_task_test, APatchWaitsForTheVersionThatPeersHold)
{
    m_submitTimeout = millis{500};
    auto &first = start("zg-1");
    ASSERT_TRUE(reaches(first, 0));
    ASSERT_EQ(submitNext(first, "p1").version, 1U);
    const auto empty = startKv();
    m_unreachable.swap(m_nodes);
    auto &fresh = start("zg-2", empty->url());
    ASSERT_TRUE(reaches(fresh, 0));
    fresh.messages.post(peer_version_seen{"zg-1", 1});
    const auto early = submit(fresh, patchOf(0, "p2", adapterSet("x", 1)));
    EXPECT_EQ(early.status, submit_status::NotRun);
    EXPECT_EQ(early.why.kind, error_kind::NotReady);
    m_nodes.push_back(std::move(m_unreachable.front())); // the peer is reachable again
    ASSERT_TRUE(reaches(fresh, 1));
    EXPECT_EQ(submit(fresh, patchOf(0, "p2", adapterSet("x", 1))).why.kind, error_kind::StalePatch);
    EXPECT_EQ(submitNext(fresh, "p3").version, 2U);
}

/// Operators submit patches through three daemons at the same time, while responses get lost and the head is
/// compacted repeatedly. Each version must be one accepted patch, and all daemons must end with the same
/// configuration.
TEST_F(config_task_test, ConcurrentPatchesWithLostResponsesGetOneVersionEach)
{
    constexpr std::uint64_t goal = 2 * maxHeadPatches + 10;
    for (const auto *name : {"zg-1", "zg-2", "zg-3"}) {
        start(name);
    }
    std::map<std::uint64_t, std::string> accepted;
    std::uint64_t attempts = 0;
    std::size_t openSubmissions = 0;
    std::function<void(node &)> submitUntilGoal = [&](node &daemon) {
        if (daemon.version() >= goal) {
            return;
        }
        const auto id = daemon.name + '-' + std::to_string(++attempts);
        if (attempts % 7 == 0) {
            m_kv->setFaults({.loseAnswers = 1});
        }
        const auto patch =
            patchOf(daemon.version(), id, adapterSet(daemon.name, static_cast<std::uint32_t>(attempts)));
        ++openSubmissions;
        daemon.task.submitPatch(patch, [&, id](const submit_result &result) {
            --openSubmissions;
            EXPECT_NE(result.status, submit_status::Unknown) << message(result.why);
            if (result.status == submit_status::Accepted) {
                EXPECT_TRUE(accepted.emplace(result.version, id).second) << "two patches at one version";
            }
            submitUntilGoal(daemon);
        });
    };
    for (const auto &daemon : m_nodes) {
        submitUntilGoal(*daemon);
    }
    for (const auto &daemon : m_nodes) {
        ASSERT_TRUE(reaches(*daemon, goal));
    }
    m_kv->setFaults({});
    const auto &first = *m_nodes.front();
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return openSubmissions == 0 && std::ranges::all_of(m_nodes, [&](const auto &daemon) {
            return daemon->version() == accepted.rbegin()->first;
        });
    }));
    for (const auto &daemon : m_nodes) {
        EXPECT_TRUE(strictlyIncreasing(daemon->versions));
        EXPECT_EQ(toJson(*daemon->task.current()), toJson(*first.task.current()));
    }
    std::vector<config_patch> patches;
    m_nodes.front()->task.history(1, [&patches](const std::vector<config_patch> &all, const error &) {
        patches = all;
    });
    ASSERT_TRUE(runUntil(m_loop, [&patches] {
        return !patches.empty();
    }));
    ASSERT_EQ(patches.size(), accepted.size())
        << "the history must hold exactly the patches reported as accepted";
    for (const auto &patch : patches) {
        EXPECT_EQ(accepted[patch.base + 1], patch.id);
    }
}

TEST(ConfigWatch, TwoDaemonsPerFailureDomainWatchAndTheFleetsPollRateIsLimited)
{
    std::vector<member> members;
    members.reserve(40);
    for (int i = 0; i < 40; ++i) {
        members.push_back({"d" + std::to_string(i), i % 2 == 0 ? "itazuke-hall" : "kasuga-hall"});
    }
    const auto watching = std::ranges::count_if(members, [&](const member &daemon) {
        return watchesConfig(daemon.name, daemon.failureDomain, members);
    });
    EXPECT_EQ(watching, 4);
    EXPECT_EQ(configPollInterval(millis{10'000}, 9), millis{10'000});
    for (const std::size_t size : {9, 400, 2'000, 20'000}) {
        const auto interval = static_cast<double>(configPollInterval(millis{10'000}, size).count);
        EXPECT_LT(static_cast<double>(size) * 1'000 / interval, 50);
    }
}

}
