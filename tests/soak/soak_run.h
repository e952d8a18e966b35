#pragma once

#include "serving/backend_standin.h"
#include "serving/fault_proxy.h"
#include "serving/store_standin.h"
#include "soak/daemon_process.h"
#include "soak/soak.h"
#include "soak/soak_plan.h"
#include "soak/witness.h"
#include "transport/backend_pool.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

// Shared by the sources of a soak's run alone.
namespace briarhead::soak {

using behavior = backend_standin::behavior;

constexpr millis shortLeaseTtl{3'000};
constexpr millis longestDaemonLease{60'000}; ///< longer ones are for records that outlive daemons
constexpr millis lookEvery{20};
/// What the smallest daemon of a large deployment has.
constexpr std::size_t maxResidentKb = 160 * 1024;
constexpr std::size_t failureDomains = 2;
constexpr millis deadline{3'000};
/// Beyond its deadline a request of an undisturbed daemon is overdue; wide, since the machine may be loaded.
constexpr millis overdue{2'000};
/// A daemon counts as undisturbed this long after the end of what was done to it, as on the platform.
constexpr millis calmAfter{3'000};
/// The platform's bound for a configuration is 2 s; the rest is for a loaded machine.
constexpr millis configBound{6'000};
constexpr millis graceBound{14'000}; ///< 8 s on the platform
constexpr millis recoveryBound{20'000}; ///< 12 s on the platform
constexpr millis startBound{20'000};
constexpr millis longestTurn{12'000}; ///< at the lowest limit
constexpr millis probeTimeout{2'000};
constexpr int adapters = 6;
constexpr int places = 2;
constexpr int requestsAfter = 40;
/// A server that crashed under a request is back this long after; its entry goes later.
constexpr millis serverBack{400};
constexpr millis entryStays{1'200};
inline const std::string fatalBody = "fatal";
/// Requests with the fatal part have the first of these before it, as half of the sound ones have.
inline const std::string fatalPart = "bad1";
constexpr int secondParts = 7; ///< of sound prompts
/// One account without a limit, one that asks for more than its limit. Each version has a key of its own,
/// which the next one withdraws.
inline const std::string freeKey = "key-ana";
inline const std::string limitedKey = "key-eva";
constexpr std::size_t limitedOneIn = 6;
inline std::string versionKey(int version)
{
    return "key-of-version-" + std::to_string(version);
}
constexpr std::size_t resumableKind = 3;
constexpr int eventsOfAStream = 4;
constexpr int maxTakenUp = 3; ///< times, by a caller whose stream is cut
constexpr std::size_t longestAbsenceMs = 300; ///< until a caller takes its stream up
constexpr const char *paths[] = {"/once/x", "/safe/x", "/gen/x", "/resume/x"};
constexpr std::size_t servedAfterAtLeast = 38;

/// One backend server and the proxy that all daemons reach it through.
struct served_server
{
    std::string name;
    std::string service;
    int starts = 0;
    std::unique_ptr<backend_standin> standin;
    std::unique_ptr<fault_proxy> proxy;
    std::vector<std::unique_ptr<fault_proxy>> links; ///< to the proxy, by failure domain
};

/// A server that has ended has no behavior, and no bytes reach it.
inline void setMood(served_server &server, behavior value)
{
    if (server.standin) {
        server.standin->currentBehavior = value;
    }
}

inline void setLink(served_server &server, link_fault value)
{
    if (server.proxy) {
        server.proxy->setFault(value);
    }
}

/// How a request differs from a plain one.
struct send_variant
{
    resumed_stream resumed;
    bool newConnection = false; ///< to the daemon that most of them go to, if there is one
    bool hasFatalPart = false;
};

class soak_run
{
public:
    explicit soak_run(const soak_options &options);
    soak_report run();

private:
    void startServer(served_server &server);
    void putConfig();
    void apply(const fault &what);
    void applyToDaemon(const fault &what);
    void applyToStore(const fault &what);
    void changeConfig();
    void checkConfig(int version, millis changed);
    void checkLog(const daemon_process &daemon);
    void checkKey(daemon_process &daemon, int version, millis since);
    void cutDomain(const cut_plan &cut);
    void endCut(std::size_t domain);
    void makeBrittle(const brittle_plan &plan);
    void nameVersion(int adapter);
    void nameVersionBeforeLateWrite(const power_loss_plan &plan);
    void killAllDaemons();
    void setStoreFault(store_fault value);
    void nameLimit(const limit_change_plan &change);
    void say(const word_plan &plan);
    void unsay(served_server &server, const std::string &id);
    void replace(served_server &server);
    void heal();
    bool limitsKnownToHaveEnded(millis since) const;
    void look();
    std::size_t below(std::size_t bound);
    void sendOne();
    void send(
        std::size_t kind, const std::string &body, const std::string &key, const send_variant &variant = {});
    void takeUp(const resumed_stream &stream);
    bool severalVersionsServe() const;
    bool isServed(const std::string &softwareVersion) const;
    void sendFatal();
    void sendFatalPart();
    void sendToCrowded();
    std::size_t crowdedDaemon() const;
    void beginSpell(const server_spell &spell, backend_standin::behavior mood, const char *what);
    void delayConnects(const server_spell &spell);
    void checkMemory(const daemon_process &daemon);
    std::string promptOf(const std::string &id, bool fatal) const;
    bool isCalm(const std::string &name) const;
    void crashUnder(served_server &server, const std::string &requestId);
    void collect(served_server &server);
    bool runUntil(millis bound, const std::function<bool()> &condition);
    void runFor(millis span);
    void askReady(daemon_process &daemon);
    bool allReady() const;
    void after(millis span, std::function<void()> call);

    soak_options m_options;
    loop m_loop;
    std::mt19937_64 m_random;
    fake_store m_store{m_loop};
    std::vector<std::unique_ptr<store_standin>> m_storeServers; ///< by failure domain
    backend_pool m_pool{m_loop};
    std::vector<served_server> m_servers;
    std::vector<std::unique_ptr<fault_proxy>> m_storeLinks; ///< by daemon
    std::vector<daemon_process> m_daemons;
    std::vector<link_fault> m_cuts; ///< of each failure domain from all servers
    std::vector<std::shared_ptr<void>> m_timers;
    witness m_witness;
    soak_report m_report;
    int m_version = 1;
    int m_lastId = 0;
    int m_storeTroubles = 0;
    millis m_storeDisturbed; ///< when the store's last trouble ended
    millis m_begin;
    fatal_spell m_fatal;
    fatal_spell m_fatalPart;
    std::vector<crowd_plan> m_crowds;
    bool m_healed = false;
};

}
