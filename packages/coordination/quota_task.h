#pragma once

#include "coordination/quota_desk.h"
#include "coordination/quota_home.h"
#include "transport/loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhead {

/// Who is a shard's home, as recorded where only one daemon at a time can be.
struct home_record
{
    std::string node; ///< empty: the last one has given it up
    std::int64_t term = 0; ///< differs for each daemon that takes it, each time
    bool own = false; ///< this process took it, and its lease lives
    bool settled = false; ///< whoever was the home before gives nothing any more
};

enum class quota_event : std::uint8_t
{
    HomeTaken, ///< this daemon is a shard's home now
    HomeLost,
    HomeFound, ///< another daemon is
    HomeReleased, ///< this daemon has stopped being one, for a successor
};

std::string_view nameOf(quota_event value);

/// What the task tells the log.
struct quota_note
{
    quota_event event = quota_event::HomeTaken;
    std::uint32_t shard = 0;
    std::string home;
    std::int64_t term = 0;
    bool handedOver = false;
};

/// The task's ways to the other daemons, to the records and to the log; each daemon program has its own.
struct quota_links
{
    std::string self;
    std::uint64_t incarnation = 0;
    std::function<std::size_t()> daemons; ///< how many there are
    std::function<std::vector<std::string>()> live; ///< those, which may become a home
    std::function<std::vector<std::string>()> fleet; ///< those and others that may still hold a part
    std::function<void(const std::string &daemon, const quota_request &ask)> ask;
    std::function<void(const std::string &daemon, const quota_response &answer)> answer;
    /// Nothing: there is no record.
    std::function<std::optional<home_record>(std::uint32_t shard)> homeOf;
    std::function<void(const std::string &daemon, const quota_release &release)> release;
    /// Takes a shard that has no home, or also one whose home has released it.
    std::function<void(std::uint32_t shard, bool released)> claim;
    /// Records that whoever was the home before gives nothing any more; the term changes with it.
    std::function<void(std::uint32_t shard)> settle;
    /// Whether this daemon can't renew its records while others could write them.
    std::function<bool()> cutFromRecords;
    /// Until when this daemon can prove that its records stand.
    std::function<millis()> provenUntil;
    limit_lookup limitOf;
    std::function<void(const quota_note &note)> log;
};

struct quota_counters
{
    std::uint64_t asks = 0;
    std::uint64_t answers = 0; ///< given as a home
};

/// What a daemon holds of an account's limit, for log lines.
struct quota_standing
{
    double share = 0; ///< fraction of the limit
    double level = 0; ///< units in the bucket here
    std::string home;
    millis contactAge{-1}; ///< since the latest ask that was answered; negative: none was
};

/// Keeps client accounts within their limits, over all daemons together; see quota_plan.h.
class quota_task
{
public:
    using on_decision = std::function<void(const quota_decision &)>;

    quota_task(loop &eventLoop, quota_links links, const quota_plan &plan, const quota_tolerance &rules);

    /// Takes units for a request. `done` may be called from inside. Returns what dropTake() wants while it
    /// waits; 0: it doesn't.
    std::uint64_t take(std::uint64_t account, const quota_limit &limit, double cost, on_decision done);
    void dropTake(std::uint64_t account, std::uint64_t waiting);
    /// Units taken for a request which did not run; once for each.
    void giveBack(std::uint64_t account, double cost);
    /// From the taking of units until they have to be taken anew.
    millis unitsLife() const;

    void hear(const quota_asker &asker, const quota_request &ask);
    void hear(const quota_response &answer);
    void hear(const quota_release &release);
    /// After a change of the configuration: whether any account has a limit, at all.
    void onLimits(bool any);
    /// After a change of the records or of the fleet.
    void onRecords();
    /// Gives nothing as a home any more: the records are about to be given up.
    void stop();

    quota_standing standing(std::uint64_t account) const;
    const quota_counters &counters() const;

private:
    struct own_home
    {
        std::int64_t term = 0;
        quota_home book;
    };

    void tick();
    void sendAsks();
    void settleAll(const std::vector<quota_settled> &settled);
    bool isProposed(std::uint32_t shard, millis vacantFor) const;
    void claimVacant();
    void releaseHomes();
    void settleHomes();

    loop &m_loop;
    quota_links m_links;
    quota_desk m_desk;
    std::map<std::uint32_t, own_home> m_homes; ///< by shard
    std::map<std::uint32_t, millis> m_vacantSince; ///< by shard
    std::map<std::uint32_t, bool> m_handedOver; ///< of claims under way
    std::map<std::uint32_t, std::int64_t>
        m_released; ///< shards, and the terms in which nothing is given any more
    std::map<std::uint64_t, on_decision> m_waiting;
    std::uint64_t m_lastWaiting = 0;
    quota_counters m_counters;
    millis m_claimedAt;
    bool m_active = false;
    bool m_stopped = false;
    std::shared_ptr<void> m_timer;
};

}
