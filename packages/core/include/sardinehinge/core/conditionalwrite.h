#pragma once

#include <sardinehinge/core/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// The outcome of a conditional write.
struct WriteOutcome
{
    enum class Kind {
        Applied, ///< The write took effect; `revision` is the object's revision after it.
        Conflict, ///< The write did not and can't take effect; `revision` and `attempt` are of the winning write.
        Unknown, ///< No definite answer after all tries; the write may still take effect.
    };
    Kind kind = Kind::Unknown;
    std::uint64_t revision = 0;
    std::string attempt;

    bool operator==(const WriteOutcome &) const = default;
};

/// An object as read from the store: its revision, the attempt that wrote it, and earlier attempts, newest first.
struct StoredState
{
    std::uint64_t revision = 0; ///< 0 if the object doesn't exist.
    std::string attempt;
    struct Earlier
    {
        std::string attempt;
        std::uint64_t revision = 0;

        bool operator==(const Earlier &) const = default;
    };
    std::vector<Earlier> earlier;

    bool operator==(const StoredState &) const = default;
};

/// Number of earlier attempts stored with an object. A writer that lost a response finds its attempt here unless more
/// other writes than this have followed.
constexpr std::size_t maxStoredAttempts = 16;

/// State machine of one conditional write (compare-and-set) that resolves lost responses.
///
/// Performs no I/O. After a lost response, the object is read back and searched for the attempt id. If its revision is
/// still the expected one, the first copy may be in flight, so the write is sent again with the same attempt id. The
/// copy that arrives first is applied; the other one gets a conflict, and the read back finds the attempt id.
class ConditionalWrite
{
public:
    enum class Step { SendWrite, SendRead, Finished };

    ConditionalWrite(std::string attempt, std::uint64_t expectedRevision, int maxTries = 4);

    Step step() const noexcept { return m_step; }
    /// The outcome; valid only once step() is Finished.
    const WriteOutcome &outcome() const noexcept { return m_outcome; }
    const std::string &attempt() const noexcept { return m_attempt; }
    std::uint64_t expectedRevision() const noexcept { return m_expected; }

    void writeApplied(std::uint64_t revision);
    /// The condition failed. The object must be read back, since an earlier copy of this write may have been applied.
    void writeConflicted();
    /// No response arrived; the write may or may not have taken effect.
    void writeAnswerLost();
    void readAnswered(const StoredState &state);
    void readFailed();

private:
    void finish(WriteOutcome outcome);
    void readOrGiveUp();

    std::string m_attempt;
    std::uint64_t m_expected;
    int m_triesLeft;
    Step m_step = Step::SendWrite;
    WriteOutcome m_outcome;
};

} // namespace sardinehinge::core
