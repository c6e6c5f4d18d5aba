#pragma once

#include <sardinehinge/core/feedposition.h>
#include <sardinehinge/core/types.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

/// The latest answers of a daemon's watch on the platform's store, for daemons that don't watch it: they read changes
/// from a watching daemon, so that the store's load doesn't grow with the fleet.
namespace sardinehinge::core {

/// One answer of a watch. There are no changes between `base` and those in the answer.
struct FeedAnswer
{
    std::uint64_t base = 0; ///< Revision of the change before the answer's first.
    std::uint64_t revision = 0; ///< The answer holds all changes up to here.
    std::string source; ///< As the store wrote it.

    bool operator==(const FeedAnswer &) const = default;
};

/// A bounded run of consecutive answers of one era. Does no I/O.
class FeedHistory
{
public:
    static constexpr std::size_t maxBytes = 1024UL * 1024; ///< Of the answers; the oldest give way.
    static constexpr std::size_t maxAnswers = 64;

    /// Appends an answer. One that leaves a gap after the latest, or is of another era, begins a new run.
    void add(FeedAnswer answer, StoreEra era);
    /// Returns the answers that a copy complete up to `completeTo` lacks; std::nullopt if some of them aren't known.
    std::optional<std::vector<FeedAnswer>> since(std::uint64_t completeTo, StoreEra era) const;

private:
    std::deque<FeedAnswer> m_answers;
    std::size_t m_bytes = 0;
    StoreEra m_era = 0;
};

/// Limits the bytes that other daemons read from this one to a share of its link. Does no I/O.
class RelayBudget
{
public:
    static constexpr double linkShare = 0.5;
    /// Bytes of this time may be sent at once.
    static constexpr Duration burstTime = std::chrono::milliseconds(500);

    /// `linkMbps`: bandwidth of this daemon's link in Mbit/s; 0: not known, no limit.
    explicit RelayBudget(std::uint32_t linkMbps = 0) noexcept
        : m_bytesPerSecond(static_cast<double>(linkMbps) * 1e6 / 8 * linkShare)
    {
    }

    /// Whether `bytes` may be sent now. If so, they count.
    bool trySpend(std::size_t bytes, Time now) noexcept;

private:
    double m_bytesPerSecond;
    Time m_freeAt = 0ms; ///< When all bytes so far have passed at the permitted rate.
};

} // namespace sardinehinge::core
