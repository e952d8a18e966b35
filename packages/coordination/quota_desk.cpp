#include "coordination/quota_desk.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhead {

namespace {

/// Demand is averaged over about so many requests, within bounds: where they are many, clients that move are
/// felt within a second; where they are few, a chance gap is not taken for an end.
constexpr double demandRequests = 8;
constexpr double demandSpanLeastMs = 500;
constexpr double demandSpanMostMs = 4'000;
/// The home is told early of demand that has changed by so much, up or down.
constexpr double demandChange = 2.5;
constexpr millis askEarlyAfter{200};
/// Without a request for so many usual gaps between two, its callers have gone elsewhere. By chance one gap
/// in 1,100 is as long.
constexpr double gapsToIdle = 7;
/// Fewer requests a second are no demand worth a part.
constexpr double leastRequests = 0.1;
constexpr double costWeight = 0.1; ///< of the latest request in the usual cost
/// After so many asks without an answer callers wait no more.
constexpr int missesMost = 2;
constexpr millis askAgainAfter{400};
/// Asks for which nobody waits: a home that serves a thousand daemons hears some hundred asks a second.
constexpr millis askEvery{1'000};
constexpr double askEveryPerDaemonMs = 2;
/// Where a daemon holds nothing, it only has to stay in contact; a part's life is five times as long. In a
/// fleet of hundreds most daemons have no callers of most accounts.
constexpr millis askIdleEvery{4'000};
/// A part that became much smaller is free for others once the home knows that this daemon goes by it.
constexpr double confirmBelow = 0.7;
constexpr millis confirmAfter{100};
constexpr millis greetEvery{40};
constexpr int greetingsFirst = 3;
/// How long a caller waits for a home to be known.
constexpr millis homePatience{300};
constexpr millis leastRoomWait{20};
constexpr millis mostRoomWait{1'000};
/// An ask and its answer fit into a datagram.
constexpr std::size_t wantsMost = 500;
constexpr double unitsLeast = 1e-6; ///< rounding
constexpr double msPerSecond = 1'000;

/// When a daemon that hears nothing from its home begins to use its equal part: all that it held has run out.
std::optional<millis> aloneFrom(const quota_desk &desk, const desk_shard &shard)
{
    return shard.contact ? std::optional(*shard.contact + desk.plan.aloneAfter) : std::nullopt;
}

bool isAlone(const quota_desk &desk, const desk_shard &shard, millis now)
{
    const auto from = aloneFrom(desk, shard);
    return from && now >= *from;
}

/// Guards against: a daemon that stood still, or lost its home, goes on with a part that the home has given
/// to others. It shows as an account over its limit after a freeze or a cut. Holds because each use of a
/// bucket first lets the part run out by the clock that also runs while the machine is suspended.
void settle(const quota_desk &desk, desk_account &account, const desk_shard &shard, millis now)
{
    const auto fillAt = [&account](double share, millis until) {
        fill(account.bucket, share * account.limit.rate, share * account.limit.burst, until);
    };
    if (account.part > 0 && account.partUntil <= now) {
        fillAt(account.part, account.partUntil);
        account.part = 0;
    }
    if (isAlone(desk, shard, now)) {
        account.bucket.filled = std::max(account.bucket.filled, *aloneFrom(desk, shard));
        fillAt(shard.alone, now);
    } else {
        fillAt(account.part, now);
    }
}

double demandSpan(const desk_account &account)
{
    const double span =
        account.demand > 0 ? demandRequests * account.cost * msPerSecond / account.demand : demandSpanMostMs;
    return std::clamp(span, demandSpanLeastMs, demandSpanMostMs);
}

double demandNow(const desk_account &account, millis now)
{
    const auto age = static_cast<double>((now - account.demandAt).count);
    if (age * account.demand > gapsToIdle * account.cost * msPerSecond) {
        return 0;
    }
    return account.demand * std::exp(-age / demandSpan(account));
}

void noteDemand(desk_account &account, double cost, millis now)
{
    account.cost = account.cost == 0 ? cost : account.cost + costWeight * (cost - account.cost);
    const double span = demandSpan(account);
    account.demand = demandNow(account, now) + cost * msPerSecond / span;
    account.demandAt = now;
}

/// Whether the home goes by a demand that is far from what it is now.
bool hasChanged(const desk_account &account, millis now)
{
    const double demand = demandNow(account, now);
    return demand * demandChange < account.demandTold || demand > account.demandTold * demandChange;
}

/// Whether its demand here may deserve a part, one whose bucket can hold a request; the home knows whether.
bool wantsPart(const quota_desk &desk, const desk_account &account, millis now)
{
    const bool fits = desk.plan.heldByOne * account.limit.burst >= account.cost;
    return fits && demandNow(account, now) >= leastRequests * account.cost;
}

/// When a request of that cost would find room here, or at the home.
millis roomAfter(
    const quota_desk &desk, const desk_account &account, std::uint64_t hash, double cost, millis now)
{
    const double rate = shareHere(desk, hash, now) * account.limit.rate;
    const double lacks = std::max(cost - account.bucket.level, 0.0);
    millis here = mostRoomWait;
    if (rate > 0) {
        const double span = std::min(lacks * msPerSecond / rate, static_cast<double>(mostRoomWait.count));
        here = {static_cast<std::int64_t>(span)};
    }
    const millis atHome = account.noRoomUntil > now ? account.noRoomUntil - now : here;
    return std::max(leastRoomWait, std::min(here, atHome));
}

/// The callers that what is here reaches for, in the order in which they came.
void serveWaiting(desk_account &account, double &extra, std::vector<quota_settled> &out)
{
    while (!account.waiting.empty()) {
        const desk_account::waiter &next = account.waiting.front();
        if (account.bucket.level + extra + unitsLeast < next.cost) {
            return;
        }
        const double fromExtra = std::min(extra, next.cost);
        extra -= fromExtra;
        account.bucket.level -= next.cost - fromExtra;
        out.push_back({next.id, {quota_verdict::Granted, {}}});
        account.waiting.pop_front();
    }
}

void refuseWaiting(const quota_desk &desk, desk_account &account, std::uint64_t hash, quota_verdict verdict,
    millis now, std::vector<quota_settled> &out)
{
    for (const desk_account::waiter &each : account.waiting) {
        out.push_back({each.id, {verdict, roomAfter(desk, account, hash, each.cost, now)}});
    }
    account.waiting.clear();
}

quota_demand wantOf(desk_account &account, std::uint64_t hash, millis now)
{
    quota_demand want{hash, 0, 0, 0, 0, 0, 0};
    account.demandTold = demandNow(account, now);
    want.demandMilli = toMilli(account.demandTold);
    want.costMilli = toMilli(account.cost);
    account.heldTold = account.part;
    want.heldSharePpm = toPpm(account.part);
    want.unusedMilli = toMilli(std::exchange(account.unused, 0));
    account.needAsked = !account.waiting.empty();
    if (account.needAsked) {
        double need = -account.bucket.level;
        for (const desk_account::waiter &each : account.waiting) {
            need += each.cost;
        }
        want.needMilli = toMilli(need) + 1; // rounded up
        want.firstNeedMilli = toMilli(account.waiting.front().cost - account.bucket.level) + 1;
    }
    return want;
}

/// Uses its part no more, before the home is told.
void leavePart(desk_account &account)
{
    account.part = 0;
    account.bucket.level = std::min(account.bucket.level, 0.0);
}

/// Whether somebody waits for the home's word on an account.
bool isWanted(const desk_account &account)
{
    return !account.waiting.empty();
}

/// The wants of a shard: of those that somebody waits for, or of all there is to say.
std::vector<quota_demand> wantsOf(quota_desk &desk, std::uint32_t index, bool all, millis now)
{
    std::vector<quota_demand> wants;
    for (auto &[hash, account] : desk.accounts) {
        if (shardOf(hash) != index) {
            continue;
        }
        settle(desk, account, desk.shards[index], now);
        const bool answered = desk.shards[index].missed == 0; // else nobody could give it back
        if (answered && account.waiting.empty() && demandNow(account, now) == 0) {
            leavePart(account); // at once, not a round later
        }
        const bool left = account.heldTold > 0 && account.part == 0;
        const bool tells = account.part > 0 || left || account.unused >= 1 || wantsPart(desk, account, now);
        if (!isWanted(account) && !(all && tells)) {
            continue;
        }
        if (wants.size() >= wantsMost) {
            leavePart(account); // the home must not be left to guess
            continue;
        }
        wants.push_back(wantOf(account, hash, now));
    }
    return wants;
}

/// Accounts that nobody has asked for lately.
void dropIdle(quota_desk &desk, millis now)
{
    std::erase_if(desk.accounts, [&desk, now](const auto &each) {
        const desk_account &account = each.second;
        return account.waiting.empty() && account.part == 0 && account.unused < 1
            && now - account.demandAt > desk.plan.partLife;
    });
}

}

std::string_view nameOf(quota_verdict value)
{
    static constexpr std::string_view names[] = {"granted", "waits", "over", "too_large", "home_away"};
    return names[static_cast<std::size_t>(value)];
}

double shareHere(const quota_desk &desk, std::uint64_t account, millis now)
{
    const desk_shard &shard = desk.shards[shardOf(account)];
    if (isAlone(desk, shard, now)) {
        return shard.alone;
    }
    const auto found = desk.accounts.find(account);
    const bool holds = found != desk.accounts.end() && found->second.partUntil > now;
    return holds ? found->second.part : 0;
}

quota_decision takeUnits(quota_desk &desk, std::uint64_t account, const quota_limit &limit, std::uint64_t id,
    double cost, millis now)
{
    if (cost > limit.burst + mostDebt(limit, desk.rules)) {
        return {quota_verdict::TooLarge, {}};
    }
    desk_account &one = desk.accounts[account];
    desk_shard &shard = desk.shards[shardOf(account)];
    one.limit = limit;
    settle(desk, one, shard, now);
    noteDemand(one, cost, now);
    if (one.waiting.empty() && one.bucket.level + unitsLeast >= cost) {
        one.bucket.level -= cost;
        return {quota_verdict::Granted, {}};
    }
    if (one.noRoomUntil > now) {
        return {quota_verdict::Over, roomAfter(desk, one, account, cost, now)};
    }
    if (shard.missed >= missesMost) {
        return {quota_verdict::HomeAway, roomAfter(desk, one, account, cost, now)};
    }
    one.waiting.push_back({id, cost, now});
    return {quota_verdict::Waits, {}};
}

void dropWaiter(quota_desk &desk, std::uint64_t account, std::uint64_t id)
{
    const auto found = desk.accounts.find(account);
    if (found != desk.accounts.end()) {
        std::erase_if(found->second.waiting, [id](const desk_account::waiter &each) {
            return each.id == id;
        });
    }
}

void returnUnits(quota_desk &desk, std::uint64_t account, double cost, millis now)
{
    const auto found = desk.accounts.find(account);
    if (found == desk.accounts.end()) {
        return;
    }
    desk_account &one = found->second;
    settle(desk, one, desk.shards[shardOf(account)], now);
    const double depth = shareHere(desk, account, now) * one.limit.burst;
    const double fits = std::clamp(depth - one.bucket.level, 0.0, cost);
    one.bucket.level += fits;
    one.unused += cost - fits;
}

void setHome(quota_desk &desk, std::uint32_t shard, const std::string &home, std::int64_t term, millis now)
{
    desk_shard &one = desk.shards[shard];
    if (one.home == home && one.homeTerm == term) {
        return;
    }
    one.home = home;
    one.homeTerm = term;
    one.heardAll = false;
    one.open = false;
    one.missed = 0;
    one.greetings = greetingsFirst;
    one.askAt = now;
}

std::vector<addressed_ask> asksDue(quota_desk &desk, std::size_t daemons, millis now)
{
    dropIdle(desk, now);
    std::vector<addressed_ask> out;
    const millis every = std::max(
        askEvery, millis{static_cast<std::int64_t>(askEveryPerDaemonMs * static_cast<double>(daemons))});
    std::array<bool, quotaShards> wanted{};
    std::array<bool, quotaShards> changed{};
    std::array<bool, quotaShards> holds{};
    for (const auto &[hash, account] : desk.accounts) {
        const std::uint32_t shard = shardOf(hash);
        wanted[shard] = wanted[shard] || isWanted(account);
        const bool matters = account.part > 0 || wantsPart(desk, account, now);
        holds[shard] = holds[shard] || matters;
        changed[shard] = changed[shard] || (matters && hasChanged(account, now));
    }
    for (std::uint32_t i = 0; i < quotaShards; ++i) {
        desk_shard &shard = desk.shards[i];
        if (shard.open && now - shard.sentAt > answerLife) {
            shard.open = false;
            ++shard.missed;
            shard.askAt = now + (shard.missed < missesMost ? millis{} : askAgainAfter);
        }
        const bool early = changed[i] && now - shard.sentAt >= askEarlyAfter;
        const bool due = now >= shard.askAt || early;
        const bool urgent = wanted[i] && shard.missed < missesMost;
        if (shard.home.empty() || shard.open || !(due || urgent)) {
            continue;
        }
        quota_request ask{i, ++shard.round, shard.answered, toPpm(shard.alone), {}};
        ask.demands = wantsOf(desk, i, due || !shard.heardAll, now);
        shard.open = true;
        shard.sentAt = now;
        if (due) {
            shard.greetings = std::max(shard.greetings - 1, 0);
            const millis usual = holds[i] ? every : std::max(every, askIdleEvery);
            shard.askAt = now + (shard.greetings > 0 ? greetEvery : usual);
        }
        out.push_back({shard.home, std::move(ask)});
    }
    return out;
}

std::vector<quota_settled> takeAnswer(quota_desk &desk, const quota_response &answer, millis now)
{
    std::vector<quota_settled> out;
    if (answer.shard >= quotaShards) {
        return out;
    }
    desk_shard &shard = desk.shards[answer.shard];
    if (!shard.open || answer.round != shard.round || now - shard.sentAt > answerLife) {
        return out; // late or doubled: the home doesn't go by it
    }
    for (const quota_grant &give : answer.grants) {
        if (const auto found = desk.accounts.find(give.account); found != desk.accounts.end()) {
            settle(desk, found->second, shard, now);
        }
    }
    shard.open = false;
    shard.missed = 0;
    shard.heardAll = true;
    shard.answered = answer.round;
    shard.contact = shard.sentAt;
    shard.alone = fromPpm(answer.fallbackSharePpm);
    for (const quota_grant &give : answer.grants) {
        const auto found = desk.accounts.find(give.account);
        if (found == desk.accounts.end()) {
            continue;
        }
        desk_account &account = found->second;
        const double part = fromPpm(give.grantedSharePpm);
        if (part < account.part * confirmBelow) {
            shard.askAt = std::min(shard.askAt, now + confirmAfter);
        }
        account.part = part;
        account.partUntil = shard.sentAt + desk.plan.partLife;
        settle(desk, account, shard, now);
        double extra = fromMilli(give.unitsMilli);
        serveWaiting(account, extra, out);
        const double depth = account.part * account.limit.burst;
        const double fits = std::clamp(depth - account.bucket.level, 0.0, extra);
        account.bucket.level += fits;
        account.unused += extra - fits;
        if (give.availableInMs > 0) {
            account.noRoomUntil = now + std::clamp(millis{give.availableInMs}, leastRoomWait, mostRoomWait);
            refuseWaiting(desk, account, give.account, quota_verdict::Over, now, out);
        } else if (give.unitsMilli <= 0 && account.needAsked) {
            refuseWaiting(desk, account, give.account, quota_verdict::HomeAway, now, out);
        }
    }
    return out;
}

std::vector<quota_settled> overdue(quota_desk &desk, millis now)
{
    std::vector<quota_settled> out;
    for (auto &[hash, account] : desk.accounts) {
        const desk_shard &shard = desk.shards[shardOf(hash)];
        const bool away = shard.missed >= missesMost
            || (shard.home.empty() && !account.waiting.empty()
                && now - account.waiting.front().since >= homePatience);
        if (away) {
            refuseWaiting(desk, account, hash, quota_verdict::HomeAway, now, out);
        }
    }
    return out;
}

std::vector<quota_settled> setLimit(
    quota_desk &desk, std::uint64_t account, const std::optional<quota_limit> &limit, millis now)
{
    std::vector<quota_settled> out;
    const auto found = desk.accounts.find(account);
    if (found == desk.accounts.end()) {
        return out;
    }
    if (limit && isLimited(*limit)) {
        settle(desk, found->second, desk.shards[shardOf(account)], now);
        found->second.limit = *limit;
        settle(desk, found->second, desk.shards[shardOf(account)], now);
        return out;
    }
    for (const desk_account::waiter &each : found->second.waiting) {
        out.push_back({each.id, {quota_verdict::Granted, {}}});
    }
    desk.accounts.erase(found);
    return out;
}

}
