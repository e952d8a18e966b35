#include "coordination/quota_home.h"

#include <algorithm>
#include <utility>

namespace briarhead {

millis givesFrom(const quota_home &home, const quota_plan &plan)
{
    return home.handedOver ? home.since : home.since + plan.takeoverWait;
}

namespace {

/// Cut-off daemons are counted anew so often. A daemon that becomes one in between is counted ahead of time.
constexpr millis surveyEvery{100};
constexpr millis surveyMargin{250};
/// An answer may be acknowledged by any of the next asks.
constexpr std::size_t roundsKept = 4;
/// The home keeps so much to give, however much is wanted as parts.
constexpr double leastGiven = 0.1;
/// By then each daemon that lives has been heard.
constexpr millis learning{1'500};
constexpr double msPerSecond = 1'000;

/// What a daemon that is cut off for long may use of each limit.
double equalPart(const quota_home &home)
{
    return 1.0 / static_cast<double>(std::max<std::size_t>(home.fleet.size(), 1));
}

bool isSilentFor(const quota_member &member, millis span, millis now)
{
    return !member.contact || now + surveyMargin >= *member.contact + span;
}

/// Counts anew which daemons are cut off, and which weren't heard yet: those may still hold what a former
/// home gave. Says whether either changed.
bool survey(quota_home &home, const quota_plan &plan, millis now)
{
    if (home.surveyed.count != 0 && now - home.surveyed < surveyEvery) {
        return false;
    }
    home.surveyed = now;
    home.fading = 0;
    const double silentBefore = std::exchange(home.silent, 0);
    const std::size_t unheardBefore = std::exchange(home.unheard, 0);
    const double equal = equalPart(home);
    for (const std::string &node : home.fleet) {
        const auto found = home.members.find(node);
        if (found == home.members.end()) {
            ++home.unheard;
            home.silent += equal;
            home.fading += equal;
            continue;
        }
        const quota_member &member = found->second;
        home.silent += isSilentFor(member, plan.aloneAfter, now) ? member.alone : 0;
        home.fading += isSilentFor(member, plan.fadingAfter, now) ? member.alone : 0;
    }
    if (home.silent < silentBefore || home.unheard < unheardBefore) {
        home.loosened = now;
    }
    return home.silent != silentBefore || home.unheard != unheardBefore;
}

/// Parts that daemons not heard yet may hold from a former home. They have run out a part's life after the
/// last one that it can have given.
double unlearned(const quota_home &home, const quota_plan &plan, const home_account &account, millis now)
{
    if (now >= givesFrom(home, plan) + plan.partLife) {
        return 0;
    }
    const double most = static_cast<double>(home.unheard) * plan.heldByOne;
    return std::max(0.0, std::min(plan.held - account.learned, most));
}

double heldBy(const home_account &account, millis now)
{
    double held = 0;
    for (const auto &[node, holding] : account.holdings) {
        held += holding.until > now ? holding.part : 0;
    }
    return held;
}

double homeShare(const quota_home &home, const quota_plan &plan, const home_account &account, millis now)
{
    const double taken = home.silent + unlearned(home, plan, account, now) + heldBy(account, now);
    return std::max(0.0, 1 - taken);
}

bool mayGive(const quota_home &home, const quota_plan &plan, millis now)
{
    return now >= givesFrom(home, plan);
}

/// What flows into an account's bucket from now on.
void setShare(const quota_home &home, const quota_plan &plan, home_account &account, const quota_limit &limit,
    millis now)
{
    account.share = mayGive(home, plan, now) ? homeShare(home, plan, account, now) : 0;
    fill(account.bucket, 0, account.share * limit.burst, now);
}

void fillAccount(home_account &account, const quota_limit &limit, millis now)
{
    fill(account.bucket, account.share * limit.rate, account.share * limit.burst, now);
}

/// Whether the ask is a new one of a process that lives. Notes from when on the daemon has been in contact:
/// an ask was sent after the answer that it acknowledges, and that answer left here at a known time.
bool hearRound(quota_home &home, const quota_asker &asker, const quota_request &ask, bool &first, millis now)
{
    const auto [at, isNew] = home.members.try_emplace(asker.node);
    quota_member &member = at->second;
    first = isNew;
    if (member.incarnation != asker.incarnation) {
        // A late message of a process that has ended. The time of its start tells, but for a clock that was
        // set back meanwhile; then its record does.
        if (!isNew && asker.incarnation < member.incarnation && !asker.recorded) {
            return false;
        }
        if (!isNew) {
            // One daemon runs under a name at a time: what the one before held went with it.
            for (auto &[hash, account] : home.accounts) {
                account.holdings.erase(asker.node);
            }
        }
        member.incarnation = asker.incarnation;
        member.rounds.clear();
        member.contact.reset();
    }
    if (!member.rounds.empty() && ask.round <= member.rounds.back().round) {
        return false;
    }
    for (const auto &before : member.rounds) {
        if (before.round == ask.lastAnsweredRound) {
            member.contact = std::max(member.contact, std::optional(before.heard - answerLife));
        }
    }
    member.rounds.push_back({ask.round, now});
    while (member.rounds.size() > roundsKept) {
        member.rounds.pop_front();
    }
    member.alone = std::max(fromPpm(ask.fallbackSharePpm), equalPart(home));
    return true;
}

/// The part that a daemon gets, in place of what it holds: by its demand among all, and no more than is free.
/// All that may be held is dealt out, so that daemons bear a home's end with room to spare.
double partFor(const quota_home &home, const quota_plan &plan, const home_account &account,
    const quota_limit &limit, const std::string &node, const quota_demand &want, millis now)
{
    const double held = fromPpm(want.heldSharePpm);
    if (!mayGive(home, plan, now)) {
        return held; // what is given back now couldn't be dealt out again
    }
    const double available = std::max(0.0, std::min(plan.held, 1 - home.fading - leastGiven));
    double demand = 0;
    double others = 0;
    for (const auto &[holder, holding] : account.holdings) {
        if (holding.until > now) {
            demand += holding.demand;
            others += holder == node ? 0 : holding.part;
        }
    }
    const double own = fromMilli(want.demandMilli);
    const double fair = demand > 0 ? available * own / demand : 0;
    const double target = std::min({fair, plan.headroom * own / limit.rate, plan.heldByOne});
    const double free = available - unlearned(home, plan, account, now) - others - held;
    if (now < givesFrom(home, plan) + learning) {
        // Who else there is, is not known yet.
        return std::max(held, std::min(target, held + std::max(0.0, free)));
    }
    const double part = std::max(0.0, std::min(target, held + free));
    const bool holdsRequest = part * limit.burst >= fromMilli(want.costMilli);
    return holdsRequest ? part : 0; // a bucket that never holds one is of no use
}

/// Takes what callers wait for out of the home's bucket, or says when there may be some.
void giveUnits(const quota_plan &plan, const quota_tolerance &rules, const quota_limit &limit,
    home_account &account, const quota_demand &want, quota_grant &give)
{
    const double moved = fromMilli(give.unitsMilli);
    const double need = std::max(0.0, fromMilli(want.needMilli) - moved);
    if (need <= 0) {
        return;
    }
    const double first = std::min(std::max(0.0, fromMilli(want.firstNeedMilli) - moved), need);
    const double debt = mostDebt(limit, rules);
    const double room = account.bucket.level >= 0 ? account.bucket.level + debt : 0;
    if (account.share > 0 && room >= first) {
        const std::int64_t given = toMilli(std::min(need, room));
        give.unitsMilli += given;
        account.bucket.level -= fromMilli(given);
        return;
    }
    if (account.share <= 0) {
        return; // nothing can be given yet, which says nothing of the limit
    }
    const double lacks = std::max(-account.bucket.level, first - debt - account.bucket.level);
    const double span = lacks * msPerSecond / (account.share * limit.rate);
    give.availableInMs =
        static_cast<std::int64_t>(std::clamp(span, 1.0, static_cast<double>(plan.partLife.count)));
}

/// An account that is asked for the first time had nothing given here since this is its home, so that its
/// burst is there; but not for times at which daemons may have used more of it than now.
home_account &accountOf(
    quota_home &home, const quota_plan &plan, const quota_limit &limit, std::uint64_t hash, millis now)
{
    const auto [at, isNew] = home.accounts.try_emplace(hash);
    home_account &account = at->second;
    if (isNew) {
        const millis learned = givesFrom(home, plan) + (home.unheard > 0 ? plan.partLife : millis{});
        account.bucket.filled = std::min(now, std::max({home.loosened, givesFrom(home, plan), learned}));
        setShare(home, plan, account, limit, now);
    }
    return account;
}

/// A part brings along what it takes off the bucket here, so that dealing a limit out loses nothing of a
/// burst.
void moveLevel(home_account &account, const quota_limit &limit, double growth, quota_grant &give)
{
    const double above = account.bucket.level - account.share * limit.burst;
    const double moved = std::min(above, growth * limit.burst);
    if (moved > 0) {
        give.unitsMilli += toMilli(moved);
        account.bucket.level -= moved;
    }
}

quota_grant answerWant(quota_home &home, const quota_plan &plan, const quota_tolerance &rules,
    const quota_limit &limit, const std::string &node, const quota_demand &want, bool first, millis now)
{
    home_account &account = accountOf(home, plan, limit, want.account, now);
    fillAccount(account, limit, now);
    const double held = fromPpm(want.heldSharePpm);
    account.learned += first ? held : 0;
    quota_holding &holding = account.holdings[node];
    holding.demand = fromMilli(want.demandMilli);
    holding.part = held;
    holding.until = now + plan.partLife;
    quota_grant give{want.account, 0, 0, 0};
    give.grantedSharePpm = toPpm(partFor(home, plan, account, limit, node, want, now));
    holding.part = std::max(held, fromPpm(give.grantedSharePpm));
    account.bucket.level += fromMilli(want.unusedMilli);
    const double growth = holding.part - held;
    account.share = mayGive(home, plan, now) ? homeShare(home, plan, account, now) : 0;
    moveLevel(account, limit, growth, give);
    fill(account.bucket, 0, account.share * limit.burst, now);
    giveUnits(plan, rules, limit, account, want, give);
    return give;
}

/// Lets what daemons that are cut off use flow into no bucket here, and what they don't use any more.
void refillAll(quota_home &home, const quota_plan &plan, const limit_lookup &limitOf, millis now)
{
    for (auto &[hash, account] : home.accounts) {
        const auto limit = limitOf(hash);
        if (!limit || !isLimited(*limit)) {
            continue;
        }
        // Since the last survey, which is long ago if this process stood still, daemons can have become cut
        // off at any time, but none can have come back unheard.
        const double before = account.share;
        account.share = std::min(before, mayGive(home, plan, now) ? homeShare(home, plan, account, now) : 0);
        fillAccount(account, *limit, now);
        setShare(home, plan, account, *limit, now);
    }
}

void dropOver(home_account &account, millis now)
{
    std::erase_if(account.holdings, [now](const auto &each) {
        return each.second.until <= now;
    });
}

}

quota_home beginHome(millis now, bool handedOver)
{
    quota_home home;
    home.since = now;
    home.handedOver = handedOver;
    return home;
}

void setFleet(quota_home &home, std::vector<std::string> fleet)
{
    home.fleet = std::move(fleet);
}

std::optional<quota_response> answerAsk(quota_home &home, const quota_plan &plan,
    const quota_tolerance &rules, const limit_lookup &limitOf, const quota_asker &asker,
    const quota_request &ask, millis now)
{
    bool first = false;
    if (!hearRound(home, asker, ask, first, now)) {
        return std::nullopt;
    }
    if (first) {
        home.surveyed = {}; // one daemon less that is unknown
    }
    if (survey(home, plan, now)) {
        refillAll(home, plan, limitOf, now);
    }
    quota_response answer{ask.shard, ask.round, toPpm(equalPart(home)), {}};
    for (const quota_demand &want : ask.demands) {
        const auto limit = limitOf(want.account);
        if (!limit || !isLimited(*limit)) {
            answer.grants.push_back({want.account, 0, 0, 0});
            continue;
        }
        answer.grants.push_back(answerWant(home, plan, rules, *limit, asker.node, want, first, now));
        dropOver(home.accounts[want.account], now);
    }
    return answer;
}

double shareOfHome(
    quota_home &home, const quota_plan &plan, const limit_lookup &limitOf, std::uint64_t account, millis now)
{
    if (survey(home, plan, now)) {
        refillAll(home, plan, limitOf, now);
    }
    const auto found = home.accounts.find(account);
    return found == home.accounts.end() ? 0 : found->second.share;
}

void forgetAccounts(quota_home &home, const limit_lookup &limitOf)
{
    std::erase_if(home.accounts, [&limitOf](const auto &each) {
        const auto limit = limitOf(each.first);
        return !limit || !isLimited(*limit);
    });
}

}
