#include "coordination/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhead {

namespace {

/// Demand is averaged over about this many requests, within the bounds below. Many requests make it react
/// within a second when clients move to another daemon; with few requests, a random gap is not mistaken for
/// the end of demand.
constexpr double demandWindowRequests = 8;
constexpr double minDemandWindowMs = 500;
constexpr double maxDemandWindowMs = 4'000;
/// The home is notified early of demand that has grown or shrunk by this factor.
constexpr double demandChangeFactor = 2.5;
constexpr millis minEarlyRequestGap{200};
/// After this many mean intervals without a request, the callers are assumed to have left. At random, one
/// interval in 1,100 is as long.
constexpr double idleAfterGaps = 7;
/// Fewer requests per second are not enough demand for a share.
constexpr double minRequestsPerSecond = 0.1;
constexpr double newestCostWeight = 0.1; ///< weight of the latest request in the mean cost
/// After this many requests without a response, callers no longer wait for the home.
constexpr int maxMissedResponses = 2;
constexpr millis retryRequestAfter{400};
/// Interval of requests for which no caller waits: a home that serves a thousand daemons receives several
/// hundred requests per second.
constexpr millis requestInterval{1'000};
constexpr double requestIntervalPerDaemonMs = 2;
/// A daemon that holds nothing only has to stay in contact; a share lasts over four times as long. In a fleet
/// of hundreds, most daemons have no callers of most accounts.
constexpr millis idleRequestInterval{4'000};
/// If a share shrinks below this fraction of its former size, the difference is free for others only once the
/// home knows that this daemon has applied it, so the next request follows soon.
constexpr double confirmDropRatio = 0.7;
constexpr millis confirmDelay{100};
constexpr millis handshakeInterval{40};
constexpr int handshakeCount = 3;
/// How long a caller waits for the home to become known.
constexpr millis homeDiscoveryTimeout{300};
constexpr millis minRetryAfter{20};
constexpr millis maxRetryAfter{1'000};
/// Keeps a request and its response within one datagram.
constexpr std::size_t maxWantsPerRequest = 500;
constexpr double roundingUnits = 1e-6;
constexpr double msPerSecond = 1'000;

/// When a daemon without contact to its home begins to use its fallback share: all its shares have expired by
/// then.
std::optional<millis> fallbackFrom(const quota_client &client, const quota_client_shard &shard)
{
    return shard.lastContact ? std::optional(*shard.lastContact + client.plan.fallbackAfter) : std::nullopt;
}

bool isDisconnected(const quota_client &client, const quota_client_shard &shard, millis now)
{
    const auto from = fallbackFrom(client, shard);
    return from && now >= *from;
}

/// Fills the account's bucket up to `now`. If the share has expired meanwhile, it fills only up to that time,
/// because the home may have granted the share to others since. Otherwise a daemon that was paused, or that
/// lost its home, would exceed the account's limit. The clock that is used here also runs while the machine
/// is suspended.
void updateBucket(
    const quota_client &client, quota_client_account &account, const quota_client_shard &shard, millis now)
{
    const auto fillAt = [&account](double share, millis until) {
        fill(account.bucket, share * account.limit.rate, share * account.limit.burst, until);
    };
    if (account.share > 0 && account.shareUntil <= now) {
        fillAt(account.share, account.shareUntil);
        account.share = 0;
    }
    if (isDisconnected(client, shard, now)) {
        account.bucket.filledAt = std::max(account.bucket.filledAt, *fallbackFrom(client, shard));
        fillAt(shard.fallbackShare, now);
    } else {
        fillAt(account.share, now);
    }
}

double demandWindowMs(const quota_client_account &account)
{
    const double windowMs = account.demand > 0
        ? demandWindowRequests * account.meanCost * msPerSecond / account.demand
        : maxDemandWindowMs;
    return std::clamp(windowMs, minDemandWindowMs, maxDemandWindowMs);
}

double currentDemand(const quota_client_account &account, millis now)
{
    const auto age = static_cast<double>((now - account.demandUpdatedAt).count);
    if (age * account.demand > idleAfterGaps * account.meanCost * msPerSecond) {
        return 0;
    }
    return account.demand * std::exp(-age / demandWindowMs(account));
}

void recordDemand(quota_client_account &account, double cost, millis now)
{
    account.meanCost =
        account.meanCost == 0 ? cost : account.meanCost + newestCostWeight * (cost - account.meanCost);
    const double windowMs = demandWindowMs(account);
    account.demand = currentDemand(account, now) + cost * msPerSecond / windowMs;
    account.demandUpdatedAt = now;
}

/// Whether the demand differs much from what was last reported to the home.
bool demandChanged(const quota_client_account &account, millis now)
{
    const double demand = currentDemand(account, now);
    return demand * demandChangeFactor < account.reportedDemand
        || demand > account.reportedDemand * demandChangeFactor;
}

/// Whether the local demand may justify a share, with a bucket that can hold a request. The home decides.
bool wantsShare(const quota_client &client, const quota_client_account &account, millis now)
{
    const bool fits = client.plan.maxDaemonShare * account.limit.burst >= account.meanCost;
    return fits && currentDemand(account, now) >= minRequestsPerSecond * account.meanCost;
}

/// The time until a request of that cost may succeed, here or at the home.
millis retryDelay(const quota_client &client, const quota_client_account &account, std::uint64_t hash,
    double cost, millis now)
{
    const double rate = localShare(client, hash, now) * account.limit.rate;
    const double missing = std::max(cost - account.bucket.level, 0.0);
    millis localWait = maxRetryAfter;
    if (rate > 0) {
        const double waitMs =
            std::min(missing * msPerSecond / rate, static_cast<double>(maxRetryAfter.count));
        localWait = {static_cast<std::int64_t>(waitMs)};
    }
    const millis homeWait = account.exhaustedUntil > now ? account.exhaustedUntil - now : localWait;
    return std::max(minRetryAfter, std::min(localWait, homeWait));
}

/// Grants units to waiting callers in order of arrival, as far as the bucket and `extra` suffice.
void serveWaiting(quota_client_account &account, double &extra, std::vector<resolved_waiter> &resolved)
{
    while (!account.waiting.empty()) {
        const quota_client_account::waiter &next = account.waiting.front();
        if (account.bucket.level + extra + roundingUnits < next.cost) {
            return;
        }
        const double fromExtra = std::min(extra, next.cost);
        extra -= fromExtra;
        account.bucket.level -= next.cost - fromExtra;
        resolved.push_back({next.id, {quota_result::Granted, {}}});
        account.waiting.pop_front();
    }
}

void refuseWaiting(const quota_client &client, quota_client_account &account, std::uint64_t hash,
    quota_result result, millis now, std::vector<resolved_waiter> &resolved)
{
    for (const quota_client_account::waiter &each : account.waiting) {
        resolved.push_back({each.id, {result, retryDelay(client, account, hash, each.cost, now)}});
    }
    account.waiting.clear();
}

quota_demand makeWant(quota_client_account &account, std::uint64_t hash, millis now)
{
    quota_demand want{hash, 0, 0, 0, 0, 0, 0};
    account.reportedDemand = currentDemand(account, now);
    want.demandMilli = toMilli(account.reportedDemand);
    want.costMilli = toMilli(account.meanCost);
    account.reportedShare = account.share;
    want.heldSharePpm = toPpm(account.share);
    want.unusedMilli = toMilli(std::exchange(account.unusedUnits, 0));
    account.needRequested = !account.waiting.empty();
    if (account.needRequested) {
        double need = -account.bucket.level;
        for (const quota_client_account::waiter &each : account.waiting) {
            need += each.cost;
        }
        want.needMilli = toMilli(need) + 1; // rounded up
        want.firstNeedMilli = toMilli(account.waiting.front().cost - account.bucket.level) + 1;
    }
    return want;
}

/// Stops using the share before the home is notified.
void dropShare(quota_client_account &account)
{
    account.share = 0;
    account.bucket.level = std::min(account.bucket.level, 0.0);
}

/// Whether a caller waits for the home's response.
bool hasWaiters(const quota_client_account &account)
{
    return !account.waiting.empty();
}

/// The wants of a shard to report to its home: with `all`, those of all relevant accounts, else only those of
/// accounts with waiting callers.
std::vector<quota_demand> wantsOf(quota_client &client, std::uint32_t index, bool all, millis now)
{
    std::vector<quota_demand> wants;
    for (auto &[hash, account] : client.accounts) {
        if (shardOf(hash) != index) {
            continue;
        }
        updateBucket(client, account, client.shards[index], now);
        const bool answered = client.shards[index].missedResponses == 0; // else it can't be granted again
        if (answered && account.waiting.empty() && currentDemand(account, now) == 0) {
            dropShare(account); // now rather than a round later
        }
        const bool shareDropped = account.reportedShare > 0 && account.share == 0;
        const bool reportable =
            account.share > 0 || shareDropped || account.unusedUnits >= 1 || wantsShare(client, account, now);
        if (!hasWaiters(account) && !(all && reportable)) {
            continue;
        }
        if (wants.size() >= maxWantsPerRequest) {
            dropShare(account); // the home would otherwise have to assume that it is still in use
            continue;
        }
        wants.push_back(makeWant(account, hash, now));
    }
    return wants;
}

/// Removes accounts that have had no requests for a share's lifetime.
void removeIdleAccounts(quota_client &client, millis now)
{
    std::erase_if(client.accounts, [&client, now](const auto &each) {
        const quota_client_account &account = each.second;
        return account.waiting.empty() && account.share == 0 && account.unusedUnits < 1
            && now - account.demandUpdatedAt > client.plan.shareLifetime;
    });
}

}

std::string_view nameOf(quota_result value)
{
    static constexpr std::string_view names[] = {"granted", "waits", "over", "too_large", "home_away"};
    return names[static_cast<std::size_t>(value)];
}

double localShare(const quota_client &client, std::uint64_t account, millis now)
{
    const quota_client_shard &shard = client.shards[shardOf(account)];
    if (isDisconnected(client, shard, now)) {
        return shard.fallbackShare;
    }
    const auto found = client.accounts.find(account);
    const bool holds = found != client.accounts.end() && found->second.shareUntil > now;
    return holds ? found->second.share : 0;
}

quota_decision acquireUnits(quota_client &client, std::uint64_t account, const quota_limit &limit,
    std::uint64_t id, double cost, millis now)
{
    if (cost > limit.burst + maxDebt(limit, client.rules)) {
        return {quota_result::TooLarge, {}};
    }
    quota_client_account &state = client.accounts[account];
    quota_client_shard &shard = client.shards[shardOf(account)];
    state.limit = limit;
    updateBucket(client, state, shard, now);
    recordDemand(state, cost, now);
    if (state.waiting.empty() && state.bucket.level + roundingUnits >= cost) {
        state.bucket.level -= cost;
        return {quota_result::Granted, {}};
    }
    if (state.exhaustedUntil > now) {
        return {quota_result::LimitReached, retryDelay(client, state, account, cost, now)};
    }
    if (shard.missedResponses >= maxMissedResponses) {
        return {quota_result::HomeUnavailable, retryDelay(client, state, account, cost, now)};
    }
    state.waiting.push_back({id, cost, now});
    return {quota_result::Pending, {}};
}

void cancelWaiter(quota_client &client, std::uint64_t account, std::uint64_t id)
{
    const auto found = client.accounts.find(account);
    if (found != client.accounts.end()) {
        std::erase_if(found->second.waiting, [id](const quota_client_account::waiter &each) {
            return each.id == id;
        });
    }
}

void returnUnits(quota_client &client, std::uint64_t account, double cost, millis now)
{
    const auto found = client.accounts.find(account);
    if (found == client.accounts.end()) {
        return;
    }
    quota_client_account &state = found->second;
    updateBucket(client, state, client.shards[shardOf(account)], now);
    const double depth = localShare(client, account, now) * state.limit.burst;
    const double fits = std::clamp(depth - state.bucket.level, 0.0, cost);
    state.bucket.level += fits;
    state.unusedUnits += cost - fits;
}

void setHome(
    quota_client &client, std::uint32_t shard, const std::string &home, std::int64_t term, millis now)
{
    quota_client_shard &state = client.shards[shard];
    if (state.home == home && state.homeTerm == term) {
        return;
    }
    state.home = home;
    state.homeTerm = term;
    state.fullyReported = false;
    state.requestPending = false;
    state.missedResponses = 0;
    state.handshakesLeft = handshakeCount;
    state.nextRequestAt = now;
}

std::vector<addressed_request> dueRequests(quota_client &client, std::size_t daemons, millis now)
{
    removeIdleAccounts(client, now);
    std::vector<addressed_request> requests;
    const millis interval = std::max(requestInterval,
        millis{static_cast<std::int64_t>(requestIntervalPerDaemonMs * static_cast<double>(daemons))});
    std::array<bool, quotaShards> hasWaitersIn{};
    std::array<bool, quotaShards> demandChangedIn{};
    std::array<bool, quotaShards> hasShares{};
    for (const auto &[hash, account] : client.accounts) {
        const std::uint32_t shard = shardOf(hash);
        hasWaitersIn[shard] = hasWaitersIn[shard] || hasWaiters(account);
        const bool relevant = account.share > 0 || wantsShare(client, account, now);
        hasShares[shard] = hasShares[shard] || relevant;
        demandChangedIn[shard] = demandChangedIn[shard] || (relevant && demandChanged(account, now));
    }
    for (std::uint32_t i = 0; i < quotaShards; ++i) {
        quota_client_shard &shard = client.shards[i];
        if (shard.requestPending && now - shard.sentAt > quotaResponseTimeout) {
            shard.requestPending = false;
            ++shard.missedResponses;
            shard.nextRequestAt =
                now + (shard.missedResponses < maxMissedResponses ? millis{} : retryRequestAfter);
        }
        const bool early = demandChangedIn[i] && now - shard.sentAt >= minEarlyRequestGap;
        const bool due = now >= shard.nextRequestAt || early;
        const bool urgent = hasWaitersIn[i] && shard.missedResponses < maxMissedResponses;
        if (shard.home.empty() || shard.requestPending || !(due || urgent)) {
            continue;
        }
        quota_request request{i, ++shard.round, shard.answeredRound, toPpm(shard.fallbackShare), {}};
        request.demands = wantsOf(client, i, due || !shard.fullyReported, now);
        shard.requestPending = true;
        shard.sentAt = now;
        if (due) {
            shard.handshakesLeft = std::max(shard.handshakesLeft - 1, 0);
            const millis usual = hasShares[i] ? interval : std::max(interval, idleRequestInterval);
            shard.nextRequestAt = now + (shard.handshakesLeft > 0 ? handshakeInterval : usual);
        }
        requests.push_back({shard.home, std::move(request)});
    }
    return requests;
}

std::vector<resolved_waiter> applyResponse(quota_client &client, const quota_response &response, millis now)
{
    std::vector<resolved_waiter> resolved;
    if (response.shard >= quotaShards) {
        return resolved;
    }
    quota_client_shard &shard = client.shards[response.shard];
    if (!shard.requestPending || response.round != shard.round || now - shard.sentAt > quotaResponseTimeout) {
        return resolved; // late or a duplicate: the home doesn't count on it
    }
    for (const quota_grant &grant : response.grants) {
        if (const auto found = client.accounts.find(grant.account); found != client.accounts.end()) {
            updateBucket(client, found->second, shard, now);
        }
    }
    shard.requestPending = false;
    shard.missedResponses = 0;
    shard.fullyReported = true;
    shard.answeredRound = response.round;
    shard.lastContact = shard.sentAt;
    shard.fallbackShare = fromPpm(response.fallbackSharePpm);
    for (const quota_grant &grant : response.grants) {
        const auto found = client.accounts.find(grant.account);
        if (found == client.accounts.end()) {
            continue;
        }
        quota_client_account &account = found->second;
        const double share = fromPpm(grant.grantedSharePpm);
        if (share < account.share * confirmDropRatio) {
            shard.nextRequestAt = std::min(shard.nextRequestAt, now + confirmDelay);
        }
        account.share = share;
        account.shareUntil = shard.sentAt + client.plan.shareLifetime;
        updateBucket(client, account, shard, now);
        double extra = fromMilli(grant.unitsMilli);
        serveWaiting(account, extra, resolved);
        const double depth = account.share * account.limit.burst;
        const double fits = std::clamp(depth - account.bucket.level, 0.0, extra);
        account.bucket.level += fits;
        account.unusedUnits += extra - fits;
        if (grant.availableInMs > 0) {
            account.exhaustedUntil =
                now + std::clamp(millis{grant.availableInMs}, minRetryAfter, maxRetryAfter);
            refuseWaiting(client, account, grant.account, quota_result::LimitReached, now, resolved);
        } else if (grant.unitsMilli <= 0 && account.needRequested) {
            refuseWaiting(client, account, grant.account, quota_result::HomeUnavailable, now, resolved);
        }
    }
    return resolved;
}

std::vector<resolved_waiter> expireWaiters(quota_client &client, millis now)
{
    std::vector<resolved_waiter> resolved;
    for (auto &[hash, account] : client.accounts) {
        const quota_client_shard &shard = client.shards[shardOf(hash)];
        const bool homeUnavailable = shard.missedResponses >= maxMissedResponses
            || (shard.home.empty() && !account.waiting.empty()
                && now - account.waiting.front().arrivedAt >= homeDiscoveryTimeout);
        if (homeUnavailable) {
            refuseWaiting(client, account, hash, quota_result::HomeUnavailable, now, resolved);
        }
    }
    return resolved;
}

std::vector<resolved_waiter> setLimit(
    quota_client &client, std::uint64_t account, const std::optional<quota_limit> &limit, millis now)
{
    std::vector<resolved_waiter> resolved;
    const auto found = client.accounts.find(account);
    if (found == client.accounts.end()) {
        return resolved;
    }
    if (limit && isLimited(*limit)) {
        updateBucket(client, found->second, client.shards[shardOf(account)], now);
        found->second.limit = *limit;
        updateBucket(client, found->second, client.shards[shardOf(account)], now);
        return resolved;
    }
    for (const quota_client_account::waiter &each : found->second.waiting) {
        resolved.push_back({each.id, {quota_result::Granted, {}}});
    }
    client.accounts.erase(found);
    return resolved;
}

}
