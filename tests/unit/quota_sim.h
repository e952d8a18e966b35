#pragma once

#include "coordination/quota_client.h"
#include "coordination/quota_home.h"

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace briarhead {

/// How the limit is shared; SharesAndHome is the real strategy, the others are for comparison.
enum class quota_strategy : std::uint8_t
{
    Equal, ///< each daemon has the same fixed share
    HomeOnly, ///< the home is asked for every request
    SharesAndHome, ///< shares by demand, and the home grants the rest
};

struct quota_sim_options
{
    int daemons = 12;
    quota_limit limit{10'000, 10'000};
    quota_tolerance rules{millis{8'000}, 0.1, 17'000};
    quota_strategy strategy = quota_strategy::SharesAndHome;
    quota_plan plan = defaultQuotaPlan;
    double meanCost = 2'400;
    double loss = 0; ///< fraction of messages that are lost
    double duplication = 0;
    int maxDelayMs = 4; ///< of a message
    int maxSlotWaitMs = 400; ///< from acquiring units to sending the request
    bool byRank = false; ///< the limit goes to the most urgent requests first
    bool homeKnowsRanks = true; ///< the homes understand extended_quota_request
    unsigned seed = 1;
};

/// Simulates daemons that share one account's limit over a network that loses, duplicates and delays
/// messages, in steps of 10 ms. Each daemon has its own clock. Units are counted when a server receives the
/// request.
class quota_sim
{
public:
    explicit quota_sim(const quota_sim_options &options);

    void run(millis span);
    /// Sets the units per second that callers of a daemon demand, and how much of that is of the most urgent
    /// rank.
    void setDemand(int daemon, double unitsPerSecond, double urgent = 0);
    void setLimit(const quota_limit &limit);
    /// A new configuration in which the limit goes by rank or no longer does.
    void setByRank(bool byRank);
    void kill(int daemon);
    void restart(int daemon);
    /// Pauses a daemon; its messages wait.
    void freeze(int daemon, millis span);
    /// Messages pass only between daemons of the same group. All start in group 0.
    void setGroup(int daemon, int group);
    /// Makes another daemon the home. The former home may continue until its lease ends.
    void moveHome(int daemon, bool handedOver);
    void removeHome();

    millis now() const;
    int home() const;
    /// The maximum number of units that ran in any window, as a fraction of what is allowed.
    double maxWindowUsage() const;
    /// Units that ran in a period of time.
    double used(millis from, millis to) const;
    double demanded(millis from, millis to) const;
    double usedBy(int daemon, millis from, millis to) const;
    /// The same for requests of the most urgent rank.
    double urgentUsed(millis from, millis to) const;
    double urgentDemanded(millis from, millis to) const;
    std::size_t messages() const;
    /// The maximum fraction of the limit in use at once, by running daemons and by homes that may grant.
    double maxSharesInUse() const;

private:
    struct sim_request
    {
        std::uint64_t id = 0;
        double cost = 0;
        quota_urgency urgency = quota_urgency::MostUrgent;
    };

    struct sim_daemon
    {
        std::uint64_t incarnation = 1;
        bool up = true;
        millis frozenUntil;
        millis clockOffset;
        int group = 0;
        double demand = 0;
        double urgentDemand = 0; ///< part of `demand`
        quota_client client;
        std::uint64_t lastRequest = 0;
        std::vector<sim_request> waiting; ///< for the home
    };

    struct message
    {
        millis due;
        int from = 0;
        int to = 0;
        std::uint64_t incarnation = 0;
        bool isRequest = false;
        addressed_request request;
        quota_response response;
    };

    struct sim_home
    {
        int daemon = -1;
        std::uint64_t incarnation = 0;
        std::int64_t term = 0;
        millis grantsFrom;
        millis until{1'000'000'000}; ///< it grants nothing later
        quota_home state;
    };

    /// Units that were acquired for a request that has not been sent yet.
    struct acquired_units
    {
        int daemon = 0;
        std::uint64_t incarnation = 0;
        double cost = 0;
        quota_urgency urgency = quota_urgency::MostUrgent;
        millis at; ///< by the daemon's clock
        millis sendAt;
    };

    struct usage
    {
        millis at;
        int daemon = 0;
        double units = 0;
        bool urgent = true;
    };

    millis clockOf(const sim_daemon &node) const;
    bool isRunning(const sim_daemon &node) const;
    void step();
    void deliver();
    void arrivals(int index);
    void request(int index, double cost, quota_urgency urgency);
    void onGranted(int index, double cost, quota_urgency urgency);
    void onResolved(int index, const std::vector<resolved_waiter> &resolved);
    void sendRequests(int index);
    void sendAcquired();
    double sharesInUse();
    limit_lookup limits() const;
    void send(int from, int to, message sent);
    void announceHome(sim_daemon &node);
    double random();

    quota_sim_options m_options;
    quota_limit m_limit;
    std::mt19937 m_random;
    millis m_now{100'000};
    std::vector<sim_daemon> m_daemons;
    std::deque<message> m_network;
    std::vector<sim_home> m_homes; ///< the last one is current; earlier ones may still grant
    std::vector<acquired_units> m_acquired;
    std::vector<usage> m_used;
    std::vector<usage> m_demanded;
    std::size_t m_messages = 0;
    double m_maxSharesInUse = 0;
};

}
