#pragma once

#include "failure/fleet.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace briarhead::testing {

/// The gauges of one daemon's /metrics, without their common prefix, and when they were read.
struct reading
{
    double at = 0; ///< seconds, of a clock that only runs forward
    std::map<std::string, double> gauges;

    double of(const std::string &name) const;
};

/// Readings of the daemons that run, by their place in the fleet.
using readings = std::map<std::size_t, reading>;

reading readDaemon(const fleet &from, std::size_t daemon);
readings readAll(const fleet &from);

/// A figure over the daemons of a fleet.
struct spread
{
    double mean = 0;
    double most = 0;
};

spread spreadOf(const std::vector<double> &values);
/// The sum of the gauges' growth a second, per daemon that is in both readings.
spread ratesOf(const readings &before, const readings &after, const std::vector<std::string> &gauges);
/// Seconds of processor time that a daemon took between two readings.
double cpuBetween(const reading &before, const reading &after);

double monotonicSeconds();
/// Milliseconds since the epoch, as the daemons' logs tell the time.
std::int64_t wallMs();

/// A line of a daemon's log.
struct log_line
{
    std::int64_t wallMs = 0;
    std::string text;
};

/// The lines that hold `part`, from a time on.
std::vector<log_line> linesWith(
    const fleet &from, std::size_t daemon, const std::string &part, std::int64_t sinceMs);

/// What the key-value stand-in counted by itself: its JSON record.
json kvRecord(const fleet &from);
/// All calls in such a record, a watch counted when it is opened.
double kvCalls(const json &record);
/// Bytes and packets that went over this network namespace's loopback so far, TCP/IP headers included.
struct loopback_traffic
{
    double bytes = 0;
    double packets = 0;
};
loopback_traffic loopbackTraffic();
/// Peak resident bytes of a process.
double peakResidentBytes(pid_t process);

/// Prints one row of the table: figures of the daemons in `daemons`, worst beside mean.
void printHead();
void printRow(const std::string &when, std::size_t daemons, const std::string &figure, spread value);
void printRow(const std::string &when, std::size_t daemons, const std::string &figure, double value);

/// Times the pure decisions and the configuration's parts at the sizes of docs/CAPACITY.md.
void measureDecisions(bool quick);

}
