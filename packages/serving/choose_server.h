#pragma once

#include "state/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Which backend server a request goes to. Pure functions over what an entry knows at that moment.
namespace briarhead {

enum class residence : std::uint8_t
{
    Absent, ///< to be loaded from the weight store
    Remembered, ///< the server held it lately and has a copy in its memory
    Coming,
    Resident,
};

std::string_view nameOf(residence value);

/// A model server as an entry sees it.
struct model_candidate
{
    residence adapter = residence::Absent;
    bool held = true; ///< the base model is there
    bool heard = true; ///< by beats; else nothing is known of it but who gives its orders
    bool sameDomain = false;
    bool excluded = false; ///< tried already, leaving, or without a path
    std::uint32_t openPlaces = 0; ///< for another adapter
    std::uint32_t longAnswers = 0; ///< that run there
    double backlogMs = 0; ///< reading that is ahead
    double failures = 0; ///< share of its latest answers that failed, 0 to 1
    std::size_t hashRank = 0; ///< place in the adapter's rendezvous order
    double uses = 0; ///< of the adapter there of late
};

/// Sending a prompt to another failure domain and its answer back costs 1 to 2% of what the request is
/// worth: as much as this much waiting, if a second is worth all of it.
constexpr double otherDomainMs = 50;
/// An adapter from the weight store takes 250 ms. The rest is what a further copy costs others: at high load
/// more adapters are in use at once than the servers have places, so each copy sends another adapter's
/// callers away. Raised from 350 in steps on the first deployments' days, the mean worth of a day grew by a
/// tenth up to about 900 and no further.
constexpr double absentMs = 900;
constexpr double comingMs = 120;
/// An adapter that the server remembers is there in 25 ms and isn't fetched from the weight store, but takes
/// a place as any other. On a third customer's days with trouble, 250 to 500 earn one part in a hundred of
/// what is owed more than treating it as absent, and 6% fewer adapters are fetched.
constexpr double rememberedMs = 500;
/// Nothing can yield, as last told: a run has to end first.
constexpr double noPlaceMs = 600;
/// Gathers the copies of an adapter on few servers, so that one of them remembers it when it is asked for
/// again; at 25 a day's loads from there were a third more.
constexpr double hashRankMs = 150;
constexpr std::size_t hashRanksCounted = 6;
/// Servers without beats are asked only as one of an adapter's first so many.
constexpr std::size_t unheardRanks = 2;
/// A server that fails all it gets isn't worth the whole first second.
constexpr double failureMs = 2'000;

/// Servers that one request asks for a place before it is refused. When places are short, each further server
/// that loads a rare adapter drives out another that is asked for, and the weight store slows down for all:
/// on the load model's days of high load, two or three serve more than four and eight; on quiet days eight
/// serve 1.5% more, since a load is then all that a further try costs.
constexpr int placesAsked = 3;

/// Each prompt that is read makes the streams of its server pause, the more the longer it is, and a long
/// answer has hundreds of steps in which a pause can be too long. So short answers keep away from servers
/// with long ones, and long ones gather. On the load model's day of high load on 60 servers, 5% of the long
/// answers have a pause that is too long in place of 37%, and the worth of all, less loads, is 0.70 of what
/// is owed in place of 0.64.
constexpr double longAnswerMs = 120; ///< for each long answer there
constexpr std::uint32_t longAnswersCounted = 10;

/// What answers are asked for, as announced with the requests of late.
struct answer_mix
{
    double meanTokens = 0;
    double longShare = 0; ///< of the requests, those that announce more than the mean
    double seen = 0; ///< requests, up to as many as count
};

/// The mix is a mean over about so many requests: some twenty seconds of one entry's.
constexpr double mixRequests = 100;
/// Long answers can keep to themselves while they are few: up to the first share with all of the weight, from
/// the second on with none. Three customers' mixes have 0.2, 0.2 and 0.6. At the last, where they are on
/// every server anyhow, keeping apart only drives adapters to further servers: it earned 6% less there, and
/// 5% more at the first.
constexpr double fewLongAnswers = 0.25;
constexpr double manyLongAnswers = 0.4;

/// With fewer requests seen nothing is kept apart: the first few say little of the mix.
constexpr double mixKnown = 20;

void noteAnswer(answer_mix &mix, std::int64_t outputTokens);
bool isLongAnswer(const answer_mix &mix, std::int64_t outputTokens);

/// What a request asks of a server.
struct prompt_shape
{
    std::int64_t promptTokens = 0;
    bool longAnswer = false;
    double apart = 1; ///< how much long answers keep apart in this mix, 0 to 1
    double copyShare = 1; ///< of what a copy of its adapter takes from others, what this request answers for
};

/// What one more copy takes from others is for all who will use it. With uses shared evenly among the copies,
/// up to this many of late (see useScoreHalfLife) make a copy for one request alone; beyond, each answers for
/// less. So a popular adapter is copied before its callers are late: of the five most asked for, a quarter of
/// the requests was refused with eight copies each, on 78 servers. There and on 60 and 79 servers it earns
/// one part in a hundred of what is owed on days of high load, on 9 to 12 servers nothing.
constexpr double usesOfOne = 4;

double copyShareOf(const std::vector<model_candidate> &servers);

prompt_shape shapeOf(const answer_mix &mix, std::int64_t promptTokens, std::int64_t outputTokens);

/// A prompt of this length weighs as above; a pause grows with the length, and the chance that two of them
/// make one that is too long grows faster. Of exponents from 0 to 3, 1.5 is best on the load model.
constexpr double usualPromptTokens = 2'400;
constexpr double promptExponent = 1.5;
constexpr double leastPromptShare = 0.2;
constexpr double mostPromptShare = 3;

/// The expected cost of a candidate in ms of waiting; nothing where it can't serve.
std::optional<double> costOf(const model_candidate &server, const prompt_shape &prompt);

/// Index of the cheapest, or nothing.
std::optional<std::size_t> chooseModelServer(
    const std::vector<model_candidate> &servers, const prompt_shape &prompt);

/// A plain server as an entry sees it.
struct plain_candidate
{
    bool excluded = false;
    bool sameDomain = false;
    int slots = 1;
    int mine = 0; ///< requests of this entry that run there
    double failures = 0;
    bool limited = false; ///< it names a limit, so that a turn there has to be asked for
    double turnWait = 0; ///< for that turn, in the request's target
    std::uint64_t tieBreak = 0;
};

/// Share of a server's slots that a way to another failure domain weighs.
constexpr double otherDomainLoad = 0.35;
constexpr double failureLoad = 2.0;
/// A turn is a question to another daemon away, and may be gone.
constexpr double limitedLoad = 0.5;

std::optional<std::size_t> choosePlainServer(const std::vector<plain_candidate> &servers);

/// How a server's latest answers went; drives `failures` above.
struct server_record
{
    double failures = 0; ///< moving share
    millis at; ///< of the last answer
};

/// Weight of one answer in the moving share.
constexpr double recordWeight = 0.2;
/// A server that was avoided is tried again as the record fades: half of it is gone after this long.
constexpr millis recordHalfLife{3'000};

void recordAnswer(server_record &record, bool failed, millis now);
double failuresNow(const server_record &record, millis now);

}
