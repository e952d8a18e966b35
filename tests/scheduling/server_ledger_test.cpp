#include "scheduling/server_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

namespace briarhead {

namespace {

const std::vector<model_spec> models{{"base", 65'000, {720}, 12}};
const std::string base = "base";

order_constraints limitsNow()
{
    order_constraints limits;
    limits.models = &models;
    return limits;
}

server_ledger emptyLedger(int slots)
{
    server_ledger ledger;
    ledger.slots = slots;
    ledger.weightsMb = 66'500;
    return ledger;
}

server_report reportWith(std::int64_t sequence, const std::vector<std::string> &adapters)
{
    server_report report;
    report.sequence = sequence;
    report.models.push_back({base, 1, {}});
    report.models.front().adapters.reserve(adapters.size());
    for (const std::string &name : adapters) {
        report.models.front().adapters.push_back({name, 1});
    }
    return report;
}

std::vector<wanted_adapter> want(const std::vector<std::string> &names)
{
    std::vector<wanted_adapter> wants;
    wants.reserve(names.size());
    for (const std::string &name : names) {
        wants.push_back({base, name});
    }
    return wants;
}

/// A server as specified by the platform: it crashes when ordered to hold more than fits, checks the sequence
/// when it executes an order, and may execute one long after it was sent.
struct server_model
{
    int slots = 0;
    std::int64_t sequence = 0;
    std::set<std::string> held;
    std::set<std::string> loading;
    bool crashed = false;

    order_result execute(const server_order &order)
    {
        if (order.expectedSequence != sequence) {
            return order_result::Conflict;
        }
        if (order.kind == order_kind::Unload) {
            ++sequence;
            held.erase(order.adapter);
            return order_result::AlreadyDone;
        }
        if (held.count(order.adapter) != 0) {
            return order_result::AlreadyDone;
        }
        if (loading.count(order.adapter) != 0) {
            return order_result::Accepted;
        }
        ++sequence;
        loading.insert(order.adapter);
        crashed = crashed || static_cast<int>(held.size() + loading.size()) > slots;
        return order_result::Accepted;
    }
    void finishLoad()
    {
        if (!loading.empty()) {
            held.insert(*loading.begin());
            loading.erase(loading.begin());
        }
    }
    server_report report() const
    {
        server_report out = reportWith(sequence, {held.begin(), held.end()});
        for (const std::string &name : loading) {
            out.loading.push_back(adapterKey(base, name));
        }
        return out;
    }
};

}

// One load too many crashes a server with all its streams. Orders are answered, refused, lost before or after
// their execution, and executed late; reports are outdated. In no sequence of these is the server ordered to
// hold more than fits.
RC_GTEST_PROP(ServerLedger, NeverOrdersMoreThanFitsOnTheServer, ())
{
    server_model server;
    server.slots = *rc::gen::inRange(1, 5);
    server_ledger ledger = emptyLedger(server.slots);
    std::deque<server_order> unanswered; // may still be executed
    std::deque<server_report> reports{server.report()};
    millis now{10'000};
    const int steps = *rc::gen::inRange(10, 120);
    for (int i = 0; i < steps; ++i) {
        now = now + millis{*rc::gen::inRange(0, 300)};
        reports.push_back(server.report());
        if (reports.size() > 4) {
            reports.pop_front();
        }
        if (!ledger.confirmed && now >= ledger.notBefore) {
            applyReport(ledger, *rc::gen::elementOf(reports), now);
        }
        if (*rc::gen::inRange(0, 3) == 0) {
            server.finishLoad();
        }
        if (!unanswered.empty() && *rc::gen::inRange(0, 4) == 0) {
            server.execute(unanswered.front());
            unanswered.pop_front();
        }
        const auto wants = want({"a" + std::to_string(*rc::gen::inRange(0, 7))});
        const auto order = nextOrder(ledger, wants, limitsNow(), now);
        if (order) {
            switch (*rc::gen::inRange(0, 5)) {
            case 0: // executed, response lost
                server.execute(*order);
                onOrderResponse(ledger, *order, order_result::Unknown, now);
                break;
            case 1: // not answered, executed later or never
                unanswered.push_back(*order);
                onOrderResponse(ledger, *order, order_result::Unknown, now);
                break;
            default:
                onOrderResponse(ledger, *order, server.execute(*order), now);
                break;
            }
        }
        RC_ASSERT(!server.crashed);
    }
}

// An unanswered load may be executed seconds later, and crashes the server if its slot has been used for
// another adapter meanwhile. Its slot counts as occupied until a later order has been accepted.
TEST(ServerLedger, UnansweredLoadKeepsItsSlotUntilALaterOrderIsAccepted)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(0, {"a1"}), {1'000});
    const auto lost = nextOrder(ledger, want({"a2"}), limitsNow(), {1'000});
    ASSERT_TRUE(lost);
    onOrderResponse(ledger, *lost, order_result::Unknown, {1'600});
    EXPECT_FALSE(nextOrder(ledger, want({"a3"}), limitsNow(), {1'700})) << "no order before a report";
    applyReport(ledger, reportWith(0, {"a1"}), {2'500});
    EXPECT_EQ(occupiedSlots(ledger), 2);
    const auto next = nextOrder(ledger, want({"a3"}), limitsNow(), {2'600});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->kind, order_kind::Unload) << "the free slot may be needed by the unanswered load";
    onOrderResponse(ledger, *next, order_result::AlreadyDone, {2'610});
    EXPECT_EQ(occupiedSlots(ledger), 0)
        << "the server's sequence has advanced, so it will reject the unanswered load";
}

// The server refuses requests for an adapter that is still loading. "Accepted" does not mean loaded; only a
// repeated load order shows when it is.
TEST(ServerLedger, AcceptedLoadIsResidentOnlyOnceConfirmed)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(4, {}), {1'000});
    const auto load = nextOrder(ledger, want({"a1"}), limitsNow(), {1'000});
    ASSERT_TRUE(load);
    onOrderResponse(ledger, *load, order_result::Accepted, {1'003});
    EXPECT_EQ(findSlot(ledger, base, "a1")->state, slot_state::Loading);
    EXPECT_FALSE(nextOrder(ledger, {}, limitsNow(), {1'100}));
    const auto early = nextOrder(ledger, {}, limitsNow(), {1'245});
    ASSERT_TRUE(early);
    EXPECT_EQ(early->expectedSequence, 5);
    onOrderResponse(ledger, *early, order_result::Accepted, {1'247});
    const auto again = nextOrder(ledger, {}, limitsNow(), {1'280});
    ASSERT_TRUE(again);
    EXPECT_EQ(again->expectedSequence, 5) << "the server does not count a repeated load in progress";
    onOrderResponse(ledger, *again, order_result::AlreadyDone, {1'282});
    EXPECT_EQ(findSlot(ledger, base, "a1")->state, slot_state::Resident);
}

// When many daemons load at once and the weight store slows down, the estimate follows: too low,
// confirmations come too often; too high, requests wait for seconds after the adapter is loaded.
TEST(ServerLedger, LoadEstimateFollowsMeasuredLoads)
{
    server_ledger ledger = emptyLedger(4);
    applyReport(ledger, reportWith(0, {}), {1'000});
    load_estimate pace;
    pace.concurrentLoads = 400;
    ledger.concurrentLoads = pace.concurrentLoads;
    millis now{1'000};
    for (int i = 0; i < 30; ++i) {
        const auto load = nextOrder(ledger, want({"a" + std::to_string(i)}), limitsNow(), now);
        ASSERT_TRUE(load);
        if (load->kind == order_kind::Unload) {
            onOrderResponse(ledger, *load, order_result::AlreadyDone, now);
            continue;
        }
        onOrderResponse(ledger, *load, order_result::Accepted, now);
        now = now + millis{800};
        const auto confirmation = nextOrder(ledger, {}, limitsNow(), now);
        ASSERT_TRUE(confirmation);
        onOrderResponse(ledger, *confirmation, order_result::AlreadyDone, now);
        for (const measured_load &measured : std::exchange(ledger.measuredLoads, {})) {
            recordLoad(pace, measured.duration, measured.concurrentLoads, now);
        }
    }
    EXPECT_GT(expectedLoadMs(pace), 700);
    EXPECT_LT(expectedLoadMs(pace), 810);
}

// Unloading an adapter would break the requests that run on it.
TEST(ServerLedger, NeverUnloadsAnAdapterInUseOrWaitedFor)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(0, {"a1", "a2"}), {1'000});
    beginUse(ledger, base, "a1", {1'000});
    order_constraints limits = limitsNow();
    limits.isWaitedFor = [](const std::string &, const std::string &adapter) {
        return adapter == "a2";
    };
    EXPECT_FALSE(nextOrder(ledger, want({"a3"}), limits, {1'001}));
    endUse(ledger, base, "a1");
    const auto order = nextOrder(ledger, want({"a3"}), limits, {1'002});
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, order_kind::Unload);
    EXPECT_EQ(order->adapter, "a1");
}

TEST(ServerLedger, EvictsTheLeastUsedAdapter)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(0, {"a1", "a2"}), {1'000});
    for (int i = 0; i < 3; ++i) {
        beginUse(ledger, base, "a1", {1'000});
        endUse(ledger, base, "a1");
    }
    beginUse(ledger, base, "a2", {1'500});
    endUse(ledger, base, "a2");
    const auto order = nextOrder(ledger, want({"a3"}), limitsNow(), {1'600});
    ASSERT_TRUE(order);
    EXPECT_EQ(order->adapter, "a2");
}

// An operator declares a new version of a loaded adapter: requests must not go on using the old one.
TEST(ServerLedger, ReplacesAnAdapterOfAnOlderVersion)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(0, {"a1"}), {1'000});
    order_constraints limits = limitsNow();
    limits.newestVersion = [](const std::string &, const std::string &) {
        return std::int64_t{7};
    };
    const auto order = nextOrder(ledger, {}, limits, {1'000});
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, order_kind::Load);
    EXPECT_EQ(order->version, 7);
    onOrderResponse(ledger, *order, order_result::Accepted, {1'003});
    EXPECT_NE(findSlot(ledger, base, "a1")->state, slot_state::Resident) << "the old one must not be used";
}

// A server that crashed and restarted empty needs a base model before it can serve again.
TEST(ServerLedger, LoadsABaseModelOntoAnEmptyServerWithinTheRateLimit)
{
    server_ledger ledger = emptyLedger(2);
    server_report report;
    applyReport(ledger, report, {1'000});
    order_constraints limits = limitsNow();
    limits.mayLoadModel = false;
    EXPECT_FALSE(nextOrder(ledger, want({"a1"}), limits, {1'000}));
    limits.mayLoadModel = true;
    const auto order = nextOrder(ledger, want({"a1"}), limits, {1'000});
    ASSERT_TRUE(order);
    EXPECT_EQ(order->model, base);
    EXPECT_TRUE(order->adapter.empty());
    onOrderResponse(ledger, *order, order_result::Accepted, {1'003});
    EXPECT_FALSE(nextOrder(ledger, want({"a1"}), limits, {1'200})) << "no adapter before its model";
    report.sequence = 1;
    report.models.push_back({base, 1, {}});
    applyReport(ledger, report, {1'900});
    const auto adapter = nextOrder(ledger, want({"a1"}), limits, {1'900});
    ASSERT_TRUE(adapter);
    EXPECT_EQ(adapter->adapter, "a1");
}

TEST(ServerLedger, IgnoresAnOutdatedReport)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(0, {}), {1'000});
    const auto load = nextOrder(ledger, want({"a1"}), limitsNow(), {1'000});
    ASSERT_TRUE(load);
    onOrderResponse(ledger, *load, order_result::Accepted, {1'003});
    applyReport(ledger, reportWith(0, {}), {1'050});
    EXPECT_NE(findSlot(ledger, base, "a1"), nullptr);
    applyReport(ledger, reportWith(0, {}), {1'003 + maxReportLag.count});
    EXPECT_EQ(findSlot(ledger, base, "a1"), nullptr)
        << "after maxReportLag the report counts, whatever its sequence";
}

TEST(ServerLedger, KeepsTheSumOfWeightsWithinTheServersMemory)
{
    server_ledger ledger = emptyLedger(5);
    ledger.weightsMb = 65'020; // room for one adapter
    applyReport(ledger, reportWith(0, {"a1"}), {1'000});
    const auto order = nextOrder(ledger, want({"a2"}), limitsNow(), {1'000});
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, order_kind::Unload);
}

// A server crashes with an unanswered load and restarts under the same id. The load may be executed once the
// new sequence fits; without a slot kept for it, the server would be ordered to hold too much and crash
// again.
TEST(ServerLedger, UnansweredLoadOfAnEarlierIncarnationKeepsItsSlotUntilItCannotBeExecuted)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(7, {"a1"}), {100});
    const auto order = nextOrder(ledger, want({"a2"}), limitsNow(), {110});
    ASSERT_TRUE(order);
    onOrderResponse(ledger, *order, order_result::Unknown, {700});
    resetAfterRestart(ledger, {1'000});
    EXPECT_EQ(ledger.sequence, 0);
    EXPECT_FALSE(ledger.confirmed);
    EXPECT_TRUE(ledger.adapters.empty());
    applyReport(ledger, reportWith(0, {}), {1'100});
    EXPECT_EQ(occupiedSlots(ledger), 1);
    const auto next = nextOrder(ledger, want({"a3", "a4"}), limitsNow(), {1'110});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->expectedSequence, 0);
    onOrderResponse(ledger, *next, order_result::Accepted, {1'120});
    EXPECT_EQ(occupiedSlots(ledger), 2)
        << "an order with a lower sequence does not make the late one be rejected";
    EXPECT_FALSE(nextOrder(ledger, want({"a4"}), limitsNow(), {1'130}));
    EXPECT_TRUE(nextOrder(ledger, want({"a4"}), limitsNow(), millis{1'000} + maxOrderDelay));
}

}
