#pragma once

#include <sardinehinge/core/messages.h>
#include <sardinehinge/core/types.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>

namespace sardinehinge::core {

/// One version of a document in the store.
struct Document
{
    std::string name;
    std::uint64_t revision = 0;
    std::string bytes;

    bool operator==(const Document &) const = default;
};

/// Timing and size limits of document replication.
struct DocumentTiming
{
    Duration digestInterval = 500ms; ///< Interval of digest exchange with one random peer.
    Duration fetchTimeout = 150ms; ///< A fetch without progress for this long is sent again, also to another peer.
    Duration watchHeartbeatInterval = 500ms; ///< Longest time between two responses of the store to a watcher.
    Duration storeSilenceTimeout = 3s; ///< Time without contact to the store after which more daemons watch it.
    Duration watcherDoublingInterval = 10s; ///< The number of watchers doubles after each further interval.
    std::size_t baseWatchers = 3; ///< Daemons that watch the store, whatever the size of the fleet.
    std::size_t maxWatchers = 12; ///< Upper bound of watchers, also during a store outage.
    std::size_t fanOut = 16; ///< Peers that one daemon pushes a new document to.
    std::size_t maxPieceBytes = 1100; ///< Content of one message, below the usual size of a datagram.
    std::size_t maxDocumentBytes = 1024UL * 1024; ///< Largest document, as in the store.

    bool operator==(const DocumentTiming &) const = default;
};

// Events.

struct DocumentTick
{
};

struct DocumentPeersChanged
{
    InstanceView view;
};

/// The store returned this version for a watch, a read, or an applied write.
struct DocumentFromStore
{
    Document document;
};

/// The store responded to a watch or a read, with any result.
struct StoreResponded
{
};

using DocumentEvent = std::variant<DocumentTick, DocumentPeersChanged, DocumentFromStore, StoreResponded>;

// Effects.

struct SendDocumentMessage
{
    std::string to;
    PeerMessage message;
};

/// A newer version of a document was received. Revisions of one document are reported in ascending order.
struct DocumentUpdated
{
    Document document;
};

/// Starts or stops watching the store.
struct WatchStore
{
    bool enabled = false;
};

using DocumentEffect = std::variant<SendDocumentMessage, DocumentUpdated, WatchStore>;

/// Replicates documents from the few daemons that watch the store to all daemons.
///
/// Performs no I/O. A new version is pushed down a tree over the instance list: each receiver forwards it to `fanOut`
/// children, so a push takes log(fleet) steps. Every daemon also exchanges digests with a random peer, which repairs
/// lost messages (anti-entropy, Demers et al., 1987). Revisions never decrease: a lower revision is ignored, whatever
/// its source. The number of daemons that watch the store doesn't depend on the size of the fleet.
class DocumentReplicator
{
public:
    using Effects = std::vector<DocumentEffect>;

    DocumentReplicator(std::string selfId, std::uint64_t seed, DocumentTiming timing = {});

    Effects handle(const DocumentEvent &event, Time now);
    Effects handle(const DaemonIdentity &from, const PeerMessage &message, Time now);

    /// Returns the version held, or nullptr. The pointer is valid until the next call of handle().
    const Document *find(const std::string &name) const noexcept;
    const std::map<std::string, Document> &all() const noexcept { return m_documents; }
    /// Time since the last known contact of any daemon with the store.
    Duration storeAge(Time now) const noexcept;
    bool isWatching() const noexcept { return m_isWatching; }

private:
    /// A partially received document.
    struct IncomingDocument
    {
        std::uint64_t revision = 0;
        std::uint32_t total = 0;
        std::map<std::uint32_t, std::string> pieces;
        std::size_t bytes = 0;
        std::string source;
        Time lastProgress = 0ms;
    };

    void onMessage(const std::string &from, const Piece &piece);
    void onMessage(const std::string &from, const Fetch &fetch);
    void onMessage(const std::string &from, const Digest &digest);
    void onMessage(const std::string &from, const DigestList &list);
    template<typename T>
    void onMessage(const std::string &, const T &)
    {
    }

    bool storeIfNewer(const Document &document);
    void pushToChildren(const Document &document, bool isOrigin);
    void sendDocument(const std::string &to, const Document &document);
    void sendDigestList(const std::string &to, bool isReply);
    void startFetch(const std::string &peer, const std::string &name, std::uint64_t revision);
    void retryFetches();
    void updateWatching();
    std::size_t wantedWatchers() const noexcept;
    const std::string *randomPeer();
    std::size_t ownTreeIndex(const std::string &name) const;
    std::vector<std::string> childrenOf(std::size_t index, const std::string &name) const;
    const std::string &rootOf(const std::string &name) const;
    void sendTo(const std::string &peer, PeerMessage message);

    std::string m_self;
    DocumentTiming m_timing;
    std::mt19937_64 m_random;
    Time m_now = 0ms;
    Effects m_effects;
    std::vector<std::string> m_peers; ///< All daemons of the list in rendezvous order, this one included.
    std::size_t m_ownRank = 0;
    std::map<std::string, Document> m_documents;
    std::map<std::string, IncomingDocument> m_incoming;
    std::uint64_t m_digestHash = 0; ///< XOR of the hashes of all documents, so that an update takes O(1).
    Time m_lastStoreContact = 0ms;
    Time m_startedAt = 0ms;
    Time m_lastDigest = 0ms;
    bool m_isWatching = false;
};

} // namespace sardinehinge::core
