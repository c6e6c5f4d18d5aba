#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sardinehinge::edges {

/// An object as the store holds it. Revisions rise over all objects of the store, one for each change.
struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0; ///< 0: it doesn't exist.
    std::string bytes;

    bool operator==(const StoredObject &) const = default;
};

/// What a conditional write was answered.
enum class WriteAnswer {
    Applied,
    Conflict, ///< The condition didn't hold when this copy of the write arrived.
    Lost, ///< No answer: it may or may not have taken effect.
};

struct WriteReply
{
    WriteAnswer answer = WriteAnswer::Lost;
    std::uint64_t revision = 0; ///< After the write, when it was applied.

    bool operator==(const WriteReply &) const = default;
};

/// The changes after some revision, oldest first, one entry an object.
struct WatchReply
{
    std::uint64_t upTo = 0; ///< Give this to the next watch.
    std::vector<StoredObject> objects;

    bool operator==(const WatchReply &) const = default;
};

/// The platform's object store. Every call counts against its budget, a waiting watch as one.
///
/// Callbacks come exactly once, on the thread of the caller's event loop, never from within the call.
class ObjectStore
{
public:
    template<typename T>
    using Callback = std::function<void(T)>;

    virtual ~ObjectStore() = default;

    /// The present object; revision 0 when it doesn't exist.
    virtual void read(const std::string &name, Callback<core::Result<StoredObject>> done) = 0;
    /// Writes if the object's revision is `expectedRevision` (0: doesn't exist).
    virtual void write(const std::string &name, const std::string &bytes, std::uint64_t expectedRevision,
                       Callback<WriteReply> done)
        = 0;
    /// Waits up to `wait` for changes after `afterRevision`.
    virtual void watch(std::uint64_t afterRevision, core::Duration wait, Callback<core::Result<WatchReply>> done) = 0;
    /// The object's versions that the store still has, newest first.
    virtual void versions(const std::string &name, Callback<core::Result<std::vector<StoredObject>>> done) = 0;
};

} // namespace sardinehinge::edges
