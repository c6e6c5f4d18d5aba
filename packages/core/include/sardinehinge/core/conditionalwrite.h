#pragma once

#include <sardinehinge/core/result.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinehinge::core {

/// How a conditional write ended.
struct WriteOutcome
{
    enum class Kind {
        Applied, ///< It took effect; `revision` is the object's revision after it.
        Conflict, ///< It did not and will not take effect; `revision` and `attempt` are the winner's.
        Unknown, ///< The store couldn't be asked in time; it may still take effect.
    };
    Kind kind = Kind::Unknown;
    std::uint64_t revision = 0;
    std::string attempt;

    bool operator==(const WriteOutcome &) const = default;
};

/// An object as the store shows it: its revision, the attempt that wrote it, and the attempts before that, newest
/// first.
struct StoredState
{
    std::uint64_t revision = 0; ///< 0: the object doesn't exist.
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

/// How many earlier attempts an object names. A writer that lost an answer finds its attempt as long as fewer other
/// writes came between.
constexpr std::size_t maxStoredAttempts = 16;

/// Drives one conditional write to a definite outcome although responses can be lost.
///
/// Performs no I/O. A write whose answer was lost is neither done nor failed: the object is read back and searched for
/// the attempt id. While the revision still is the expected one the write may be under way, so it is sent again with
/// the same attempt: whichever copy comes first applies, the other one meets a conflict that names this very attempt.
class ConditionalWrite
{
public:
    enum class Step { SendWrite, SendRead, Finished };

    ConditionalWrite(std::string attempt, std::uint64_t expectedRevision, int maxTries = 4);

    Step step() const noexcept { return m_step; }
    /// The outcome; only meaningful once step() is Finished.
    const WriteOutcome &outcome() const noexcept { return m_outcome; }
    const std::string &attempt() const noexcept { return m_attempt; }
    std::uint64_t expectedRevision() const noexcept { return m_expected; }

    void writeApplied(std::uint64_t revision);
    /// The store refused the condition. The object must be read, since an earlier copy may have been the winner.
    void writeConflicted();
    /// No answer: the write may or may not have taken effect.
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
