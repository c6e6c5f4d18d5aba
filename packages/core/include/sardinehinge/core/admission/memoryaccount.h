#pragma once

#include <sardinehinge/core/types.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// What the process holds bytes for on behalf of a caller or a target.
enum class HeldUse {
    ArrivingRequest, ///< Not complete: it can be refused as not run.
    RequestInWork, ///< Complete: never cut.
    ArrivingResponse, ///< Of a target.
    WaitingResponse, ///< For its caller to read it.
};
constexpr std::size_t heldUses = 4;
constexpr std::array<const char *, heldUses> heldUseNames
    = {"arriving_request", "request_in_work", "arriving_response", "waiting_response"};

/// What one holder has of the account.
struct HeldBytes
{
    std::uint64_t holder = 0; ///< Id.
    HeldUse use = HeldUse::ArrivingRequest;
    std::uint64_t bytes = 0;
    std::string peer; ///< IP address of the caller or target.
    std::uint64_t missingBytes = 0; ///< Until it is complete, or an upper bound.
    double bytesPerSecond = 0; ///< That arrive or leave.
    Duration stalledFor{}; ///< Since bytes arrived or left.

    bool operator==(const HeldBytes &) const = default;
};

/// Limits on what callers and targets can make the process hold.
struct AccountLimits
{
    std::uint64_t bytes = 0; ///< Of all holders together.
    std::uint64_t keptForSmall = 0; ///< Of these, for holders with at most `smallHolding` bytes only.
    std::uint64_t smallHolding = 64ULL * 1024;

    bool operator==(const AccountLimits &) const = default;
};

/// Returns the default limits for a process with `memoryBytes` in all: without 40 MiB for the process and an eighth of
/// the rest for what isn't counted, such as connections and routing. At least a quarter of the memory.
AccountLimits accountLimitsFor(std::uint64_t memoryBytes);
/// Returns the limits with `bytes` for all holders.
AccountLimits accountLimitsOf(std::uint64_t bytes);

/// Whether a holder may have the bytes that it asks for, and the holders that are to be closed for it.
struct RoomDecision
{
    bool isGranted = false;
    std::vector<std::uint64_t> toClose; ///< In this order; empty if not granted.

    bool operator==(const RoomDecision &) const = default;
};

/// A waiting response is cut for others only if its caller has read nothing for so long.
constexpr Duration unreadTime = std::chrono::seconds(1);

/// Decides whether `asker`, one of `held`, may have `bytes` instead of what it has.
///
/// What has been received counts, not what is announced. If the account is short, unfinished requests are closed first:
/// large ones before small ones, those of the address with the largest part of the account (in eighths, so that a few
/// bytes don't decide) before others, stalled ones before others, and of the rest the one that needs longest to
/// complete. Next are responses that nobody reads, the largest first, then arriving responses, the largest first.
/// A request in work is never closed. The asker is refused when its own turn to be closed comes.
RoomDecision makeRoom(const AccountLimits &limits, const std::vector<HeldBytes> &held, std::uint64_t asker,
                      std::uint64_t bytes);

/// An open connection of a caller whose request isn't in work.
struct WaitingConnection
{
    std::uint64_t id = 0;
    bool isIdle = false; ///< No byte of a request has arrived.
    Duration waitingFor{}; ///< Since it became idle, or since its request began.
    double bytesPerSecond = 0; ///< Of the request.

    bool operator==(const WaitingConnection &) const = default;
};

/// Returns the connection to close for a new one, or `none`: the longest idle one, otherwise the one whose request
/// arrives slowest, and of equally slow ones the oldest.
std::uint64_t connectionToClose(const std::vector<WaitingConnection> &waiting, std::uint64_t none = 0);

/// How fast the bytes of a request arrive. A caller must send at a least rate after a grace period; there is no limit
/// on the whole time.
struct ProgressRule
{
    Duration grace = std::chrono::seconds(10); ///< Also the period over which the rate is taken.
    double leastBytesPerSecond = 512;

    bool operator==(const ProgressRule &) const = default;
    /// Whether `bytes` in one grace period are enough.
    bool isEnough(std::uint64_t bytes) const noexcept;
};

/// Measures how fast bytes come or go.
class ProgressMeter
{
public:
    explicit ProgressMeter(Time now = {})
        : m_windowStart(now)
        , m_lastProgress(now)
    {
    }

    void note(std::uint64_t bytes, Time now);
    double bytesPerSecond(Time now) const;
    Duration stalledFor(Time now) const { return now - m_lastProgress; }

private:
    Time m_windowStart;
    Time m_lastProgress;
    std::uint64_t m_windowBytes = 0;
    double m_lastRate = 0; ///< Of the window before.
};

} // namespace sardinehinge::core
