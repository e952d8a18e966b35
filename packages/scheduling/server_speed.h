#pragma once

#include "state/clock.h"

#include <cstdint>

// Learns how fast a model server reads prompts, from the time that prompts take from their admission to their
// first event. Only prompts that are alone in prefill all that time count, so that a long queue is not taken
// for slowness. Pure functions over plain structs.
namespace briarhead {

/// A decaying sum over samples, weighted by the square of the prompt's length: long prompts tell the speed,
/// and are the ones whose gaps matter.
struct speed_sums
{
    double productSum = 0; ///< of prompt tokens and ms
    double squareSum = 0; ///< of squared prompt tokens
};

struct server_speed
{
    speed_sums recent;
    speed_sums usual; ///< over many more samples; what an avoided server is taken to return to
    int sampleCount = 0; ///< at most `minSpeedSamples`
    millis measuredAt; ///< when the latest sample was taken
};

/// From the end of prefill to the first event, without the prompt itself: the rest of the step, the steps
/// that one event spans, and the network.
constexpr double prefillBaseMs = 40;
/// A speed is stated from this many samples on: fewer may be prompts that the server had cached.
constexpr int minSpeedSamples = 4;
/// Weight that earlier samples keep at each new one: `recent` is learnt within about 8 requests, `usual`
/// within about 50.
constexpr double recentWeight = 0.85;
constexpr double usualWeight = 0.98;
/// A sample that took so many times its prediction, or that fraction of it, is evidence of a change: earlier
/// samples then keep only `changedWeight`. Cached prefixes and attention stay below this factor.
constexpr double changeFactor = 2;
constexpr double changedWeight = 0.2;
/// A server that is avoided gives no samples. Its speed returns halfway to the usual one within this time, so
/// that one that has recovered is tried again; a slowdown lasts for seconds.
constexpr millis slownessHalfLife{2'000};

/// Records a prompt that was alone in prefill from its admission to its first event.
void recordPrefill(server_speed &speed, std::int64_t tokens, millis duration, millis now);
/// Prompt tokens per ms at `now`; 0 if too few samples were taken.
double prefillTokensPerMs(const server_speed &speed, millis now);
/// The speed in view of a prompt that has been alone in prefill for `elapsed` and is not finished: one that
/// takes longer than twice its prediction shows the slowness before it ends. `learnt` may be 0.
double speedWithPrefillInProgress(double learnt, std::int64_t tokens, millis elapsed);
/// No slowdown beyond this is concluded from a prompt in progress: the report of its first event may be lost.
constexpr double maxSlowdownInProgress = 10;

/// Starts from the speed that a previous owner reported, as if it had been measured `age` ago.
void adoptSpeed(server_speed &speed, double tokensPerMs, millis age, millis now);

}
