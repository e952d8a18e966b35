#include "serving/slot_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

// A weight store that is asked for more than it delivers. Its figures are those of the deployments: an
// adapter takes 250 ms while up to 32 are on their way over all servers, and longer in proportion beyond.
namespace briarhead {

namespace {

constexpr int serverCount = 300;
constexpr int places = 5;
constexpr double aloneMs = 250;
constexpr double atOnce = 32;
constexpr millis step{10};
constexpr millis beatEvery{150};
constexpr millis target{1'000};
constexpr millis patience{950};
constexpr millis answerTime{300}; ///< an adapter is used for so long

/// Adapters on their way share what the weight store gives.
struct weight_store
{
    std::map<std::string, double> left; ///< ms of work, by server and adapter

    void run(double ms)
    {
        const double share = std::min(1.0, atOnce / std::max<double>(static_cast<double>(left.size()), 1));
        for (auto &[key, work] : left) {
            work -= ms * share;
        }
    }
    bool isIn(const std::string &key)
    {
        const auto found = left.find(key);
        if (found != left.end() && found->second > 0) {
            return false;
        }
        if (found != left.end()) {
            left.erase(found);
        }
        return true;
    }
};

struct tally
{
    int served = 0;
    int refused = 0;
};

class crowd
{
public:
    crowd()
        : m_desks(serverCount)
        , m_views(serverCount)
    {
        for (int i = 0; i < serverCount; ++i) {
            server_ledger &ledger = m_desks[static_cast<std::size_t>(i)].ledger;
            ledger.server = "i-" + std::to_string(i);
            ledger.slots = places;
            ledger.weightsMb = 1'000;
            ledger.models = {"base"};
            ledger.confirmed = true;
            m_desks[static_cast<std::size_t>(i)].queue.maxRunning = 64;
            m_desks[static_cast<std::size_t>(i)].queue.memoryTokens = 120'000;
        }
    }

    /// Plays a span in which so many requests a second come, each for an adapter that hardly anyone asks for.
    tally play(millis span, double perSecond)
    {
        tally seen;
        const millis end = m_now + span;
        std::poisson_distribution<int> arrivals(perSecond * static_cast<double>(step.count) / 1'000);
        for (; m_now < end; m_now = m_now + step) {
            for (int n = arrivals(m_random); n > 0; --n) {
                ask(seen);
            }
            m_store.run(static_cast<double>(step.count));
            if (m_now.count % beatEvery.count == 0) {
                beat();
            }
            for (std::size_t i = 0; i < m_desks.size(); ++i) {
                slot_scheduler &desk = m_desks[i];
                updateLoadTimes(desk, m_views[i], m_now);
                endAnswers(desk);
                order(desk);
                count(desk, dueResponses(desk, m_now), seen);
            }
        }
        return seen;
    }

private:
    /// Each orderer hears of the others' loads, and of what they learned.
    void beat()
    {
        const auto onTheirWay = static_cast<double>(m_store.left.size());
        double known = 0;
        int knowing = 0;
        for (const load_pace &view : m_views) {
            const double told = toPassOn(view, m_now);
            known += told;
            knowing += told > 0 ? 1 : 0;
        }
        for (load_pace &view : m_views) {
            view.crowd = onTheirWay;
            noteHeard(view, knowing == 0 ? 0 : known / knowing);
        }
    }

    void ask(tally &seen)
    {
        slot_scheduler &desk = m_desks[m_random() % m_desks.size()];
        place_ask ask;
        ask.id = "r" + std::to_string(++m_asked);
        ask.server = desk.ledger.server;
        ask.model = "base";
        ask.adapter = "a" + std::to_string(m_random() % 20'000);
        ask.promptTokens = 100;
        ask.outputTokens = 20;
        ask.waitMs = patience.count;
        ask.deadlineMs = 5'000;
        ask.targetMs = target.count;
        const place_answer answer = handleSlotRequest(desk, "entry", ask, m_now);
        seen.refused += answer.verdict == place_verdict::Refused ? 1 : 0;
    }

    void order(slot_scheduler &desk)
    {
        const std::vector<model_spec> models{{"base", 100, {}, 1}};
        order_constraints limits;
        limits.models = &models;
        const auto due = orderDue(desk, limits, m_now);
        if (!due) {
            return;
        }
        const std::string key = desk.ledger.server + '/' + due->adapter;
        if (due->kind == order_kind::Unload) {
            onOrderResponse(desk.ledger, *due, order_answer::Holds, m_now);
            return;
        }
        const adapter_slot *place = findSlot(desk.ledger, "base", due->adapter);
        if (place == nullptr) {
            m_store.left[key] = aloneMs;
        }
        const bool in = place != nullptr && m_store.isIn(key);
        onOrderResponse(desk.ledger, *due, in ? order_answer::Holds : order_answer::Accepted, m_now);
    }

    void count(const slot_scheduler &desk, const std::vector<addressed_response> &answers, tally &seen)
    {
        for (const addressed_response &each : answers) {
            const bool granted = each.response.verdict == place_verdict::Granted;
            seen.served += granted ? 1 : 0;
            seen.refused += granted ? 0 : 1;
            if (granted) {
                m_ends.emplace_back(m_now + answerTime, place_note{each.response.id, desk.ledger.server});
            }
        }
    }

    void endAnswers(slot_scheduler &desk)
    {
        std::erase_if(m_ends, [&](const auto &each) {
            const bool over = each.first <= m_now && each.second.server == desk.ledger.server;
            if (over) {
                onRequestEvent(desk, each.second, m_now);
            }
            return over;
        });
    }

    std::vector<slot_scheduler> m_desks;
    std::vector<load_pace> m_views; ///< of the orderer of each server
    weight_store m_store;
    std::vector<std::pair<millis, place_note>> m_ends;
    std::mt19937_64 m_random{7};
    millis m_now{100'000};
    int m_asked = 0;
};

constexpr double deliveredPerSecond = atOnce / aloneMs * 1'000;

}

// All daemons were killed, or a rare part of the adapters is asked for at once: three times as many adapters
// are wanted as the weight store can deliver. Users would see hardly any request served, also long after the
// burst: each load takes longer than its callers wait, is there for nobody and evicts what was in use.
TEST(LoadCrowd, AWeightStoreThatIsAskedForTooMuchStillDeliversForMostOfItsRate)
{
    crowd fleet;
    fleet.play({3'000}, 3 * deliveredPerSecond);
    const tally under = fleet.play({6'000}, 3 * deliveredPerSecond);
    EXPECT_GT(under.served, 6 * deliveredPerSecond * 0.75);
}

// The same burst is over. Users who come with a load that the weight store can bear would go on being refused
// for as long as late loads crowd out useful ones.
TEST(LoadCrowd, IsOverSoonAfterItsBurst)
{
    crowd fleet;
    fleet.play({4'000}, 4 * deliveredPerSecond);
    fleet.play({2'000}, 0.6 * deliveredPerSecond);
    const tally after = fleet.play({4'000}, 0.6 * deliveredPerSecond);
    EXPECT_GT(after.served, 4 * 0.6 * deliveredPerSecond * 0.95);
    EXPECT_LT(after.refused, after.served / 20);
}

// Nothing is crowded. Users who ask for a rare adapter would be refused for a load that takes its usual time.
TEST(LoadCrowd, NobodyIsRefusedWhileLoadsAreQuick)
{
    crowd fleet;
    const tally calm = fleet.play({5'000}, 0.5 * deliveredPerSecond);
    EXPECT_EQ(calm.refused, 0);
}

}
