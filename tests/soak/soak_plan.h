#pragma once

#include "state/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What goes wrong in a soak, and when: drawn from a seed alone, so that a seed that failed fails again.
namespace briarhead::soak {

enum class fault_kind : std::uint8_t
{
    KillDaemon, ///< SIGKILL; it starts again after a moment
    PauseDaemon, ///< SIGSTOP, then SIGCONT
    EndDaemon, ///< SIGTERM; it starts again
    RereadSettings, ///< SIGHUP
    StoreTrouble, ///< for everyone: refuses, is silent, or loses the answers of writes
    StoreLink, ///< of one daemon: delayed, silent, without answers, reset
    ServerLink, ///< of one server, for all daemons
    ServerMood, ///< it fails, sheds, is busy, slow or silent, cuts its streams, doesn't sign
    CrashServer, ///< it comes back as another, with nothing in it
    ChangeConfig,
    NameVersion, ///< of an adapter
    ForgetHistory, ///< the store's; watches are told to read anew
};

std::string_view nameOf(fault_kind value);

struct fault
{
    millis at; ///< since the start of traffic
    millis lasts;
    fault_kind kind = fault_kind::KillDaemon;
    std::size_t target = 0; ///< index of the daemon or server
    std::size_t variant = 0; ///< of kinds that have several
};

/// Faults of `length`, about one each 700 ms, a third of them in a series on the same target. They overlap.
std::vector<fault> drawFaults(std::uint64_t seed, millis length, std::size_t daemons, std::size_t servers);

/// A caller sends one request again and again that ends each server that runs it.
struct fatal_spell
{
    millis from; ///< since the start of traffic
    millis until;
    millis every;
    std::size_t route = 0; ///< the kind of request it is, counted as the soak's routes are
};

/// Drawn apart from the faults, which stay what a seed has always drawn.
fatal_spell drawFatalSpell(std::uint64_t seed, millis length);
/// Callers send different model requests with one prompt part in common that crashes each server that runs
/// it. Drawn apart from the faults.
fatal_spell drawFatalPartSpell(std::uint64_t seed, millis length);

/// A server names a limit from then on, or none.
struct limit_change_plan
{
    millis at; ///< since the start of traffic
    std::size_t server = 0;
    std::optional<double> perSecond;
};

/// A server turns requests away and asks for pauses for a while, or says that it leaves and then ends.
struct word_plan
{
    millis at; ///< since the start of traffic
    millis lasts;
    std::size_t server = 0;
    std::string pause; ///< seconds; empty: it leaves
};

/// Drawn apart from the faults.
std::vector<word_plan> drawWords(std::uint64_t seed, millis length, std::size_t servers);

/// Something is wrong with one server for a while.
struct server_spell
{
    millis at; ///< since the start of traffic
    millis lasts;
    std::size_t server = 0;
};

/// Spells in which a server's responses are bytes without end. Drawn apart from the faults.
std::vector<server_spell> drawEndless(std::uint64_t seed, millis length, std::size_t servers);
/// Spells in which a model server sends large responses that are no streams, and breaks them off. Drawn apart
/// from the faults.
std::vector<server_spell> drawSpoiling(std::uint64_t seed, millis length, std::size_t modelServers);
/// Spells in which connections to a server are not established, while open ones live on. Drawn apart from the
/// faults.
std::vector<server_spell> drawSlowConnects(std::uint64_t seed, millis length, std::size_t servers);

/// Most new connections go to one daemon, and there are more of them.
struct crowd_plan
{
    millis at; ///< since the start of traffic
    millis lasts;
    std::size_t daemon = 0;
};

/// Drawn apart from the faults; one follows the other at another daemon.
std::vector<crowd_plan> drawCrowds(std::uint64_t seed, millis length, std::size_t daemons);

/// All daemons are killed at once. Shortly before, versions of an adapter are declared, and the store
/// executes the write of an older one late.
struct power_loss_plan
{
    millis at; ///< since the start of traffic
    millis versionsBefore;
    millis lateBy; ///< from the declaration on
    std::size_t adapter = 0;
};

/// Drawn apart from the faults.
std::vector<power_loss_plan> drawPowerLosses(std::uint64_t seed, millis length);

/// All daemons of a failure domain are cut off from all servers.
struct cut_plan
{
    millis at; ///< since the start of traffic
    millis lasts;
    std::size_t domain = 0;
    std::size_t variant = 0; ///< of how links are cut
};

/// Drawn apart from the faults; they come in series.
std::vector<cut_plan> drawCuts(std::uint64_t seed, millis length, std::size_t domains);

/// A plain server announces from then on that it is brittle.
struct brittle_plan
{
    millis at; ///< since the start of traffic
    std::size_t server = 0;
    int maxRejections = 0; ///< per second
};

/// Drawn apart from the faults, for servers `first` to `last`, without the last.
std::vector<brittle_plan> drawBrittle(std::uint64_t seed, std::size_t first, std::size_t last);

/// How a server frames its responses: those of streams and of plain requests by their connection, or not.
struct ending_plan
{
    bool byConnection = false;
    int cutOneIn = 0; ///< of its responses, at a random byte; 0: none
    bool secondVersion = false; ///< of its software
};

/// Drawn apart from the faults, for each start of a server.
ending_plan drawEnding(std::uint64_t seed, std::size_t server, int start);

/// Drawn apart from the faults. Several servers name limits at once; some rise, fall or end midway.
std::vector<limit_change_plan> drawLimits(std::uint64_t seed, millis length, std::size_t servers);

}
