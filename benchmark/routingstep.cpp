// Measures the routing step of GatewayRouter, a request's arrival and its end, with many targets of which a third is
// leaving, quiet, draining or ejected. Prints the time and the allocations of a step.

#include <sardinehinge/core/gatewayrouter.h>

#include <cstdio>
#include <cstdlib>
#include <new>

using namespace sardinehinge::core;

namespace {

std::size_t allocations = 0;

constexpr const char *service = "intake";
constexpr int targetCount = 990;
constexpr int warmupSteps = 2000;
constexpr int measuredSteps = 20000;

GatewayConfig makeConfig()
{
    GatewayConfig config;
    config.version = 1;
    config.services = {{service, false, 130}};
    RouteRule route;
    route.name = "read";
    route.host = "h";
    route.prefix = "/read/";
    route.isIdempotent = true;
    route.timeout = 1s;
    route.latencyObjective = 400ms;
    route.maxAttempts = 2;
    route.services = {{service, 1}};
    config.routes = {route};
    return config;
}

std::vector<RegisteredTarget> makeTargets(bool isThirdAway)
{
    std::vector<RegisteredTarget> targets;
    for (int index = 0; index < targetCount; ++index) {
        RegisteredTarget target;
        target.identity = {service + std::to_string(index), 1};
        target.service = service;
        target.address = target.identity.id;
        target.failureDomain = "a";
        target.isDraining = isThirdAway && index % 9 == 0;
        targets.push_back(target);
    }
    return targets;
}

/// Answers what was sent and returns the number of requests that were sent.
std::size_t answer(GatewayRouter &router, const GatewayRouter::Effects &effects, Time now)
{
    std::size_t sends = 0;
    for (const GatewayEffect &effect : effects) {
        if (const auto *send = std::get_if<SendToTarget>(&effect)) {
            ++sends;
            GatewayAttemptEnd end;
            end.id = send->id;
            end.attempt = send->attempt;
            end.end = AttemptEnd::Answered;
            router.attemptFinished(end, now + 20ms);
        }
    }
    return sends;
}

void measure(const char *name, bool isThirdAway)
{
    GatewayRouter router(1, "a");
    Time now = 10s;
    router.setConfig(makeConfig());
    const auto targets = makeTargets(isThirdAway);
    router.setTargets(targets, now);
    for (int index = 0; isThirdAway && index < targetCount; ++index) {
        const TargetNotice leaving{true, std::nullopt};
        const TargetNotice quiet{false, maxQuietTime};
        if (index % 9 == 3)
            router.targetNoticed(service, targets[index].identity, leaving, SignalSource::Request, now);
        else if (index % 9 == 6)
            router.targetNoticed(service, targets[index].identity, quiet, SignalSource::Request, now);
    }
    std::size_t sends = 0;
    std::size_t before = 0;
    std::chrono::steady_clock::time_point begin;
    for (int step = 0; step < warmupSteps + measuredSteps; ++step) {
        if (step == warmupSteps) {
            sends = 0;
            before = allocations;
            begin = std::chrono::steady_clock::now();
        }
        now += 1ms;
        sends += answer(
            router, router.requestArrived({static_cast<RequestId>(step) + 1, "h", "/read/x", std::nullopt, 3s}, now),
            now);
    }
    const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - begin;
    std::printf("%s: %.2f us and %.2f allocations a step, %zu of %d sent\n", name, taken.count() / measuredSteps,
                static_cast<double>(allocations - before) / measuredSteps, sends, measuredSteps);
}

} // namespace

void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

int main()
{
    measure("all ready", false);
    measure("a third away", true);
}
