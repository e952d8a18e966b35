#include "serving/server_ledger.h"

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

server_ledger emptyLedger(int places)
{
    server_ledger ledger;
    ledger.slots = places;
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

/// A server as the platform's pages describe it: it crashes when it is ordered to hold more than fits, checks
/// the sequence when it carries an order out, and may carry one out long after it was sent.
struct pretend_server
{
    int places = 0;
    std::int64_t sequence = 0;
    std::set<std::string> held;
    std::set<std::string> coming;
    bool crashed = false;

    order_answer carryOut(const server_order &order)
    {
        if (order.expected != sequence) {
            return order_answer::Conflict;
        }
        if (order.kind == order_kind::Unload) {
            ++sequence;
            held.erase(order.adapter);
            return order_answer::Holds;
        }
        if (held.count(order.adapter) != 0) {
            return order_answer::Holds;
        }
        if (coming.count(order.adapter) != 0) {
            return order_answer::Accepted;
        }
        ++sequence;
        coming.insert(order.adapter);
        crashed = crashed || static_cast<int>(held.size() + coming.size()) > places;
        return order_answer::Accepted;
    }
    void finishLoad()
    {
        if (!coming.empty()) {
            held.insert(*coming.begin());
            coming.erase(coming.begin());
        }
    }
    server_report report() const
    {
        server_report out = reportWith(sequence, {held.begin(), held.end()});
        for (const std::string &name : coming) {
            out.coming.push_back(adapterKey(base, name));
        }
        return out;
    }
};

}

// A user would see every stream of a server break off: one load too many crashes it, and it comes back empty.
// Orders are answered, refused, lost before or after they were carried out, and carried out late; reports are
// outdated. Whatever comes in which order, the server is never ordered to hold more than fits.
RC_GTEST_PROP(ServerLedger, NeverOrdersMoreThanTheServerHolds, ())
{
    pretend_server server;
    server.places = *rc::gen::inRange(1, 5);
    server_ledger ledger = emptyLedger(server.places);
    std::deque<server_order> late; // sent, unanswered, may still be carried out
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
        if (!late.empty() && *rc::gen::inRange(0, 4) == 0) {
            server.carryOut(late.front());
            late.pop_front();
        }
        const auto wants = want({"a" + std::to_string(*rc::gen::inRange(0, 7))});
        const auto order = nextOrder(ledger, wants, limitsNow(), now);
        if (order) {
            switch (*rc::gen::inRange(0, 5)) {
            case 0: // carried out, the answer lost
                server.carryOut(*order);
                onOrderResponse(ledger, *order, order_answer::Unknown, now);
                break;
            case 1: // not answered, carried out later or never
                late.push_back(*order);
                onOrderResponse(ledger, *order, order_answer::Unknown, now);
                break;
            default:
                onOrderResponse(ledger, *order, server.carryOut(*order), now);
                break;
            }
        }
        RC_ASSERT(!server.crashed);
    }
}

// A load without an answer may be carried out seconds later. A user would see a server crash when the place
// it needs has been given away meanwhile. The place counts as taken until a later order was accepted.
TEST(ServerLedger, AnUnansweredLoadHoldsItsPlaceUntilALaterOrderIsAccepted)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(0, {"a1"}), {1'000});
    const auto lost = nextOrder(ledger, want({"a2"}), limitsNow(), {1'000});
    ASSERT_TRUE(lost);
    onOrderResponse(ledger, *lost, order_answer::Unknown, {1'600});
    EXPECT_FALSE(nextOrder(ledger, want({"a3"}), limitsNow(), {1'700})) << "no order before a report";
    applyReport(ledger, reportWith(0, {"a1"}), {2'500});
    EXPECT_EQ(occupiedSlots(ledger), 2);
    const auto next = nextOrder(ledger, want({"a3"}), limitsNow(), {2'600});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->kind, order_kind::Unload) << "the free place may be the lost load's";
    onOrderResponse(ledger, *next, order_answer::Holds, {2'610});
    EXPECT_EQ(occupiedSlots(ledger), 0) << "the server's sequence has moved on: the lost load is void";
}

// A user would see the first seconds of every adapter fail: requests for an adapter on its way in are
// refused. "Accepted" isn't done; only the same load asked for again says when it is.
TEST(ServerLedger, AnAcceptedLoadIsInOnlyWhenTheSameLoadHolds)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(4, {}), {1'000});
    const auto load = nextOrder(ledger, want({"a1"}), limitsNow(), {1'000});
    ASSERT_TRUE(load);
    onOrderResponse(ledger, *load, order_answer::Accepted, {1'003});
    EXPECT_EQ(findSlot(ledger, base, "a1")->state, slot_state::Loading);
    EXPECT_FALSE(nextOrder(ledger, {}, limitsNow(), {1'100}));
    const auto early = nextOrder(ledger, {}, limitsNow(), {1'245});
    ASSERT_TRUE(early);
    EXPECT_EQ(early->expected, 5);
    onOrderResponse(ledger, *early, order_answer::Accepted, {1'247});
    const auto again = nextOrder(ledger, {}, limitsNow(), {1'280});
    ASSERT_TRUE(again);
    EXPECT_EQ(again->expected, 5) << "the server doesn't count a load that is on its way already";
    onOrderResponse(ledger, *again, order_answer::Holds, {1'282});
    EXPECT_EQ(findSlot(ledger, base, "a1")->state, slot_state::Resident);
}

// Many daemons load at once and the weight store slows down: a user would see waits grow when each ledger
// went on asking at the unloaded pace, or waited by a guess about the fleet for seconds after the adapter was
// in.
TEST(ServerLedger, ExpectsLoadsToTakeAsLongAsTheyDid)
{
    server_ledger ledger = emptyLedger(4);
    applyReport(ledger, reportWith(0, {}), {1'000});
    load_pace pace;
    pace.crowd = 400;
    ledger.concurrentLoads = pace.crowd;
    millis now{1'000};
    for (int i = 0; i < 30; ++i) {
        const auto load = nextOrder(ledger, want({"a" + std::to_string(i)}), limitsNow(), now);
        ASSERT_TRUE(load);
        if (load->kind == order_kind::Unload) {
            onOrderResponse(ledger, *load, order_answer::Holds, now);
            continue;
        }
        onOrderResponse(ledger, *load, order_answer::Accepted, now);
        now = now + millis{800};
        const auto ask = nextOrder(ledger, {}, limitsNow(), now);
        ASSERT_TRUE(ask);
        onOrderResponse(ledger, *ask, order_answer::Holds, now);
        for (const measured_load &seen : std::exchange(ledger.measuredLoads, {})) {
            noteLoad(pace, seen.duration, seen.concurrentLoads, now);
        }
    }
    EXPECT_GT(loadMsNow(pace), 700);
    EXPECT_LT(loadMsNow(pace), 810);
}

// A user would see a stream cut or restarted: an adapter whose requests still run must not go.
TEST(ServerLedger, NeverUnloadsWhatIsUsedOrWaitedFor)
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

TEST(ServerLedger, TheLeastUsedAdapterGoesFirst)
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

// An operator names a new version; a user would see the old one answer on and on.
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
    onOrderResponse(ledger, *order, order_answer::Accepted, {1'003});
    EXPECT_NE(findSlot(ledger, base, "a1")->state, slot_state::Resident) << "the old one must not be used";
}

// A server crashed and came back empty. A user would see a twelfth of the service gone for good.
TEST(ServerLedger, GivesAnEmptyServerItsBaseModelAtThePaceOfTheWeightStore)
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
    onOrderResponse(ledger, *order, order_answer::Accepted, {1'003});
    EXPECT_FALSE(nextOrder(ledger, want({"a1"}), limits, {1'200})) << "no adapter before its model";
    report.sequence = 1;
    report.models.push_back({base, 1, {}});
    applyReport(ledger, report, {1'900});
    const auto adapter = nextOrder(ledger, want({"a1"}), limits, {1'900});
    ASSERT_TRUE(adapter);
    EXPECT_EQ(adapter->adapter, "a1");
}

TEST(ServerLedger, AnOutdatedReportChangesNothing)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(0, {}), {1'000});
    const auto load = nextOrder(ledger, want({"a1"}), limitsNow(), {1'000});
    ASSERT_TRUE(load);
    onOrderResponse(ledger, *load, order_answer::Accepted, {1'003});
    applyReport(ledger, reportWith(0, {}), {1'050});
    EXPECT_NE(findSlot(ledger, base, "a1"), nullptr);
    applyReport(ledger, reportWith(0, {}), {1'003 + maxReportLag.count});
    EXPECT_EQ(findSlot(ledger, base, "a1"), nullptr) << "by then it is the server that knows better";
}

TEST(ServerLedger, TheSumOfWeightsStaysUnderTheServersMemory)
{
    server_ledger ledger = emptyLedger(5);
    ledger.weightsMb = 65'020; // room for one adapter
    applyReport(ledger, reportWith(0, {"a1"}), {1'000});
    const auto order = nextOrder(ledger, want({"a2"}), limitsNow(), {1'000});
    ASSERT_TRUE(order);
    EXPECT_EQ(order->kind, order_kind::Unload);
}

// A server crashes with a load of its unanswered, and starts again under its id. The load may be carried out
// once the new count fits: with the place given away the server would be ordered to hold too much, and crash
// again.
TEST(server_ledger, ALoadOfAnEarlierStartKeepsItsPlaceUntilItCantCome)
{
    server_ledger ledger = emptyLedger(2);
    applyReport(ledger, reportWith(7, {"a1"}), {100});
    const auto order = nextOrder(ledger, want({"a2"}), limitsNow(), {110});
    ASSERT_TRUE(order);
    onOrderResponse(ledger, *order, order_answer::Unknown, {700});
    resetAfterRestart(ledger, {1'000});
    EXPECT_EQ(ledger.sequence, 0);
    EXPECT_FALSE(ledger.confirmed);
    EXPECT_TRUE(ledger.adapters.empty());
    applyReport(ledger, reportWith(0, {}), {1'100});
    EXPECT_EQ(occupiedSlots(ledger), 1);
    const auto next = nextOrder(ledger, want({"a3", "a4"}), limitsNow(), {1'110});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->expected, 0);
    onOrderResponse(ledger, *next, order_answer::Accepted, {1'120});
    EXPECT_EQ(occupiedSlots(ledger), 2) << "an order with a lower number does not rule the late one out";
    EXPECT_FALSE(nextOrder(ledger, want({"a4"}), limitsNow(), {1'130}));
    EXPECT_TRUE(nextOrder(ledger, want({"a4"}), limitsNow(), millis{1'000} + maxOrderDelay));
}

}
