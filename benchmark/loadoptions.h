#pragma once

#include <sardinehinge/core/result.h>

#include <string>
#include <vector>

namespace sardinehinge::benchmark {

/// What the load tool sends. Arrivals don't wait for answers (open loop).
struct LoadOptions
{
    std::vector<std::string> addresses; ///< Daemons, or a target when it is called directly; taken in turn.
    std::string path = "/"; ///< `/WORKSPACE/SERVICE/...`; a key is added as a query parameter.
    std::string method = "GET";
    std::string caller = "load";
    std::string historyFile;
    std::string name = "load"; ///< Prefix of request ids and of printed figures.
    double rate = 100; ///< Requests a second.
    double peakRate = 0; ///< From the first third to the second third of the time, if greater than 0.
    double seconds = 5;
    int keys = 0; ///< 0: requests without a key.
    double zipf = 0; ///< Exponent of the popularity of keys; 0: all alike.
    double longShare = 0; ///< Share of requests that take longMs.
    int longMs = 500;
    int workMs = 0; ///< Work that the other requests ask for; 0: the target's own.
    int timeoutMs = 5000;
    int goodMs = 1000; ///< Answers within this time of the intended sending count as good.
    unsigned seed = 1;
    bool isIdempotent = true;
};

core::Result<LoadOptions> parseLoadOptions(int argc, const char **argv);

} // namespace sardinehinge::benchmark
