#include "routerbench.h"

using namespace sardinehinge::core;
using namespace sardinehinge::core::tests;

namespace {

constexpr RequestFingerprint fingerprint{7, 7};
constexpr RequestFingerprint other{8, 8};

/// What becomes of the request, in this order with what becomes of its target.
enum class Loss { None, Closed, Truncated, Deadline, CallerLeft, CallerLeftThenClosed, Waiting };
enum class End { None, Probed, RefusedOther, Replaced, OtherLife, Vanished, DrainingVanished, LeavingVanished };

/// Sends one request to a service's only reachable target and plays what becomes of both.
class LossBench
{
public:
    LossBench(bool isKeyed, bool isIdempotent)
        : m_isKeyed(isKeyed)
        , m_isIdempotent(isIdempotent)
        , m_router(1, "a")
    {
        GatewayConfig config = configOf();
        for (RouteRule &route : config.routes)
            route.maxAttempts = 1; // A retry would be another loss.
        m_router.setConfig(config);
        m_targets = targetsOf(service(), 1);
        setTargets();
        take(m_router.setOwners({keyed, 1, 1, {{{0, lastKey}, "archive0", RangeState::Held}}}, m_now));
        m_send = arrive(fingerprint);
    }

    void lose(Loss loss)
    {
        switch (loss) {
        case Loss::None:
            finish(m_send, AttemptEnd::Answered);
            break;
        case Loss::Closed:
            finish(m_send, AttemptEnd::AnswerLost);
            break;
        case Loss::Truncated:
            finish(m_send, AttemptEnd::AnswerTruncated);
            break;
        case Loss::Deadline:
            wait(1500ms);
            take(m_router.tick(m_now));
            break;
        case Loss::CallerLeft:
            wait(300ms);
            take(m_router.callerLeft(m_send.id, m_now));
            break;
        case Loss::CallerLeftThenClosed:
            wait(300ms);
            take(m_router.callerLeft(m_send.id, m_now));
            finish(m_send, AttemptEnd::AnswerLost);
            break;
        case Loss::Waiting:
            break;
        }
    }

    void end(End end)
    {
        switch (end) {
        case End::None:
            break;
        case End::Probed:
            take(m_router.targetProbed(service(), m_send.target, true, m_now));
            break;
        case End::RefusedOther: {
            GatewayAttemptEnd refused{0, 0, AttemptEnd::NothingSent, false, {}};
            const SendToTarget send = arrive(other);
            refused.id = send.id;
            refused.attempt = send.attempt;
            refused.isRefused = true;
            take(m_router.attemptFinished(refused, m_now));
            break;
        }
        case End::Replaced:
            ++m_targets.front().identity.incarnation;
            setTargets();
            break;
        case End::OtherLife:
            finish(arrive(other), AttemptEnd::NotOwner);
            break;
        case End::DrainingVanished:
            m_targets.front().isDraining = true;
            setTargets();
            vanish();
            break;
        case End::LeavingVanished:
            take(m_router.targetNoticed(service(), m_send.target, {true}, SignalSource::Request, m_now));
            vanish();
            break;
        case End::Vanished:
            vanish();
            break;
        }
    }

    void vanish()
    {
        m_targets.clear();
        setTargets();
    }
    void setTargets() { take(m_router.setTargets(m_targets, m_now)); }
    void wait(Duration time) { m_now += time; }
    SendToTarget arrive(const RequestFingerprint &request)
    {
        const std::string path
            = m_isKeyed ? (m_isIdempotent ? "/key/" : "/keywrite/") : (m_isIdempotent ? "/read/" : "/write/");
        m_sends.clear();
        take(m_router.requestArrived(
            {++m_lastId, "h", path, m_isKeyed ? std::optional<std::uint32_t>(1) : std::nullopt, 3s, request}, m_now));
        return m_sends.empty() ? SendToTarget{} : m_sends.front();
    }
    void finish(const SendToTarget &send, AttemptEnd end)
    {
        take(m_router.attemptFinished({send.id, send.attempt, end, false, {}}, m_now));
    }
    std::string service() const { return m_isKeyed ? keyed : plain; }
    const SendToTarget &sent() const noexcept { return m_send; }

    std::vector<CrashReport> reports; ///< Of the first request.

private:
    void take(const GatewayRouter::Effects &effects)
    {
        for (const GatewayEffect &effect : effects) {
            if (const auto *send = std::get_if<SendToTarget>(&effect))
                m_sends.push_back(*send);
            else if (const auto *crashed = std::get_if<TargetCrashed>(&effect);
                     crashed != nullptr && crashed->report.request == fingerprint)
                reports.push_back(crashed->report);
        }
    }

    bool m_isKeyed;
    bool m_isIdempotent;
    GatewayRouter m_router;
    Time m_now = 100s;
    RequestId m_lastId = 0;
    std::vector<RegisteredTarget> m_targets;
    std::vector<SendToTarget> m_sends;
    SendToTarget m_send;
};

/// Whether a loss followed by an end of the target's life is evidence; the end comes `gap` after the loss.
bool isExpected(Loss loss, End end, bool isIdempotent, bool isKeyed)
{
    if (loss == Loss::None || end == End::None || (end == End::OtherLife && isKeyed))
        return false;
    const bool isClosed
        = loss == Loss::Closed || loss == Loss::Truncated || (loss == Loss::CallerLeftThenClosed && !isIdempotent);
    if (isClosed)
        return true;
    if (end == End::DrainingVanished || end == End::LeavingVanished)
        return false;
    // An attempt that goes on without its caller still waits.
    const bool isWaiting = loss == Loss::Waiting || (loss == Loss::CallerLeft && !isIdempotent);
    return !isWaiting || (end != End::Probed && end != End::RefusedOther);
}

} // namespace

TEST_CASE("Each way to lose a target is evidence if the target's life has ended, however that becomes known")
{
    const bool isKeyed = GENERATE(false, true);
    const bool isIdempotent = GENERATE(true, false);
    const auto loss = GENERATE(Loss::None, Loss::Closed, Loss::Truncated, Loss::Deadline, Loss::CallerLeft,
                               Loss::CallerLeftThenClosed, Loss::Waiting);
    const auto end = GENERATE(End::None, End::Probed, End::RefusedOther, End::Replaced, End::OtherLife, End::Vanished,
                              End::DrainingVanished, End::LeavingVanished);
    INFO("keyed " << isKeyed << ", idempotent " << isIdempotent << ", loss " << static_cast<int>(loss) << ", end "
                  << static_cast<int>(end));
    LossBench bench(isKeyed, isIdempotent);
    bench.lose(loss);
    bench.wait(2500ms);
    bench.end(end);
    CHECK(bench.reports.size() == (isExpected(loss, end, isIdempotent, isKeyed) ? 1 : 0));
    for (const CrashReport &report : bench.reports) {
        CHECK(report.target == bench.sent().target);
        CHECK(report.copies == 1);
        CHECK(report.sentAgo >= report.endedAgo);
    }
}

TEST_CASE("A silent target that turns out to live, or that was silent before, clears its requests")
{
    struct Case
    {
        const char *name;
        Loss loss;
        std::function<void(LossBench &)> between;
        bool isEvidence;
    };
    const auto [name, loss, between, isEvidence] = GENERATE(values<Case>({
        {"nothing happens", Loss::Deadline, [](LossBench &) {}, true},
        {"it answers a later request", Loss::Deadline,
         [](LossBench &bench) { bench.finish(bench.arrive(other), AttemptEnd::Answered); }, false},
        {"it rejects a later request", Loss::Deadline,
         [](LossBench &bench) { bench.finish(bench.arrive(other), AttemptEnd::Shed); }, false},
        {"it answers a later request after a caller left", Loss::CallerLeft,
         [](LossBench &bench) { bench.finish(bench.arrive(other), AttemptEnd::Answered); }, false},
        {"a later request is lost, too", Loss::Deadline,
         [](LossBench &bench) { bench.finish(bench.arrive(other), AttemptEnd::AnswerLost); }, true},
        {"an equal request is answered", Loss::Deadline,
         [](LossBench &bench) { bench.finish(bench.arrive(fingerprint), AttemptEnd::Answered); }, false},
        {"the entry stays for long", Loss::Deadline, [](LossBench &bench) { bench.wait(CrashSuspects::evidenceTime); },
         false},
    }));
    const bool isKeyed = GENERATE(false, true);
    INFO(name << ", keyed " << isKeyed);
    LossBench bench(isKeyed, true);
    bench.lose(loss);
    bench.wait(500ms);
    between(bench);
    bench.wait(500ms);
    bench.vanish();
    CHECK(bench.reports.size() == (isEvidence ? 1 : 0));
}

TEST_CASE("Requests that were sent to a target while the registry missed it did not end it")
{
    const auto [age, isEvidence] = GENERATE(table<Duration, bool>({
        {10ms, false},
        {minWaitAtEnd - 1ms, false},
        {minWaitAtEnd, true},
    }));
    LossBench bench(false, true);
    bench.wait(age);
    bench.vanish();
    CHECK(bench.reports.size() == (isEvidence ? 1 : 0));
}

TEST_CASE("Copies that came later to a silent target aren't counted as copies")
{
    const auto [gap, copies] = GENERATE(table<Duration, std::uint32_t>({
        {0ms, 3},
        {copyGap / 2, 3},
        {copyGap, 2},
        {copyGap + 1ms, 1},
    }));
    const RequestFingerprint request{1, 1};
    const TargetIdentity target{"t", 1};
    CrashSuspects suspects;
    for (int copy = 0; copy < 3; ++copy)
        suspects.lost(request, target, 10s + copy * gap, 11s + copy * gap, TargetLoss::SilentAtDeadline);
    const std::vector<CrashReport> reports = suspects.targetEnded(target, LifeEnd::Vanished, 14s);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().copies == copies);
}

TEST_CASE("Silent losses of slow targets leave room for those of others")
{
    CrashSuspects suspects;
    const RequestFingerprint request{1, 1};
    const TargetIdentity target{"t", 1};
    suspects.lost(request, target, 10s, 11s, TargetLoss::SilentAtDeadline);
    for (std::uint64_t index = 0; index < 10'000; ++index)
        suspects.lost({2, index}, {"slow", 1}, 10s, 11s, TargetLoss::SilentAtDeadline);
    CHECK(suspects.targetEnded(target, LifeEnd::Vanished, 13s).size() == 1);
    CHECK(suspects.targetEnded({"slow", 1}, LifeEnd::Vanished, 13s).size() == CrashSuspects::maxSilentOfTarget);
    for (std::uint64_t index = 0; index < 10'000; ++index)
        suspects.lost({3, index}, {"t" + std::to_string(index), 1}, 10s, 11s, TargetLoss::SilentAtLeave);
    std::size_t kept = 0;
    for (std::uint64_t index = 0; index < 10'000; ++index)
        kept += suspects.targetEnded({"t" + std::to_string(index), 1}, LifeEnd::Vanished, 13s).size();
    CHECK(kept == CrashSuspects::maxSilent);
}
