#pragma once

#include <sardinehinge/core/admission/helduse.h>
#include <sardinehinge/core/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehinge::core {

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

} // namespace sardinehinge::core
