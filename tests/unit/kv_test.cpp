#include "standins/kv_standin.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/kv_client.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarhead {
namespace {

constexpr millis callTimeoutMs{5'000};
constexpr millis shortTimeoutMs{500};
/// Far longer than any condition below takes; only a failing test waits this long.
constexpr millis conditionTimeoutMs{20'000};
/// Factor by which the stand-in shortens the leases' TTLs.
constexpr double shortLeaseScale = 0.1;

class kv_test : public testing::Test
{
protected:
    loop m_loop;
    std::unique_ptr<kv_standin> m_standin;
    std::unique_ptr<kv_client> m_client;

    void SetUp() override
    {
        m_standin = startStandin();
        m_client = makeClient({m_standin->url()}, callTimeoutMs);
    }

    std::unique_ptr<kv_standin> startStandin()
    {
        error why;
        auto standin = kv_standin::start(m_loop, {.leaseScale = shortLeaseScale}, why);
        EXPECT_NE(standin, nullptr) << message(why);
        return standin;
    }

    std::unique_ptr<kv_client> makeClient(std::vector<std::string> urls, millis timeout)
    {
        return std::make_unique<kv_client>(m_loop, std::move(urls), timeout);
    }

    /// Runs the loop until the condition holds; false after conditionTimeoutMs.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto check = m_loop.timer(millis{1}, millis{1}, [&] {
            if (condition()) {
                m_loop.stop();
            }
        });
        const auto timeout = m_loop.timer(conditionTimeoutMs, millis{0}, [&] {
            m_loop.stop();
        });
        if (!condition()) {
            m_loop.run();
        }
        return condition();
    }

    /// Repeats a check that makes calls itself until it holds; false after conditionTimeoutMs.
    static bool eventually(const std::function<bool()> &check)
    {
        const auto end = bootNow() + conditionTimeoutMs;
        while (bootNow() < end) {
            if (check()) {
                return true;
            }
        }
        return false;
    }

    kv_read get(kv_client &client, const std::string &key)
    {
        std::optional<kv_read> result;
        client.get(key, [&](const kv_read &read) {
            result = read;
        });
        EXPECT_TRUE(runUntil([&] {
            return result.has_value();
        }));
        return result.value_or(kv_read{});
    }

    kv_read list(const std::string &prefix, std::int64_t limit)
    {
        std::optional<kv_read> result;
        m_client->list(prefix, limit, [&](const kv_read &read) {
            result = read;
        });
        EXPECT_TRUE(runUntil([&] {
            return result.has_value();
        }));
        return result.value_or(kv_read{});
    }

    kv_write swap(kv_client &client, const std::string &key, std::int64_t expected, const std::string &value,
        std::int64_t lease = 0)
    {
        std::optional<kv_write> result;
        client.compareAndSwap(key, expected, value, lease, [&](const kv_write &write) {
            result = write;
        });
        EXPECT_TRUE(runUntil([&] {
            return result.has_value();
        }));
        return result.value_or(kv_write{});
    }

    kv_write remove(const std::string &key, std::int64_t expected)
    {
        std::optional<kv_write> result;
        m_client->compareAndRemove(key, expected, [&](const kv_write &write) {
            result = write;
        });
        EXPECT_TRUE(runUntil([&] {
            return result.has_value();
        }));
        return result.value_or(kv_write{});
    }

    std::int64_t grant(millis ttl)
    {
        std::optional<std::int64_t> lease;
        m_client->grantLease(ttl, [&](kv_status, std::int64_t id) {
            lease = id;
        });
        EXPECT_TRUE(runUntil([&] {
            return lease.has_value();
        }));
        return lease.value_or(0);
    }

    kv_status keepAlive(kv_client &client, std::int64_t lease)
    {
        std::optional<kv_status> result;
        client.keepAlive(lease, [&](kv_status status) {
            result = status;
        });
        EXPECT_TRUE(runUntil([&] {
            return result.has_value();
        }));
        return result.value_or(kv_status::Ambiguous);
    }
};

TEST_F(kv_test, keysAndValuesMayHoldAnyBytes)
{
    const std::string key("a\0\xff/b", 5);
    const std::string value("\0\x01\xfe\xff", 4);
    const auto written = swap(*m_client, key, 0, value);
    ASSERT_EQ(written.status, kv_status::Ok);

    const auto read = get(*m_client, key);
    ASSERT_EQ(read.status, kv_status::Ok);
    ASSERT_EQ(read.entries.size(), 1U);
    EXPECT_EQ(read.entries[0].key, key);
    EXPECT_EQ(read.entries[0].value, value);
    EXPECT_EQ(read.entries[0].modRevision, written.revision);
    EXPECT_GE(read.revision, written.revision);
}

TEST_F(kv_test, largeAndEmptyValuesAreReadBackUnchanged)
{
    const std::string large(1'000'000, '\xa5');
    ASSERT_EQ(swap(*m_client, "large", 0, large).status, kv_status::Ok);
    ASSERT_EQ(swap(*m_client, "empty", 0, "").status, kv_status::Ok);
    EXPECT_EQ(get(*m_client, "large").entries.at(0).value, large);
    EXPECT_EQ(get(*m_client, "empty").entries.at(0).value, "");
}

TEST_F(kv_test, readOfAnAbsentKeyReturnsNoEntry)
{
    const auto read = get(*m_client, "nothing");
    EXPECT_EQ(read.status, kv_status::Ok);
    EXPECT_TRUE(read.entries.empty());
}

TEST_F(kv_test, listReturnsExactlyTheKeysWithThePrefix)
{
    for (const auto *key : {"owner/a", "owner/b", "owner0", "owne"}) {
        ASSERT_EQ(swap(*m_client, key, 0, "x").status, kv_status::Ok);
    }
    const auto owners = list("owner/", 0);
    ASSERT_EQ(owners.entries.size(), 2U);
    EXPECT_EQ(owners.entries[0].key, "owner/a");
    EXPECT_EQ(owners.entries[1].key, "owner/b");
    EXPECT_EQ(list("owner/", 1).entries.size(), 1U);
    EXPECT_EQ(list("", 0).entries.size(), 4U);
}

TEST_F(kv_test, prefixEndCarriesOverTheLastByte)
{
    EXPECT_EQ(detail::prefixEnd("ab"), "ac");
    EXPECT_EQ(detail::prefixEnd("a\xff"), "b");
    EXPECT_EQ(detail::prefixEnd("\xff\xff"), std::string(1, '\0'));
    EXPECT_EQ(detail::prefixEnd(""), std::string(1, '\0'));
}

TEST_F(kv_test, swapWithAnOldRevisionReturnsConflictAndTheStoredEntry)
{
    const auto first = swap(*m_client, "head", 0, "one");
    const auto second = swap(*m_client, "head", first.revision, "two");
    ASSERT_EQ(second.status, kv_status::Ok);

    const auto stale = swap(*m_client, "head", first.revision, "three");
    EXPECT_EQ(stale.status, kv_status::Conflict);
    EXPECT_EQ(stale.current.value, "two");
    EXPECT_EQ(stale.current.modRevision, second.revision);
    EXPECT_EQ(get(*m_client, "head").entries.at(0).value, "two");
}

TEST_F(kv_test, conflictOnAnAbsentKeyReturnsRevisionZero)
{
    const auto stale = swap(*m_client, "gone", 17, "x");
    EXPECT_EQ(stale.status, kv_status::Conflict);
    EXPECT_EQ(stale.current.key, "gone");
    EXPECT_EQ(stale.current.modRevision, 0);
}

TEST_F(kv_test, removeOnlyRemovesTheExpectedRevision)
{
    const auto written = swap(*m_client, "key", 0, "x");
    EXPECT_EQ(remove("key", written.revision + 1).status, kv_status::Conflict);
    EXPECT_EQ(get(*m_client, "key").entries.size(), 1U);
    EXPECT_EQ(remove("key", written.revision).status, kv_status::Ok);
    EXPECT_TRUE(get(*m_client, "key").entries.empty());
}

// Two operators submit a patch to the same version at the same time. If both were reported as accepted, one
// patch would be lost silently. The store executes one swap after the other, and the second must return a
// conflict that shows the first.
TEST_F(kv_test, exactlyOneOfTwoConcurrentSwapsSucceeds)
{
    constexpr int rounds = 20;
    const auto other = makeClient({m_standin->url()}, callTimeoutMs);
    std::int64_t storedRevision = 0;
    for (int round = 0; round < rounds; ++round) {
        std::vector<kv_write> results;
        const auto record = [&](const kv_write &write) {
            results.push_back(write);
        };
        m_client->compareAndSwap("head", storedRevision, "mine", 0, record);
        other->compareAndSwap("head", storedRevision, "theirs", 0, record);
        ASSERT_TRUE(runUntil([&] {
            return results.size() == 2;
        }));
        const auto &won = results[0].status == kv_status::Ok ? results[0] : results[1];
        const auto &lost = results[0].status == kv_status::Ok ? results[1] : results[0];
        ASSERT_EQ(won.status, kv_status::Ok);
        ASSERT_EQ(lost.status, kv_status::Conflict);
        ASSERT_EQ(lost.current.modRevision, won.revision);
        storedRevision = won.revision;
    }
}

// An operator's patch is written, but the response is lost. If the client reported it as not written, it
// would be submitted again, and its own first copy would be reported as another operator's conflict. So the
// client must report an ambiguous write, and a read shows that it took effect.
TEST_F(kv_test, writeWithALostResponseIsAmbiguousAndTakesEffect)
{
    m_standin->setFaults({.loseAnswers = 1});
    EXPECT_EQ(swap(*m_client, "head", 0, "patch").status, kv_status::Ambiguous);
    EXPECT_EQ(m_standin->record().txn, 1U) << "the call was repeated silently";

    const auto read = get(*m_client, "head");
    ASSERT_EQ(read.entries.size(), 1U);
    EXPECT_EQ(read.entries[0].value, "patch");
}

// As above, but on a connection kept from an earlier call. libcurl silently resends a request when a kept
// connection closes before any byte of a response. The second swap would find the first one's write and
// return a conflict, which promises that nothing was written.
TEST_F(kv_test, writeWithALostResponseOnAKeptConnectionIsNotRepeated)
{
    constexpr int rounds = 5;
    for (int round = 0; round < rounds; ++round) {
        const auto key = "head/" + std::to_string(round);
        ASSERT_EQ(get(*m_client, key).status, kv_status::Ok);
        const auto before = m_standin->record().txn;
        m_standin->setFaults({.loseAnswers = 1});
        EXPECT_EQ(swap(*m_client, key, 0, "patch").status, kv_status::Ambiguous);
        EXPECT_EQ(m_standin->record().txn, before + 1);
        EXPECT_EQ(get(*m_client, key).entries.size(), 1U);
    }
}

// A write is still queued in a slow service at the client's timeout, and takes effect afterwards. If the
// timeout were reported as not written, the key would be absent at first and present later.
TEST_F(kv_test, timedOutWriteIsAmbiguousAndMayTakeEffectLater)
{
    constexpr millis slowMs{1'500};
    const auto impatientClient = makeClient({m_standin->url()}, shortTimeoutMs);
    m_standin->setFaults({.delay = slowMs});
    EXPECT_EQ(swap(*impatientClient, "late", 0, "x").status, kv_status::Ambiguous);
    m_standin->setFaults({});
    EXPECT_TRUE(eventually([&] {
        return get(*m_client, "late").entries.size() == 1;
    }));
}

// No process listens on the service's port. No byte was sent, so nothing was written, and the operator can be
// told so.
TEST_F(kv_test, refusedConnectionIsUnavailableForReadsAndWrites)
{
    const auto url = m_standin->url();
    m_standin.reset();
    const auto client = makeClient({url}, callTimeoutMs);
    EXPECT_EQ(get(*client, "key").status, kv_status::Unavailable);
    EXPECT_EQ(swap(*client, "key", 0, "x").status, kv_status::Unavailable);
    EXPECT_EQ(keepAlive(*client, 1), kv_status::Unavailable);
    EXPECT_EQ(client->counters().failed, 3U);
}

// The service accepts connections and closes them, or never responds. The client cannot distinguish this from
// a write whose response was lost, so a read is unavailable and a write ambiguous, although it had no effect.
TEST_F(kv_test, closingOrHangingServiceIsAmbiguousForWrites)
{
    const auto impatientClient = makeClient({m_standin->url()}, shortTimeoutMs);
    for (const auto down : {kv_down::Refuse, kv_down::Hang}) {
        m_standin->setFaults({.down = down});
        EXPECT_EQ(get(*impatientClient, "key").status, kv_status::Unavailable);
        EXPECT_EQ(swap(*impatientClient, "key", 0, "x").status, kv_status::Ambiguous);
        EXPECT_EQ(keepAlive(*impatientClient, 1), kv_status::Ambiguous);
        m_standin->setFaults({});
        EXPECT_TRUE(get(*m_client, "key").entries.empty());
    }
}

// A daemon claims ownership with a lease that has just expired. The service rejects the whole txn, so nothing
// was written; if the client reported it as ambiguous, the daemon would have to read back without need.
TEST_F(kv_test, writeWithAnExpiredLeaseIsCertainlyNotWritten)
{
    EXPECT_EQ(swap(*m_client, "owner", 0, "me", 4'242).status, kv_status::Unavailable);
    EXPECT_TRUE(get(*m_client, "owner").entries.empty());
}

/// Responds to every request with the same status and body, as a failing gateway does.
class fixed_response_server
{
public:
    fixed_response_server(loop &eventLoop, int status, const std::string &body)
    {
        error why;
        m_server = http_server::listen(
            eventLoop, "127.0.0.1", 0, 10'000,
            [status, body](const http_request &, const std::shared_ptr<http_reply> &reply) {
                reply->respond(status, {}, body);
            },
            why);
    }
    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_server->port());
    }

private:
    std::unique_ptr<http_server> m_server;
};

// etcd responds 503 "request timed out" when a write was proposed and may still be committed. If that counted
// as a rejection, a patch that is committed a moment later would be reported as not written.
TEST_F(kv_test, serverErrorsAreAmbiguousAndClientErrorsAreUnavailable)
{
    for (const int status : {500, 502, 503, 504, 408}) {
        const fixed_response_server gateway(m_loop, status, "{}");
        const auto client = makeClient({gateway.url()}, callTimeoutMs);
        EXPECT_EQ(swap(*client, "key", 0, "x").status, kv_status::Ambiguous) << status;
    }
    for (const int status : {400, 401, 403, 404, 429}) {
        const fixed_response_server gateway(m_loop, status, "{}");
        const auto client = makeClient({gateway.url()}, callTimeoutMs);
        EXPECT_EQ(swap(*client, "key", 0, "x").status, kv_status::Unavailable) << status;
    }
}

TEST_F(kv_test, malformedResponseIsAmbiguousForWritesAndUnavailableForReads)
{
    for (const auto *body : {"", "[]", "{", R"({"succeeded":true})", R"({"header":{"revision":"x"}})",
             R"({"header":{"revision":"5"}})", R"({"header":7,"succeeded":"yes"})"}) {
        const fixed_response_server gateway(m_loop, 200, body);
        const auto client = makeClient({gateway.url()}, callTimeoutMs);
        EXPECT_EQ(swap(*client, "key", 0, "x").status, kv_status::Ambiguous) << body;
        EXPECT_EQ(keepAlive(*client, 1), kv_status::Ambiguous) << body;
    }
    const fixed_response_server gateway(m_loop, 200, R"({"header":{"revision":"5"},"kvs":[{"key":"%"}]})");
    const auto client = makeClient({gateway.url()}, callTimeoutMs);
    EXPECT_EQ(get(*client, "key").status, kv_status::Unavailable);
}

TEST_F(kv_test, keepAliveOfAnExpiredLeaseIsAConflict)
{
    const auto lease = grant(millis{60'000});
    ASSERT_NE(lease, 0);
    EXPECT_EQ(keepAlive(*m_client, lease), kv_status::Ok);
    m_standin->expireLease(lease);
    EXPECT_EQ(keepAlive(*m_client, lease), kv_status::Conflict);
    EXPECT_EQ(m_standin->record().keepalive, 2U);
}

// A daemon crashes without releasing anything. Its keys must be removed when its lease expires, or no other
// daemon could ever take over its servers.
TEST_F(kv_test, expiredLeaseRemovesItsKeysOnly)
{
    m_standin->setFaults({.pausedExpiry = true});
    const auto lease = grant(millis{1'000});
    ASSERT_EQ(swap(*m_client, "live/a", 0, "x", lease).status, kv_status::Ok);
    ASSERT_EQ(swap(*m_client, "live/b", 0, "x").status, kv_status::Ok);
    m_standin->setFaults({});
    EXPECT_TRUE(eventually([&] {
        return list("live/", 0).entries.size() == 1;
    }));
    EXPECT_EQ(list("live/", 0).entries.at(0).key, "live/b");
    EXPECT_EQ(keepAlive(*m_client, lease), kv_status::Conflict);
}

TEST_F(kv_test, pausedExpiryKeepsLeases)
{
    m_standin->setFaults({.pausedExpiry = true});
    const auto lease = grant(millis{1'000});
    const auto control = startStandin();
    control->setFaults({.pausedExpiry = true});
    const auto other = makeClient({control->url()}, callTimeoutMs);
    std::int64_t otherLease = 0;
    other->grantLease(millis{1'000}, [&](kv_status, std::int64_t id) {
        otherLease = id;
    });
    ASSERT_TRUE(runUntil([&] {
        return otherLease != 0;
    }));
    // The other lease was granted later with the same TTL, so once it has expired, the first one would have
    // too.
    ASSERT_EQ(swap(*other, "mark", 0, "x", otherLease).status, kv_status::Ok);
    control->setFaults({});
    ASSERT_TRUE(eventually([&] {
        return get(*other, "mark").entries.empty();
    }));
    EXPECT_EQ(keepAlive(*m_client, lease), kv_status::Ok);
}

TEST_F(kv_test, revokingALeaseRemovesItsKeysAndMayBeRepeated)
{
    const auto lease = grant(millis{60'000});
    ASSERT_EQ(swap(*m_client, "live", 0, "x", lease).status, kv_status::Ok);
    for (int attempt = 0; attempt < 2; ++attempt) {
        std::optional<kv_status> result;
        m_client->revokeLease(lease, [&](kv_status status) {
            result = status;
        });
        ASSERT_TRUE(runUntil([&] {
            return result.has_value();
        }));
        EXPECT_EQ(*result, kv_status::Ok);
    }
    EXPECT_TRUE(get(*m_client, "live").entries.empty());
}

TEST_F(kv_test, watchDeliversEachChangeInOrder)
{
    const auto first = swap(*m_client, "head", 0, "one");
    std::vector<kv_entry> seen;
    const auto handle = m_client->watch(
        "head", first.revision,
        [&](const kv_entry &entry) {
            seen.push_back(entry);
        },
        [] {
            FAIL();
        });
    ASSERT_TRUE(runUntil([&] {
        return seen.size() == 1;
    }));
    const auto second = swap(*m_client, "head", first.revision, "two");
    ASSERT_EQ(swap(*m_client, "other", 0, "x").status, kv_status::Ok);
    ASSERT_EQ(remove("head", second.revision).status, kv_status::Ok);
    ASSERT_TRUE(runUntil([&] {
        return seen.size() == 3;
    }));
    EXPECT_EQ(seen[0].value, "one");
    EXPECT_EQ(seen[1].value, "two");
    EXPECT_EQ(seen[1].modRevision, second.revision);
    EXPECT_EQ(seen[2].key, "head");
    EXPECT_EQ(seen[2].modRevision, 0);
    EXPECT_EQ(m_client->counters().watches, 1U);
}

TEST_F(kv_test, droppedWatchClosesWithoutACallback)
{
    auto handle = m_client->watch(
        "head", 0,
        [](const kv_entry &) {
            FAIL();
        },
        [] {
            FAIL();
        });
    ASSERT_TRUE(runUntil([&] {
        return m_standin->record().watchOpen == 1;
    }));
    handle.reset();
    ASSERT_EQ(swap(*m_client, "head", 0, "x").status, kv_status::Ok);
    EXPECT_TRUE(runUntil([&] {
        return m_standin->record().watchOpen == 0;
    }));
}

// The service goes down while a daemon waits for the next configuration version. If the watch ended without
// calling `ended`, the daemon would keep its old version forever.
TEST_F(kv_test, watchEndsOnceWhenTheServiceGoesDown)
{
    int ends = 0;
    const auto handle = m_client->watch(
        "head", 0, [](const kv_entry &) {},
        [&] {
            ++ends;
        });
    ASSERT_TRUE(runUntil([&] {
        return m_standin->record().watchOpen == 1;
    }));
    m_standin->setFaults({.down = kv_down::Refuse});
    EXPECT_TRUE(runUntil([&] {
        return ends > 0;
    }));
    EXPECT_EQ(get(*m_client, "head").status, kv_status::Unavailable);
    EXPECT_EQ(ends, 1);
}

// The service accepts the watch's connection and then hangs. This looks like a key that does not change, and
// the daemon would wait forever for a change that it never receives.
TEST_F(kv_test, watchThatIsNeverConfirmedEnds)
{
    m_standin->setFaults({.down = kv_down::Hang});
    const auto impatientClient = makeClient({m_standin->url()}, shortTimeoutMs);
    int ends = 0;
    const auto handle = impatientClient->watch(
        "head", 0, [](const kv_entry &) {},
        [&] {
            ++ends;
        });
    EXPECT_TRUE(runUntil([&] {
        return ends == 1;
    }));
}

// A daemon was disconnected for so long that the service has compacted the changes that it requests. The
// watch must end, so that the daemon reads the key again instead of missing changes.
TEST_F(kv_test, watchFromACompactedRevisionEnds)
{
    constexpr int writesBeyondTheHistory = 600;
    std::int64_t storedRevision = 0;
    for (int i = 0; i < writesBeyondTheHistory; ++i) {
        storedRevision = swap(*m_client, "head", storedRevision, "x").revision;
    }
    int ends = 0;
    const auto handle = m_client->watch(
        "head", 2, [](const kv_entry &) {},
        [&] {
            ++ends;
        });
    EXPECT_TRUE(runUntil([&] {
        return ends == 1;
    }));
}

TEST_F(kv_test, watchCallbackMayDropTheWatchAndDestroyTheClient)
{
    const auto first = swap(*m_client, "head", 0, "one");
    auto client = makeClient({m_standin->url()}, callTimeoutMs);
    std::shared_ptr<void> handle;
    int changes = 0;
    handle = client->watch(
        "head", first.revision,
        [&](const kv_entry &) {
            ++changes;
            handle.reset();
            client.reset();
        },
        [] {
            FAIL();
        });
    ASSERT_TRUE(runUntil([&] {
        return changes == 1;
    }));
    EXPECT_TRUE(runUntil([&] {
        return m_standin->record().watchOpen == 0;
    }));
}

// One of the service's gateways goes down. The call that was made to it fails, and the next call must use
// another gateway instead of failing until the first one is back.
TEST_F(kv_test, nextCallAfterAFailureUsesTheNextUrl)
{
    auto failingGateway = startStandin();
    const auto client = makeClient({failingGateway->url(), m_standin->url()}, callTimeoutMs);
    ASSERT_EQ(swap(*client, "where", 0, "first").status, kv_status::Ok);
    ASSERT_EQ(get(*client, "where").entries.size(), 1U);
    failingGateway.reset();
    EXPECT_EQ(get(*client, "where").status, kv_status::Unavailable);
    EXPECT_EQ(get(*client, "where").status, kv_status::Ok);
    EXPECT_EQ(swap(*client, "where", 0, "second").status, kv_status::Ok);
    EXPECT_EQ(get(*m_client, "where").entries.at(0).value, "second");
}

TEST_F(kv_test, countersCountCallsByKind)
{
    const auto lease = grant(millis{60'000});
    EXPECT_EQ(keepAlive(*m_client, lease), kv_status::Ok);
    const auto written = swap(*m_client, "key", 0, "x");
    EXPECT_EQ(remove("key", written.revision).status, kv_status::Ok);
    get(*m_client, "key");
    list("key", 0);
    EXPECT_EQ(m_client->counters().leaseCalls, 2U);
    EXPECT_EQ(m_client->counters().writes, 2U);
    EXPECT_EQ(m_client->counters().reads, 2U);
    EXPECT_EQ(m_client->counters().failed, 0U);
}

TEST_F(kv_test, standinAcceptsFaultsAndReturnsItsRecordByHttp)
{
    http_client http(m_loop);
    std::optional<http_result> result;
    const auto call = [&](const std::string &method, const std::string &path, const std::string &body) {
        result.reset();
        http.start({.method = method, .url = m_standin->url() + path, .body = body},
            [&](const http_result &response) {
                result = response;
            });
        return runUntil([&] {
            return result.has_value();
        });
    };
    ASSERT_TRUE(call("POST", "/standin/faults", R"({"down":"hang","delay_ms":7,"lose_answers":2})"));
    EXPECT_EQ(result->status, 200);
    EXPECT_EQ(m_standin->faults().down, kv_down::Hang);
    EXPECT_EQ(m_standin->faults().delay.count, 7);
    ASSERT_TRUE(call("POST", "/standin/faults", R"({"down":false,"paused_expiry":true})"));
    EXPECT_EQ(m_standin->faults().down, kv_down::Up);
    EXPECT_EQ(m_standin->faults().loseAnswers, 2U);
    EXPECT_TRUE(m_standin->faults().pausedExpiry);
    ASSERT_TRUE(call("POST", "/standin/faults", R"({"delay_ms":"soon"})"));
    EXPECT_EQ(result->status, 400);
    ASSERT_TRUE(call("GET", "/standin/record", ""));
    EXPECT_NE(result->body.find(R"("watch_created":0)"), std::string::npos);
}

}
}
