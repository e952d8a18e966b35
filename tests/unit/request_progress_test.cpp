#include "coordination/request_progress.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace briarhead {

namespace {

constexpr request_stage stages[] = {request_stage::Choosing, request_stage::AwaitingSlot,
    request_stage::AwaitingUnits, request_stage::Sent, request_stage::CheckingEnd, request_stage::Judged,
    request_stage::Finished};

/// A request whose handlers try to send it at any time, and what really happened to it.
struct observed_request
{
    request_progress progress;
    repeatability repeats = repeatability::Never;
    int maxServers = 1;
    std::string server; ///< of the latest send
    std::set<std::string> ranOn;
    bool working = false;

    void trySend(const std::string &to, bool runs)
    {
        if (objectionToSend(progress, repeats, maxServers, to) != send_objection::None) {
            return;
        }
        if (progress.stage == request_stage::Judged) {
            changeStage(progress, request_stage::Choosing);
        }
        RC_ASSERT(changeStage(progress, request_stage::Sent));
        RC_ASSERT(!working);
        recordSend(progress, to);
        server = to;
        working = runs;
        if (runs) {
            ranOn.insert(to);
        }
    }
    /// The response ends. A server that runs the request never proves that it didn't.
    void endSend(bool unproven, bool proof)
    {
        if (progress.stage != request_stage::Sent) {
            return;
        }
        working = false;
        if (unproven) {
            RC_ASSERT(changeStage(progress, request_stage::CheckingEnd));
            return;
        }
        RC_ASSERT(changeStage(progress, request_stage::Judged));
        if (ranOn.count(server) == 0 && proof) {
            *rc::gen::arbitrary<bool>() ? recordNotSent(progress, server) : recordNotRun(progress, server);
        }
    }
};

}

// Guards against two open sends of one request.
TEST(request_progress_test, OnlyARequestBeforeASendIsSent)
{
    for (const request_stage from : stages) {
        request_progress progress;
        progress.stage = from;
        const bool before = from == request_stage::Choosing || from == request_stage::AwaitingSlot
            || from == request_stage::AwaitingUnits;
        EXPECT_EQ(mayChange(from, request_stage::Sent), before) << nameOf(from);
        EXPECT_EQ(isBeforeSend(progress), before || from == request_stage::Judged) << nameOf(from);
        EXPECT_EQ(objectionToSend(progress, repeatability::Always, 2) == send_objection::None,
            isBeforeSend(progress))
            << nameOf(from);
        EXPECT_EQ(mayChange(from, request_stage::Finished), from != request_stage::Finished);
        EXPECT_FALSE(mayChange(request_stage::Finished, from));
    }
}

// Guards against a response that is judged twice, or before its end is known.
TEST(request_progress_test, AnEndIsCheckedOnceAndThenJudged)
{
    request_progress progress;
    EXPECT_FALSE(changeStage(progress, request_stage::CheckingEnd));
    EXPECT_EQ(progress.stage, request_stage::Choosing);
    ASSERT_TRUE(changeStage(progress, request_stage::Sent));
    ASSERT_TRUE(changeStage(progress, request_stage::CheckingEnd));
    EXPECT_FALSE(changeStage(progress, request_stage::Choosing));
    EXPECT_FALSE(changeStage(progress, request_stage::CheckingEnd));
    ASSERT_TRUE(changeStage(progress, request_stage::Judged));
    EXPECT_FALSE(changeStage(progress, request_stage::Sent));
    EXPECT_TRUE(changeStage(progress, request_stage::Choosing));
}

// Guards against a refusal that says "not run" while a server may be running the request.
TEST(request_progress_test, ARequestMayHaveRunFromItsSendUntilTheContraryIsProven)
{
    request_progress progress;
    recordSend(progress, "a");
    EXPECT_TRUE(mayHaveRun(progress));
    recordNotRun(progress, "a");
    EXPECT_FALSE(mayHaveRun(progress));
    EXPECT_EQ(objectionToSend(progress, repeatability::Never, 1), send_objection::ServersUsedUp);
    EXPECT_EQ(objectionToSend(progress, repeatability::Never, 2), send_objection::None);
    EXPECT_EQ(objectionToSend(progress, repeatability::Never, 2, "a"), send_objection::SameServer);
    recordSend(progress, "b");
    recordNotSent(progress, "b");
    EXPECT_FALSE(mayHaveRun(progress));
    EXPECT_EQ(progress.sentTo.size(), 1U);
}

// Guards against bytes of a second server behind those of the first, and against streams begun anew.
TEST(request_progress_test, WhatTheCallerHasDecidesWhoMayContinue)
{
    request_progress progress;
    recordSend(progress, "a");
    const auto objection = [&progress](repeatability repeats) {
        return objectionToSend(progress, repeats, 2);
    };
    EXPECT_EQ(objection(repeatability::Always), send_objection::None);
    EXPECT_EQ(objection(repeatability::AfterLastEvent), send_objection::None);
    recordForwarded(progress, caller_content::Events);
    EXPECT_EQ(objection(repeatability::Always), send_objection::CallerHasBytes);
    EXPECT_EQ(objection(repeatability::AfterLastEvent), send_objection::None);
    EXPECT_TRUE(mayRepeat(progress, repeatability::AfterLastEvent));
    recordForwarded(progress, caller_content::OneServersBytes);
    recordForwarded(progress, caller_content::Events);
    EXPECT_EQ(progress.callerHas, caller_content::OneServersBytes);
    for (const repeatability each :
        {repeatability::Never, repeatability::AfterLastEvent, repeatability::Always}) {
        EXPECT_EQ(objection(each), send_objection::CallerHasBytes);
        EXPECT_FALSE(mayRepeat(progress, each));
    }
}

// Guards against a second run of a request that may run once, whatever comes in whichever order.
RC_GTEST_PROP(request_progress_test, ARequestThatMayRunOnceReachesOneServerThatMayRunIt, ())
{
    observed_request request;
    request.repeats =
        *rc::gen::element(repeatability::Never, repeatability::AfterLastEvent, repeatability::Always);
    request.maxServers = *rc::gen::inRange(0, 4);
    const std::vector<std::string> servers{"a", "b", "c", "d"};
    const int steps = *rc::gen::inRange(1, 40);
    std::string onlyThere; ///< the server whose bytes the caller has, which no other can continue
    for (int i = 0; i < steps; ++i) {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1:
            request.trySend(*rc::gen::elementOf(servers), *rc::gen::arbitrary<bool>());
            break;
        case 2:
            request.endSend(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
            break;
        case 3:
            if (request.progress.stage == request_stage::CheckingEnd) {
                changeStage(request.progress, request_stage::Judged);
            }
            break;
        case 4:
            if (request.progress.stage == request_stage::Sent) {
                recordForwarded(request.progress,
                    *rc::gen::element(caller_content::Events, caller_content::OneServersBytes));
                onlyThere = request.progress.callerHas == caller_content::OneServersBytes ? request.server
                                                                                          : onlyThere;
            }
            break;
        default: // any handler may try any change of the stage that precedes a send
            changeStage(request.progress,
                *rc::gen::element(
                    request_stage::Choosing, request_stage::AwaitingSlot, request_stage::AwaitingUnits));
        }
        if (request.repeats == repeatability::Never) {
            RC_ASSERT(request.ranOn.size() <= 1);
        }
        RC_ASSERT(request.ranOn.size() <= static_cast<std::size_t>(std::max(request.maxServers, 1)));
        RC_ASSERT(mayHaveRun(request.progress) || request.ranOn.empty());
        RC_ASSERT(onlyThere.empty() || request.server == onlyThere);
    }
}

}
