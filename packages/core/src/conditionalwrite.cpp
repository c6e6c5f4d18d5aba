#include <sardinehinge/core/conditionalwrite.h>

#include <algorithm>
#include <utility>

namespace sardinehinge::core {

ConditionalWrite::ConditionalWrite(std::string attempt, std::uint64_t expectedRevision, int maxTries)
    : m_attempt(std::move(attempt))
    , m_expected(expectedRevision)
    , m_triesLeft(maxTries)
{
}

void ConditionalWrite::writeApplied(std::uint64_t revision)
{
    finish({WriteOutcome::Kind::Applied, revision, m_attempt});
}

void ConditionalWrite::writeConflicted()
{
    readOrGiveUp();
}

void ConditionalWrite::writeAnswerLost()
{
    readOrGiveUp();
}

void ConditionalWrite::readAnswered(const StoredState &state)
{
    if (state.attempt == m_attempt)
        return finish({WriteOutcome::Kind::Applied, state.revision, m_attempt});
    const auto isSameAttempt = [this](const StoredState::Earlier &earlier) { return earlier.attempt == m_attempt; };
    if (const auto found = std::find_if(state.earlier.begin(), state.earlier.end(), isSameAttempt);
        found != state.earlier.end())
        return finish({WriteOutcome::Kind::Applied, found->revision, m_attempt});
    // The read was served by a lagging replica, which tells nothing about the write.
    if (state.revision < m_expected)
        return readOrGiveUp();
    // At a newer revision, the condition of any copy still in flight can no longer hold.
    if (state.revision != m_expected)
        return finish({WriteOutcome::Kind::Conflict, state.revision, state.attempt});
    m_step = Step::SendWrite;
}

void ConditionalWrite::readFailed()
{
    readOrGiveUp();
}

void ConditionalWrite::finish(WriteOutcome outcome)
{
    m_step = Step::Finished;
    m_outcome = std::move(outcome);
}

void ConditionalWrite::readOrGiveUp()
{
    m_step = Step::SendRead;
    if (--m_triesLeft <= 0)
        finish({WriteOutcome::Kind::Unknown, 0, {}});
}

} // namespace sardinehinge::core
