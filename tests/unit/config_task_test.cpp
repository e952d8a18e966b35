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

/// One daemon's config task with its own bus, as in its own process.
struct node
{
    std::string name;
    bus messages;
    kv_client kv;
    config_task task;
    std::vector<std::uint64_t> versions; ///< in the order they came into force
    std::uint64_t answers = 0; ///< frames it got from peers

    node(loop &eventLoop, const std::string &self, const std::string &url, const config_task::options &given)
        : name(self)
        , messages(eventLoop)
        , kv(eventLoop, {url}, kvTimeout)
        , task(messages, eventLoop, kv, given)
    {
        messages.on<config_changed>([this](const config_changed &news) {
            versions.push_back(news.current->version);
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
    std::vector<std::unique_ptr<node>> m_gone; ///< no peer reaches them any more
    millis m_submitTimeout{10'000};

    void SetUp() override
    {
        m_kv = startKv();
    }

    std::unique_ptr<kv_standin> startKv()
    {
        error why;
        auto made = kv_standin::start(m_loop, {}, why);
        EXPECT_NE(made, nullptr) << message(why);
        return made;
    }

    /// A daemon whose frames to other nodes are delivered in order.
    node &start(const std::string &name, const std::string &url = {})
    {
        config_task::options given;
        given.self = name;
        given.failureDomain = "zg-dubrava";
        given.pollInterval = millis{100};
        given.retryInterval = millis{20};
        given.peerTimeout = millis{200};
        given.peerGrace = millis{200};
        given.submitTimeout = m_submitTimeout;
        m_nodes.push_back(std::make_unique<node>(m_loop, name, url.empty() ? m_kv->url() : url, given));
        auto &made = *m_nodes.back();
        made.messages.on<send_to>([this, &made](const send_to &frame) {
            deliver(made, frame);
        });
        return made;
    }

    void deliver(node &from, const send_to &frame)
    {
        for (const auto &to : m_nodes) {
            if (to->name != frame.to) {
                continue;
            }
            if (const auto *question = std::get_if<config_request>(&frame.body)) {
                to->messages.post(received<config_request>{from.name, 1, *question});
            } else if (const auto *answer = std::get_if<config_response>(&frame.body)) {
                ++to->answers;
                to->messages.post(received<config_response>{from.name, 1, *answer});
            }
        }
    }

    /// Tells a node which daemons live and what they hold, as membership does.
    void tellMembers(node &to)
    {
        members_changed news;
        for (const auto &peer : m_nodes) {
            news.members.push_back({peer->name, "zg-dubrava", {}, 0, 1, peer_state::Alive, peer->version()});
        }
        to.messages.post(news);
    }

    submit_result submit(node &to, const config_patch &patch)
    {
        std::optional<submit_result> answer;
        to.task.submitPatch(patch, [&answer](const submit_result &given) {
            answer = given;
        });
        EXPECT_TRUE(runUntil(m_loop, [&answer] {
            return answer.has_value();
        }));
        return answer.value_or(submit_result{});
    }

    submit_result submitNext(node &to, const std::string &id)
    {
        const auto base = to.version();
        return submit(to, patchOf(base, id, adapterSet("a" + std::to_string(base % 5), 1)));
    }

    /// Puts in more than a megabyte of adapters, with folds in between.
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

    bool reaches(const node &which, std::uint64_t version)
    {
        return runUntil(m_loop, [&which, version] {
            return !which.versions.empty() && which.versions.back() >= version;
        });
    }

    void wait(millis time)
    {
        const auto timer = m_loop.timer(time, millis{0}, [this] {
            m_loop.stop();
        });
        m_loop.run();
    }

    static bool rises(const std::vector<std::uint64_t> &versions)
    {
        return std::ranges::is_sorted(versions, std::ranges::less_equal{});
    }
};

}

TEST_F(config_task_test, APatchComesIntoForceEverywhere)
{
    auto &one = start("zg-1");
    auto &two = start("zg-2");
    ASSERT_TRUE(reaches(one, 0));
    const auto answer = submitNext(one, "p1");
    EXPECT_EQ(answer.status, submit_status::Accepted);
    EXPECT_EQ(answer.version, 1U);
    ASSERT_TRUE(reaches(two, 1));
    EXPECT_NE(findAdapter(*two.task.current(), "a0"), nullptr);
    EXPECT_TRUE(rises(two.versions));
}

/// Two operators patch version 0 at the same moment through two daemons. One is told that it is accepted,
/// the other the current version and how to rebase; nothing of the refused patch is ever in force.
TEST_F(config_task_test, OfTwoRacingOperatorsOneIsAccepted)
{
    auto &one = start("zg-1");
    auto &two = start("zg-2");
    std::vector<submit_result> answers;
    const auto collect = [&answers](const submit_result &given) {
        answers.push_back(given);
    };
    one.task.submitPatch(patchOf(0, "x", adapterSet("x", 1)), collect);
    two.task.submitPatch(patchOf(0, "y", adapterSet("y", 1)), collect);
    ASSERT_TRUE(runUntil(m_loop, [&answers] {
        return answers.size() == 2;
    }));
    const auto accepted = std::ranges::count(answers, submit_status::Accepted, &submit_result::status);
    ASSERT_EQ(accepted, 1);
    const auto &loser = answers[answers[0].status == submit_status::Accepted ? 1 : 0];
    EXPECT_EQ(loser.status, submit_status::Refused);
    EXPECT_EQ(loser.why.kind, error_kind::StalePatch);
    EXPECT_EQ(loser.version, 1U);
    EXPECT_NE(loser.why.detail.find("set \"base\" to 1"), std::string::npos);
    ASSERT_TRUE(reaches(one, 1) && reaches(two, 1));
    EXPECT_EQ(toJson(*one.task.current()), toJson(*two.task.current()));
    EXPECT_EQ(adapterCount(*one.task.current()), 1U);
}

/// The key-value service writes the patch, then its answer is lost. The operator must not be told that
/// nothing happened, nor is the patch applied twice when the daemon tries again.
TEST_F(config_task_test, ALostAnswerIsSettledByReadingBack)
{
    auto &one = start("zg-1");
    ASSERT_TRUE(reaches(one, 0));
    m_kv->setFaults({.loseAnswers = 1});
    const auto answer = submitNext(one, "p1");
    EXPECT_EQ(answer.status, submit_status::Accepted) << message(answer.why);
    EXPECT_EQ(answer.version, 1U);
    ASSERT_TRUE(reaches(one, 1));
    EXPECT_EQ(one.version(), 1U);
}

/// The operator's own answer is lost, or he isn't sure, and he submits the same patch again, soon and after
/// it was folded into a snapshot. Each time he is told at which version it stands.
TEST_F(config_task_test, ARepeatedIdIsAcceptedOnce)
{
    auto &one = start("zg-1");
    ASSERT_TRUE(reaches(one, 0));
    const auto patch = patchOf(0, "first", adapterSet("x", 1));
    EXPECT_FALSE(submit(one, patch).repeated);
    for (std::size_t i = 0; i < foldPatches + 2; ++i) {
        const auto again = submit(one, patch);
        ASSERT_EQ(again.status, submit_status::Accepted) << i;
        EXPECT_EQ(again.version, 1U);
        EXPECT_TRUE(again.repeated);
        ASSERT_EQ(submitNext(one, "p" + std::to_string(i)).status, submit_status::Accepted);
    }
    auto &fresh = start("zg-2"); // holds no patches from before the fold in memory
    ASSERT_TRUE(reaches(fresh, one.version()));
    const auto again = submit(fresh, patch);
    EXPECT_EQ(again.status, submit_status::Accepted);
    EXPECT_EQ(again.version, 1U);
    const auto other = submit(fresh, patchOf(0, "other", adapterSet("x", 2)));
    EXPECT_EQ(other.why.kind, error_kind::StalePatch);
}

/// The service goes away for good right after the swap: neither "accepted" nor "not run" would be known to
/// be true. The operator is told so and asks again with the same id once the service is back.
TEST_F(config_task_test, AnOpenOutcomeIsToldAsUnknown)
{
    m_submitTimeout = millis{500};
    auto &one = start("zg-1");
    ASSERT_TRUE(reaches(one, 0));
    m_kv->setFaults({.loseAnswers = 1});
    std::optional<submit_result> answer;
    const auto patch = patchOf(0, "p1", adapterSet("x", 1));
    one.task.submitPatch(patch, [&answer](const submit_result &given) {
        answer = given;
    });
    ASSERT_TRUE(runUntil(m_loop, [this] {
        return m_kv->faults().loseAnswers == 0;
    }));
    m_kv->setFaults({.down = kv_down::Refuse});
    ASSERT_TRUE(runUntil(m_loop, [&answer] {
        return answer.has_value();
    }));
    EXPECT_EQ(answer->status, submit_status::Unknown);
    EXPECT_NE(answer->why.detail.find("ask again with the same patch id \"p1\""), std::string::npos);
    m_kv->setFaults({});
    const auto again = submit(one, patch);
    EXPECT_EQ(again.status, submit_status::Accepted);
    EXPECT_EQ(again.version, 1U);
}

TEST_F(config_task_test, WithTheServiceDownAPatchIsNotRun)
{
    auto &one = start("zg-1");
    ASSERT_TRUE(reaches(one, 0));
    m_kv->setFaults({.down = kv_down::Refuse});
    const auto answer = submitNext(one, "p1");
    EXPECT_EQ(answer.status, submit_status::NotRun);
    EXPECT_EQ(answer.why.kind, error_kind::ServiceDown);
    m_kv->setFaults({});
    EXPECT_EQ(submitNext(one, "p1").version, 1U);
}

/// A new instance starts while the service is out. It is not ready until a peer gave it the configuration,
/// and starts from the highest that any peer holds.
TEST_F(config_task_test, AStartDuringAnOutageTakesThePeersHighestVersion)
{
    auto &one = start("zg-1");
    auto &behind = start("zg-2");
    ASSERT_TRUE(reaches(one, 0));
    ASSERT_EQ(submitNext(one, "p1").version, 1U);
    ASSERT_TRUE(reaches(behind, 1));
    auto &ahead = start("zg-3");
    ASSERT_TRUE(reaches(ahead, 1));
    m_kv->setFaults({.down = kv_down::Refuse});
    // The last patch reached only one peer before the service went.
    error why;
    const auto last = patchOf(1, "p2", adapterSet("late", 7));
    ahead.messages.post(received<config_response>{"zg-9", 1, {2, {toJson(last)}, {}}});
    ASSERT_TRUE(reaches(ahead, 2));
    auto &fresh = start("zg-4");
    wait(millis{100});
    EXPECT_EQ(fresh.task.current(), nullptr) << "not ready without any source";
    tellMembers(fresh);
    ASSERT_TRUE(reaches(fresh, 2));
    EXPECT_EQ(fresh.versions, std::vector<std::uint64_t>{2});
    EXPECT_EQ(findAdapter(*fresh.task.current(), "late")->active, 7U);
}

/// A daemon that joined after a fold holds no early patches; a new one gets the whole from it, in several
/// frames, since more than a megabyte doesn't go into one.
TEST_F(config_task_test, APeerGivesTheWholeWhenItHoldsNoPatches)
{
    auto &one = start("zg-1");
    ASSERT_TRUE(reaches(one, 0));
    fill(one);
    m_gone.swap(m_nodes);
    auto &second = start("zg-2");
    ASSERT_TRUE(reaches(second, one.version()));
    m_kv->setFaults({.down = kv_down::Refuse});
    auto &third = start("zg-3");
    tellMembers(third);
    ASSERT_TRUE(reaches(third, second.version()));
    EXPECT_EQ(toJson(*third.task.current()), toJson(*second.task.current()));
    EXPECT_GT(third.answers, 1U);
}

/// A new daemon reads a large snapshot from a slow service. While the chunks are on their way a peer
/// gives it the next version. The chunks that arrive afterwards must not bring the older one back.
TEST_F(config_task_test, ASlowSnapshotDoesNotOvertakeAPeersVersion)
{
    auto &one = start("zg-1");
    ASSERT_TRUE(reaches(one, 0));
    fill(one);
    error why;
    const auto next = applyPatch(*one.task.current(), patchOf(one.version(), "n", adapterSet("n", 1)), why);
    ASSERT_TRUE(next) << message(why);
    m_gone.swap(m_nodes);
    auto &slow = start("zg-2");
    m_kv->setFaults({.delay = millis{100}});
    ASSERT_TRUE(runUntil(m_loop, [&slow] {
        return slow.kv.counters().reads > 1; // the head arrived, the chunks are being read
    }));
    const auto chunks = toChunks(*next);
    config_response answer{next->version, {}, {chunks.begin(), chunks.end()}};
    answer.chunks.emplace_back("index", nlohmann::json(names(chunks)).dump());
    slow.messages.post(received<config_response>{"zg-9", 1, answer});
    const auto reads = chunks.size() + 1;
    ASSERT_TRUE(runUntil(m_loop, [&slow, reads] {
        return slow.kv.counters().reads > reads; // the next poll comes after the snapshot was dealt with
    }));
    EXPECT_EQ(slow.versions, std::vector<std::uint64_t>{next->version});
}

/// The service comes back from an older backup. The versions that operators were told are accepted stay in
/// force on every daemon, and are written back, so that the next patch goes on from them.
TEST_F(config_task_test, ARestoredBackupNeverLowersTheVersion)
{
    auto &one = start("zg-1");
    ASSERT_TRUE(reaches(one, 0));
    ASSERT_EQ(submitNext(one, "p1").version, 1U);
    std::optional<kv_entry> backup;
    one.kv.get(headKey, [&backup](const kv_read &read) {
        backup = read.entries.at(0);
    });
    ASSERT_TRUE(runUntil(m_loop, [&backup] {
        return backup.has_value();
    }));
    ASSERT_EQ(submitNext(one, "p2").version, 2U);
    ASSERT_EQ(submitNext(one, "p3").version, 3U);
    bool restored = false;
    one.kv.get(headKey, [&](const kv_read &read) {
        one.kv.compareAndSwap(
            headKey, read.entries.at(0).modRevision, backup->value, 0, [&restored](const kv_write &write) {
                restored = write.status == kv_status::Ok;
            });
    });
    ASSERT_TRUE(runUntil(m_loop, [&restored] {
        return restored;
    }));
    const auto next = submitNext(one, "p4");
    EXPECT_EQ(next.status, submit_status::Accepted) << message(next.why);
    EXPECT_EQ(next.version, 4U);
    EXPECT_TRUE(rises(one.versions));
    auto &fresh = start("zg-2");
    ASSERT_TRUE(reaches(fresh, 4));
    EXPECT_EQ(toJson(*fresh.task.current()), toJson(*one.task.current()));
    std::vector<config_patch> patches;
    fresh.task.history(1, [&patches](const std::vector<config_patch> &all, const error &) {
        patches = all;
    });
    ASSERT_TRUE(runUntil(m_loop, [&patches] {
        return patches.size() == 4;
    }));
    EXPECT_EQ(patches[2].id, "p3");
}

/// The service lost its data, and an operator reaches a new daemon, which has read only the empty head.
/// Accepting his patch there would give one version number to two configurations: it waits for the version
/// that a peer says it holds.
TEST_F(config_task_test, APatchWaitsForTheVersionThatPeersHold)
{
    m_submitTimeout = millis{500};
    auto &one = start("zg-1");
    ASSERT_TRUE(reaches(one, 0));
    ASSERT_EQ(submitNext(one, "p1").version, 1U);
    const auto empty = startKv();
    m_gone.swap(m_nodes);
    auto &fresh = start("zg-2", empty->url());
    ASSERT_TRUE(reaches(fresh, 0));
    fresh.messages.post(peer_version_seen{"zg-1", 1});
    const auto early = submit(fresh, patchOf(0, "p2", adapterSet("x", 1)));
    EXPECT_EQ(early.status, submit_status::NotRun);
    EXPECT_EQ(early.why.kind, error_kind::NotReady);
    m_nodes.push_back(std::move(m_gone.front())); // the peer can be reached again
    ASSERT_TRUE(reaches(fresh, 1));
    EXPECT_EQ(submit(fresh, patchOf(0, "p2", adapterSet("x", 1))).why.kind, error_kind::StalePatch);
    EXPECT_EQ(submitNext(fresh, "p3").version, 2U);
}

/// Operators race through three daemons while answers get lost and the head is folded again and again.
/// Each version must be one accepted patch, and all daemons must end with the same configuration.
TEST_F(config_task_test, RacingOperatorsWithLostAnswersAndFolds)
{
    constexpr std::uint64_t goal = 2 * foldPatches + 10;
    for (const auto *name : {"zg-1", "zg-2", "zg-3"}) {
        start(name);
    }
    std::map<std::uint64_t, std::string> accepted;
    std::uint64_t tries = 0;
    std::size_t open = 0;
    std::function<void(node &)> go = [&](node &which) {
        if (which.version() >= goal) {
            return;
        }
        const auto id = which.name + '-' + std::to_string(++tries);
        if (tries % 7 == 0) {
            m_kv->setFaults({.loseAnswers = 1});
        }
        const auto patch =
            patchOf(which.version(), id, adapterSet(which.name, static_cast<std::uint32_t>(tries)));
        ++open;
        which.task.submitPatch(patch, [&, id](const submit_result &answer) {
            --open;
            EXPECT_NE(answer.status, submit_status::Unknown) << message(answer.why);
            if (answer.status == submit_status::Accepted) {
                EXPECT_TRUE(accepted.emplace(answer.version, id).second) << "two patches at one version";
            }
            go(which);
        });
    };
    for (const auto &each : m_nodes) {
        go(*each);
    }
    for (const auto &each : m_nodes) {
        ASSERT_TRUE(reaches(*each, goal));
    }
    m_kv->setFaults({});
    const auto &first = *m_nodes.front();
    ASSERT_TRUE(runUntil(m_loop, [&] {
        return open == 0 && std::ranges::all_of(m_nodes, [&](const auto &each) {
            return each->version() == accepted.rbegin()->first;
        });
    }));
    for (const auto &each : m_nodes) {
        EXPECT_TRUE(rises(each->versions));
        EXPECT_EQ(toJson(*each->task.current()), toJson(*first.task.current()));
    }
    std::vector<config_patch> patches;
    m_nodes.front()->task.history(1, [&patches](const std::vector<config_patch> &all, const error &) {
        patches = all;
    });
    ASSERT_TRUE(runUntil(m_loop, [&patches] {
        return !patches.empty();
    }));
    ASSERT_EQ(patches.size(), accepted.size()) << "what was told as accepted is what the history holds";
    for (const auto &patch : patches) {
        EXPECT_EQ(accepted[patch.base + 1], patch.id);
    }
}

TEST(ConfigWatch, TwoPerFailureDomainWatchAndTheFleetPollsSlowly)
{
    std::vector<member> members;
    members.reserve(40);
    for (int i = 0; i < 40; ++i) {
        members.push_back({"d" + std::to_string(i), i % 2 == 0 ? "itazuke-hall" : "kasuga-hall"});
    }
    const auto watching = std::ranges::count_if(members, [&](const member &each) {
        return watchesConfig(each.name, each.failureDomain, members);
    });
    EXPECT_EQ(watching, 4);
    EXPECT_EQ(configPollInterval(millis{10'000}, 9), millis{10'000});
    for (const std::size_t size : {9, 400, 2'000, 20'000}) {
        const auto interval = static_cast<double>(configPollInterval(millis{10'000}, size).count);
        EXPECT_LT(static_cast<double>(size) * 1'000 / interval, 50);
    }
}

}
