#pragma once

#include "coordination/quota_desk.h"
#include "coordination/quota_home.h"

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace briarhead {

/// How a limit is shared, for comparison.
enum class quota_way : std::uint8_t
{
    Equal, ///< each daemon has the same fixed part
    HomeOnly, ///< every request asks the home
    PartsAndHome, ///< parts by demand, and the home for the rest
};

struct quota_sim_options
{
    int daemons = 12;
    quota_limit limit{10'000, 10'000};
    quota_tolerance rules{millis{8'000}, 0.1, 17'000};
    quota_way way = quota_way::PartsAndHome;
    quota_plan plan = usualQuotaPlan;
    double meanCost = 2'400;
    double loss = 0; ///< of messages
    double doubled = 0;
    int delayMost = 4; ///< ms, of a message
    int placeWaitMost = 400; ///< ms, from the units to the send
    unsigned seed = 1;
};

/// Daemons that share one account's limit over a net that loses, doubles and delays, in steps of 10 ms. Each
/// has a clock of its own, which differs from the others'. Units are counted when a server gets the request.
class quota_sim
{
public:
    explicit quota_sim(const quota_sim_options &options);

    void run(millis span);
    /// Units a second that callers of a daemon ask for.
    void setDemand(int daemon, double unitsPerSecond);
    void setLimit(const quota_limit &limit);
    void kill(int daemon);
    void restart(int daemon);
    /// It stands still, and its messages wait.
    void freeze(int daemon, millis span);
    /// Nothing passes between it and those of other groups. All begin in group 0.
    void setGroup(int daemon, int group);
    /// Another daemon becomes the home. The former one may go on for as long as its lease can last.
    void moveHome(int daemon, bool handedOver);
    void loseHome();

    millis now() const;
    int home() const;
    /// The most that ran in any window, over what may run there.
    double worstWindow() const;
    /// Units that ran between two points in time.
    double used(millis from, millis to) const;
    double asked(millis from, millis to) const;
    double usedBy(int daemon, millis from, millis to) const;
    std::size_t messages() const;
    /// The most of the limit that was in use at once, by daemons that run and homes that may give: 1 is all.
    double mostShares() const;

private:
    struct process
    {
        std::uint64_t incarnation = 1;
        bool up = true;
        millis frozenUntil;
        millis clockAhead;
        int group = 0;
        double demand = 0;
        quota_desk desk;
        std::uint64_t lastRequest = 0;
        std::vector<std::pair<std::uint64_t, double>>
            waiting; ///< callers whose home is asked, and their cost
    };

    struct message
    {
        millis due;
        int from = 0;
        int to = 0;
        std::uint64_t incarnation = 0;
        bool isAsk = false;
        quota_request ask;
        quota_response answer;
    };

    struct holder
    {
        int daemon = -1;
        std::uint64_t incarnation = 0;
        std::int64_t term = 0;
        millis givesFrom;
        millis until{1'000'000'000}; ///< it gives nothing later
        quota_home book;
    };

    /// Units that were taken, on their way to a server.
    struct taken
    {
        int daemon = 0;
        std::uint64_t incarnation = 0;
        double cost = 0;
        millis at; ///< by the daemon's clock
        millis sendAt;
    };

    struct use
    {
        millis at;
        int daemon = 0;
        double units = 0;
    };

    millis clockOf(const process &one) const;
    bool runs(const process &one) const;
    void step();
    void deliver();
    void arrivals(int index);
    void granted(int index, double cost);
    void settle(int index, const std::vector<quota_settled> &settled);
    void sendAsks(int index);
    void sendDue();
    double sharesInUse();
    limit_lookup limits() const;
    void post(int from, int to, message one);
    void introduceHome(process &one);
    double random();

    quota_sim_options m_options;
    quota_limit m_limit;
    std::mt19937 m_random;
    millis m_now{100'000};
    std::vector<process> m_processes;
    std::deque<message> m_net;
    std::vector<holder> m_holders; ///< the last one counts; those before may still give
    std::vector<taken> m_taken;
    std::vector<use> m_used;
    std::vector<use> m_asked;
    std::size_t m_messages = 0;
    double m_mostShares = 0;
};

}
