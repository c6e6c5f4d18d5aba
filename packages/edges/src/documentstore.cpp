#include <sardinehinge/edges/documentstore.h>

#include <utility>

namespace sardinehinge::edges {

/// One write on its way to a certain end.
struct DocumentStore::Pending
{
    Pending(std::string objectName, std::string objectBody, std::string objectAuthor,
            core::ConditionalWrite conditional, WriteDone whenDone)
        : name(std::move(objectName))
        , body(std::move(objectBody))
        , author(std::move(objectAuthor))
        , write(std::move(conditional))
        , done(std::move(whenDone))
    {
    }

    std::string name;
    std::string body;
    std::string author;
    core::ConditionalWrite write;
    WriteDone done;
    std::string bytes; ///< As sent last.
    StoredObject seen; ///< As read last: after a conflict, the winner's.
};

DocumentStore::DocumentStore(ObjectStore &store, AnswerLost answerLost)
    : m_store(store)
    , m_answerLost(std::move(answerLost))
{
}

void DocumentStore::write(const std::string &name, const std::string &body, const std::string &author,
                          const std::string &attempt, std::uint64_t expectedRevision, WriteDone done)
{
    core::ConditionalWrite conditional(attempt, expectedRevision);
    const auto pending = std::make_shared<Pending>(name, body, author, std::move(conditional), std::move(done));
    // The attempts before this one are part of the object: without them the object must be read first.
    if (stateOf(name, expectedRevision) == nullptr)
        return sendRead(pending);
    proceed(pending);
}

void DocumentStore::observe(const StoredObject &object)
{
    core::StoredState &state = m_states[object.name];
    if (object.revision < state.revision)
        return;
    const auto envelope = decodeEnvelope(object.bytes);
    if (const auto *value = std::get_if<StoredEnvelope>(&envelope))
        state = {object.revision, value->attempt, value->earlier};
}

const core::StoredState *DocumentStore::stateOf(const std::string &name, std::uint64_t revision) const
{
    static const core::StoredState absent;
    if (revision == 0)
        return &absent;
    const auto found = m_states.find(name);
    return found == m_states.end() || found->second.revision != revision ? nullptr : &found->second;
}

void DocumentStore::proceed(const std::shared_ptr<Pending> &pending)
{
    switch (pending->write.step()) {
    case core::ConditionalWrite::Step::SendWrite:
        return sendWrite(pending);
    case core::ConditionalWrite::Step::SendRead:
        return sendRead(pending);
    case core::ConditionalWrite::Step::Finished:
        break;
    }
    const core::WriteOutcome &outcome = pending->write.outcome();
    if (outcome.kind != core::WriteOutcome::Kind::Applied)
        return pending->done(outcome, pending->seen);
    const StoredObject written{pending->name, outcome.revision, pending->bytes};
    observe(written);
    pending->done(outcome, written);
}

void DocumentStore::sendWrite(const std::shared_ptr<Pending> &pending)
{
    const core::StoredState *state = stateOf(pending->name, pending->write.expectedRevision());
    if (state == nullptr) {
        // Another version was seen since: the condition can't hold any more. The read says who won.
        pending->write.writeConflicted();
        return proceed(pending);
    }
    StoredEnvelope envelope{pending->write.attempt(), state->earlier, pending->author, pending->body};
    if (state->revision != 0)
        envelope.earlier.insert(envelope.earlier.begin(), {state->attempt, state->revision});
    if (envelope.earlier.size() > core::maxStoredAttempts)
        envelope.earlier.resize(core::maxStoredAttempts);
    pending->bytes = encodeEnvelope(envelope);
    m_store.write(pending->name, pending->bytes, pending->write.expectedRevision(),
                  [this, pending](const WriteReply &reply) {
                      if (reply.answer == WriteAnswer::Applied)
                          pending->write.writeApplied(reply.revision);
                      else if (reply.answer == WriteAnswer::Conflict)
                          pending->write.writeConflicted();
                      else
                          pending->write.writeAnswerLost();
                      if (reply.answer == WriteAnswer::Lost)
                          m_answerLost(pending->name);
                      proceed(pending);
                  });
}

void DocumentStore::sendRead(const std::shared_ptr<Pending> &pending)
{
    m_store.read(pending->name, [this, pending](const core::Result<StoredObject> &result) {
        if (const auto *object = std::get_if<StoredObject>(&result)) {
            observe(*object);
            pending->seen = *object;
            const auto found = m_states.find(pending->name);
            const bool isHere = object->revision != 0 && found != m_states.end();
            pending->write.readAnswered(isHere ? found->second : core::StoredState{});
        } else {
            pending->write.readFailed();
        }
        proceed(pending);
    });
}

} // namespace sardinehinge::edges
