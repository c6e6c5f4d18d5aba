#pragma once

#include <sardinehinge/core/gatewayrouter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace sardinehinge::core::tests {

constexpr const char *plain = "intake";
constexpr const char *keyed = "archive";

inline RouteRule routeTo(const std::string &prefix, const std::string &service, bool isIdempotent,
                         std::uint32_t priority = 1)
{
    RouteRule route;
    route.name = prefix;
    route.host = "h";
    route.prefix = prefix;
    route.isIdempotent = isIdempotent;
    route.timeout = 1s;
    route.latencyObjective = 400ms;
    route.maxAttempts = 2;
    route.priority = priority;
    route.services = {{service, 1}};
    return route;
}

inline GatewayConfig configOf(std::uint64_t version = 1)
{
    GatewayConfig config;
    config.version = version;
    config.services = {{plain, false, 130}, {keyed, true, 130}};
    config.routes = {routeTo("/read/", plain, true), routeTo("/write/", plain, false, 0), routeTo("/key/", keyed, true),
                     routeTo("/keywrite/", keyed, false)};
    return config;
}

inline std::vector<RegisteredTarget> targetsOf(const std::string &service, int count)
{
    std::vector<RegisteredTarget> targets;
    for (int index = 0; index < count; ++index) {
        RegisteredTarget target;
        target.identity = {service + std::to_string(index), 1};
        target.service = service;
        target.address = target.identity.id;
        target.failureDomain = "a";
        target.slots = 6;
        targets.push_back(target);
    }
    return targets;
}

/// A router and the effects that it returned, sorted by type.
struct Bench
{
    explicit Bench(int plainTargets = 2, int keyedTargets = 2)
        : router(1, "a")
    {
        router.setConfig(configOf());
        auto targets = targetsOf(plain, plainTargets);
        for (const RegisteredTarget &target : targetsOf(keyed, keyedTargets))
            targets.push_back(target);
        take(router.setTargets(targets, now));
        announceOwner(RangeState::Held, 1);
    }

    void announceOwner(RangeState state, std::uint64_t sequence, const std::string &first = "archive0")
    {
        take(router.setOwners(
            {keyed, 1, sequence, {{{0, 32767}, first, state}, {{32768, lastKey}, "archive1", RangeState::Held}}}, now));
    }

    RequestId arrive(const std::string &path, std::optional<std::uint32_t> key = std::nullopt)
    {
        take(router.requestArrived({++lastId, "h", path, key, 3s}, now));
        return lastId;
    }

    void finish(const SendToTarget &send, AttemptEnd end, bool isServerError = false)
    {
        take(router.attemptFinished({send.id, send.attempt, end, isServerError, {}}, now));
    }

    void take(const GatewayRouter::Effects &effects)
    {
        for (const GatewayEffect &effect : effects) {
            if (const auto *send = std::get_if<SendToTarget>(&effect))
                record(*send);
            else if (const auto *end = std::get_if<EndWithError>(&effect))
                ends.push_back(*end);
            else if (const auto *answer = std::get_if<ForwardAnswer>(&effect))
                answers.push_back(*answer);
            else if (const auto *cancel = std::get_if<CancelSend>(&effect))
                cancels.push_back(*cancel);
            else if (const auto *refused = std::get_if<OwnerRefused>(&effect))
                refusals.push_back(*refused);
            else if (const auto *belief = std::get_if<TargetBelief>(&effect))
                beliefs.push_back(*belief);
            else if (const auto *ask = std::get_if<AskPermits>(&effect))
                asks.push_back(ask->request);
        }
    }

    void record(const SendToTarget &send)
    {
        sends.push_back(send);
        sendTimes.push_back(now);
    }

    void notice(const SendToTarget &send, const TargetNotice &notice, SignalSource source = SignalSource::Request)
    {
        take(router.targetNoticed(send.service, send.target, notice, source, now));
    }

    /// Sends requests for this time, each of which its target answers at once.
    void run(Duration time, Duration interval, const std::string &path, std::optional<std::uint32_t> key = std::nullopt)
    {
        for (const Time end = now + time; now < end;) {
            now += interval;
            arrive(path, key);
            take(router.tick(now));
            for (; finished < sends.size(); ++finished)
                finish(SendToTarget(sends[finished]), AttemptEnd::Answered);
        }
    }

    /// Answers the latest request for permits.
    void grant(std::uint32_t count, Duration startsIn = 0ms, Duration retryIn = 0ms)
    {
        const PermitRequest &ask = asks.back();
        take(router.permitsGranted({ask.service, ask.target, ask.number, count, startsIn, 50ms, retryIn}, now));
    }

    Time lastSend(const std::string &target) const
    {
        Time last = 0ms;
        for (std::size_t index = 0; index < sends.size(); ++index)
            last = sends[index].target.id == target ? sendTimes[index] : last;
        return last;
    }

    GatewayRouter router;
    Time now = 10s;
    RequestId lastId = 0;
    std::vector<SendToTarget> sends;
    std::vector<EndWithError> ends;
    std::vector<ForwardAnswer> answers;
    std::vector<CancelSend> cancels;
    std::vector<OwnerRefused> refusals;
    std::vector<TargetBelief> beliefs;
    std::vector<PermitRequest> asks;
    std::vector<Time> sendTimes; ///< Parallel to `sends`.
    std::size_t finished = 0; ///< Number of `sends` that run() has answered.
};

} // namespace sardinehinge::core::tests
