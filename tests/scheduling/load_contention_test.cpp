#include "scheduling/slot_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

// An overloaded weight store, with the figures of the deployments: an adapter load takes 250 ms with up to 32
// concurrent loads over all servers, and proportionally longer beyond that.
namespace briarhead {

namespace {

constexpr int serverCount = 300;
constexpr int slotsPerServer = 5;
constexpr double uncontendedLoadMs = 250;
constexpr double fullSpeedLoads = 32;
constexpr millis step{10};
constexpr millis heartbeatInterval{150};
constexpr millis targetLatency{1'000};
constexpr millis maxWait{950};
constexpr millis useTime{300}; ///< how long a request uses its adapter

/// Concurrent loads share the weight store's rate.
struct weight_store
{
    std::map<std::string, double> remainingMs; ///< work left, by server and adapter

    void run(double ms)
    {
        const double share =
            std::min(1.0, fullSpeedLoads / std::max<double>(static_cast<double>(remainingMs.size()), 1));
        for (auto &[key, work] : remainingMs) {
            work -= ms * share;
        }
    }
    /// Whether the load is complete; then it is forgotten.
    bool completeIfLoaded(const std::string &key)
    {
        const auto found = remainingMs.find(key);
        if (found != remainingMs.end() && found->second > 0) {
            return false;
        }
        if (found != remainingMs.end()) {
            remainingMs.erase(found);
        }
        return true;
    }
};

struct request_counts
{
    int served = 0;
    int refused = 0;
};

class simulated_fleet
{
public:
    simulated_fleet()
        : m_schedulers(serverCount)
        , m_estimates(serverCount)
    {
        for (int i = 0; i < serverCount; ++i) {
            server_ledger &ledger = m_schedulers[static_cast<std::size_t>(i)].ledger;
            ledger.server = "i-" + std::to_string(i);
            ledger.slots = slotsPerServer;
            ledger.weightsMb = 1'000;
            ledger.models = {"base"};
            ledger.confirmed = true;
            m_schedulers[static_cast<std::size_t>(i)].queue.maxRunning = 64;
            m_schedulers[static_cast<std::size_t>(i)].queue.memoryTokens = 120'000;
        }
    }

    /// Simulates a span with the given request rate, each request for a rarely used adapter.
    request_counts play(millis span, double perSecond)
    {
        request_counts counts;
        const millis end = m_now + span;
        std::poisson_distribution<int> arrivals(perSecond * static_cast<double>(step.count) / 1'000);
        for (; m_now < end; m_now = m_now + step) {
            for (int n = arrivals(m_random); n > 0; --n) {
                sendRequest(counts);
            }
            m_store.run(static_cast<double>(step.count));
            if (m_now.count % heartbeatInterval.count == 0) {
                exchangeHeartbeats();
            }
            for (std::size_t i = 0; i < m_schedulers.size(); ++i) {
                slot_scheduler &scheduler = m_schedulers[i];
                updateLoadTimes(scheduler, m_estimates[i], m_now);
                endRequests(scheduler);
                sendOrder(scheduler);
                count(scheduler, dueResponses(scheduler, m_now), counts);
            }
        }
        return counts;
    }

private:
    /// Each server owner receives the others' numbers of loads and their load estimates.
    void exchangeHeartbeats()
    {
        const auto loadsInProgress = static_cast<double>(m_store.remainingMs.size());
        double sum = 0;
        int reporting = 0;
        for (const load_estimate &estimate : m_estimates) {
            const double shared = estimateToShare(estimate, m_now);
            sum += shared;
            reporting += shared > 0 ? 1 : 0;
        }
        for (load_estimate &estimate : m_estimates) {
            estimate.concurrentLoads = loadsInProgress;
            applyPeerEstimate(estimate, reporting == 0 ? 0 : sum / reporting);
        }
    }

    void sendRequest(request_counts &counts)
    {
        slot_scheduler &scheduler = m_schedulers[m_random() % m_schedulers.size()];
        slot_request request;
        request.id = "r" + std::to_string(++m_requestCount);
        request.server = scheduler.ledger.server;
        request.model = "base";
        request.adapter = "a" + std::to_string(m_random() % 20'000);
        request.promptTokens = 100;
        request.outputTokens = 20;
        request.waitMs = maxWait.count;
        request.deadlineMs = 5'000;
        request.targetMs = targetLatency.count;
        const slot_response response = handleSlotRequest(scheduler, "entry", request, m_now);
        counts.refused += response.decision == slot_decision::Refused ? 1 : 0;
    }

    void sendOrder(slot_scheduler &scheduler)
    {
        const std::vector<model_spec> models{{"base", 100, {}, 1}};
        order_constraints limits;
        limits.models = &models;
        const auto due = orderDue(scheduler, limits, m_now);
        if (!due) {
            return;
        }
        const std::string key = scheduler.ledger.server + '/' + due->adapter;
        if (due->kind == order_kind::Unload) {
            onOrderResponse(scheduler.ledger, *due, order_result::AlreadyDone, m_now);
            return;
        }
        const adapter_slot *slot = findSlot(scheduler.ledger, "base", due->adapter);
        if (slot == nullptr) {
            m_store.remainingMs[key] = uncontendedLoadMs;
        }
        const bool loaded = slot != nullptr && m_store.completeIfLoaded(key);
        onOrderResponse(
            scheduler.ledger, *due, loaded ? order_result::AlreadyDone : order_result::Accepted, m_now);
    }

    void count(const slot_scheduler &scheduler, const std::vector<addressed_response> &responses,
        request_counts &counts)
    {
        for (const addressed_response &each : responses) {
            const bool granted = each.response.decision == slot_decision::Granted;
            counts.served += granted ? 1 : 0;
            counts.refused += granted ? 0 : 1;
            if (granted) {
                m_ends.emplace_back(m_now + useTime, slot_report{each.response.id, scheduler.ledger.server});
            }
        }
    }

    void endRequests(slot_scheduler &scheduler)
    {
        std::erase_if(m_ends, [&](const auto &each) {
            const bool ended = each.first <= m_now && each.second.server == scheduler.ledger.server;
            if (ended) {
                onRequestEvent(scheduler, each.second, m_now);
            }
            return ended;
        });
    }

    std::vector<slot_scheduler> m_schedulers;
    std::vector<load_estimate> m_estimates; ///< of each server's owner
    weight_store m_store;
    std::vector<std::pair<millis, slot_report>> m_ends;
    std::mt19937_64 m_random{7};
    millis m_now{100'000};
    int m_requestCount = 0;
};

constexpr double maxLoadsPerSecond = fullSpeedLoads / uncontendedLoadMs * 1'000;

}

// Requests need three times as many adapter loads as the weight store can deliver, as after a restart of all
// daemons. If all of them were loaded, each load would take longer than its callers wait and evict an adapter
// in use, and hardly any request would be served.
TEST(LoadContention, OverloadedWeightStoreStillServesMostOfItsRate)
{
    simulated_fleet fleet;
    fleet.play({3'000}, 3 * maxLoadsPerSecond);
    const request_counts overloaded = fleet.play({6'000}, 3 * maxLoadsPerSecond);
    EXPECT_GT(overloaded.served, 6 * maxLoadsPerSecond * 0.75);
}

// After such a burst the load is one that the weight store can handle. Late loads must not go on displacing
// useful ones.
TEST(LoadContention, EndsSoonAfterTheBurst)
{
    simulated_fleet fleet;
    fleet.play({4'000}, 4 * maxLoadsPerSecond);
    fleet.play({2'000}, 0.6 * maxLoadsPerSecond);
    const request_counts after = fleet.play({4'000}, 0.6 * maxLoadsPerSecond);
    EXPECT_GT(after.served, 4 * 0.6 * maxLoadsPerSecond * 0.95);
    EXPECT_LT(after.refused, after.served / 20);
}

// Without contention no request for a rare adapter is refused because of its load time.
TEST(LoadContention, RefusesNobodyWhileLoadsAreQuick)
{
    simulated_fleet fleet;
    const request_counts counts = fleet.play({5'000}, 0.5 * maxLoadsPerSecond);
    EXPECT_EQ(counts.refused, 0);
}

}
