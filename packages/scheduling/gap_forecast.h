#pragma once

#include <cstdint>

// Predicts the longest inter-event gap that reading a prompt causes to the streams of a model server. A
// server reads prompts in chunks between the decode steps of its streams, and an event spans several steps,
// so that several chunks can fall into one gap. Pure functions over plain structs.
namespace briarhead {

/// What a forecast needs to know of a server.
struct gap_basis
{
    double tokensPerMs = 0; ///< measured prefill speed; 0: unknown
    std::int64_t chunkTokens = 0; ///< prompt tokens read in one step at most; 0: unknown
};

/// Steps that one stream event spans at least, and their duration without prefill, on the deployments known
/// so far (3 or 4 tokens; 6.8 to 10.5 ms). A slower server's steps are part of its measured prefill speed,
/// which is taken over whole spans of work.
constexpr int stepsPerEvent = 3;
constexpr double eventSpanMs = 30;

/// The longest gap of a stream while this many prompt tokens are read beside it. Where the chunk size is not
/// known, all of them are taken to fall into one gap, which is the case of the largest chunks in use (4,096
/// tokens) for any prompt up to 12,288 tokens. 0 if the speed is not known.
double forecastGapMs(const gap_basis &server, std::int64_t readTokens);

/// The prompt tokens that may be read within one event's time without a gap over the limit.
std::int64_t maxTokensWithinGap(const gap_basis &server, double limitMs);

/// The probability that the gap exceeds the limit, given its forecast. Rises linearly around the limit, since
/// prefill speeds vary by about a fifth with the length of prompts and with what the server has cached.
double gapExcessProbability(double forecastMs, double limitMs);
constexpr double gapForecastError = 0.2;

/// Statistics of the prompt lengths that an entry has seen for a service: mean and variance of the logarithm.
struct prompt_lengths
{
    double meanLog = 0;
    double varianceLog = 0;
    double sampleCount = 0; ///< at most `lengthWindowRequests`
};

/// The statistics are moving averages over about this many requests, as those of the response lengths are.
constexpr double lengthWindowRequests = 100;
/// Below this many requests no share is stated, because fewer say little about the longest prompts.
constexpr double minLengthRequests = 20;

void recordPromptLength(prompt_lengths &lengths, std::int64_t promptTokens);
/// The share of prompts longer than this, taking lengths to be log-normal.
double shareLongerThan(const prompt_lengths &lengths, std::int64_t promptTokens);

/// The limits on gaps that matter for a request.
struct gap_terms
{
    double limitMs = 0; ///< shortest limit of the service's streams; 0: no forecast
    double ownLimitMs = 0; ///< longest gap with which this request's response is on time; 0: none stated
    std::int64_t outputTokens = 0; ///< announced by the request
    prompt_lengths lengths; ///< of the service's prompts
};

/// The share of the service's prompts whose prefill alone would exceed the request's own limit on gaps at the
/// server; 0 if none is stated.
double breakingShare(const gap_basis &server, const gap_terms &terms);

/// The expected loss, in ms of waiting, from sending a prompt to a server that has `streams` running: the
/// streams whose limit the prompt breaks, and the chance that this request's own response has a gap over the
/// limit there.
double gapLossMs(
    const gap_basis &server, std::uint32_t streams, std::int64_t promptTokens, const gap_terms &terms);

/// A late response loses about 0.6 of its value on the deployments known so far (0.5 to 0.7), and one second
/// of waiting is worth a whole request.
constexpr double lateLossMs = 600;

}
