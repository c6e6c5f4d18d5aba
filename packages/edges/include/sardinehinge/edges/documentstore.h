#pragma once

#include <sardinehinge/core/conditionalwrite.h>
#include <sardinehinge/edges/documentcodec.h>
#include <sardinehinge/edges/objectstore.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sardinehinge::edges {

/// Conditional writes of enveloped documents, carried to a certain end by core::ConditionalWrite.
///
/// Single-threaded, on the store's thread. Keeps the attempts of each object that it has seen, which a write must name.
class DocumentStore
{
public:
    /// `write`: what became of it. `object`: as written when it was applied, as the winner wrote it after a conflict.
    using WriteDone = std::function<void(const core::WriteOutcome &write, const StoredObject &object)>;
    using AnswerLost = std::function<void(const std::string &name)>;

    /// `answerLost` is called whenever a write's answer was lost and the object is read back.
    DocumentStore(ObjectStore &store, AnswerLost answerLost);

    /// Writes `body` under `attempt`, which must be unique to this intent: the same attempt twice applies once.
    void write(const std::string &name, const std::string &body, const std::string &author, const std::string &attempt,
               std::uint64_t expectedRevision, WriteDone done);
    /// Remembers the attempts of an object that was read or watched.
    void observe(const StoredObject &object);

private:
    struct Pending;

    void proceed(const std::shared_ptr<Pending> &pending);
    void sendWrite(const std::shared_ptr<Pending> &pending);
    void sendRead(const std::shared_ptr<Pending> &pending);
    const core::StoredState *stateOf(const std::string &name, std::uint64_t revision) const;

    ObjectStore &m_store;
    AnswerLost m_answerLost;
    std::map<std::string, core::StoredState> m_states;
};

} // namespace sardinehinge::edges
