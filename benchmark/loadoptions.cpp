#include "loadoptions.h"

#include <popt.h>

#include <memory>
#include <sstream>

namespace sardinehinge::benchmark {

core::Result<LoadOptions> parseLoadOptions(int argc, const char **argv)
{
    LoadOptions options;
    char *addresses = nullptr;
    char *path = nullptr;
    char *method = nullptr;
    char *caller = nullptr;
    char *history = nullptr;
    char *name = nullptr;
    int isOnce = 0;
    int seed = 1;
    const poptOption table[]
        = {{"addresses", '\0', POPT_ARG_STRING, &addresses, 0, "Where to send, in turn", "IP:PORT,..."},
           {"path", '\0', POPT_ARG_STRING, &path, 0, "Path of the requests", "PATH"},
           {"method", '\0', POPT_ARG_STRING, &method, 0, "Method of the requests", "METHOD"},
           {"caller", '\0', POPT_ARG_STRING, &caller, 0, "Whom fairness counts the requests to", "NAME"},
           {"history", '\0', POPT_ARG_STRING, &history, 0, "File for outcomes, one JSON object a line", "FILE"},
           {"name", '\0', POPT_ARG_STRING, &name, 0, "Prefix of ids and figures", "NAME"},
           {"rate", '\0', POPT_ARG_DOUBLE, &options.rate, 0, "Requests a second", "NUMBER"},
           {"peak-rate", '\0', POPT_ARG_DOUBLE, &options.peakRate, 0, "Rate in the middle third of the time", "NUMBER"},
           {"seconds", '\0', POPT_ARG_DOUBLE, &options.seconds, 0, "Length of the run", "NUMBER"},
           {"keys", '\0', POPT_ARG_INT, &options.keys, 0, "Different keys; 0: none", "COUNT"},
           {"zipf", '\0', POPT_ARG_DOUBLE, &options.zipf, 0, "Exponent of the keys' popularity", "NUMBER"},
           {"long-share", '\0', POPT_ARG_DOUBLE, &options.longShare, 0, "Share of long requests", "NUMBER"},
           {"long-ms", '\0', POPT_ARG_INT, &options.longMs, 0, "Work of a long request", "MS"},
           {"work-ms", '\0', POPT_ARG_INT, &options.workMs, 0, "Work of the others; 0: the target's own", "MS"},
           {"timeout-ms", '\0', POPT_ARG_INT, &options.timeoutMs, 0, "Longest wait for an answer", "MS"},
           {"good-ms", '\0', POPT_ARG_INT, &options.goodMs, 0, "Answers within this time count as good", "MS"},
           {"seed", '\0', POPT_ARG_INT, &seed, 0, "Seed of keys and kinds", "NUMBER"},
           {"non-idempotent", '\0', POPT_ARG_NONE, &isOnce, 0, "The requests must run at most once", nullptr},
           POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("loadgen", argc, argv, table, 0), poptFreeContext);
    if (const int status = poptGetNextOpt(context.get()); status < -1)
        return core::Error{core::ErrorCode::BadSetting,
                           "arguments",
                           {},
                           std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(status)};
    if (addresses == nullptr)
        return core::Error{core::ErrorCode::BadSetting, "arguments", {}, "--addresses is required"};
    std::istringstream stream(addresses);
    for (std::string address; std::getline(stream, address, ',');)
        options.addresses.push_back(address);
    const auto keep = [](std::string &member, const char *value) { member = value != nullptr ? value : member; };
    keep(options.path, path);
    keep(options.method, method);
    keep(options.caller, caller);
    keep(options.historyFile, history);
    keep(options.name, name);
    options.isIdempotent = isOnce == 0;
    options.seed = static_cast<unsigned>(seed);
    return options;
}

} // namespace sardinehinge::benchmark
