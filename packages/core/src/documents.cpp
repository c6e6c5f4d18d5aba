#include <sardinehinge/core/documents.h>

#include <sardinehinge/core/sharding.h>

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace sardinehinge::core {

namespace {

constexpr std::string_view rankingKey = "documents";
constexpr std::size_t maxRevisionsPerList = 24; ///< Keeps a list message below the usual size of a datagram.

std::uint64_t documentHash(const Document &document) noexcept
{
    return document.revision == 0 ? 0
                                  : XXH3_64bits_withSeed(document.name.data(), document.name.size(), document.revision);
}

} // namespace

DocumentReplicator::DocumentReplicator(std::string selfId, std::uint64_t seed, DocumentTiming timing)
    : m_self(std::move(selfId))
    , m_timing(timing)
    , m_random(seed)
    , m_peers{m_self}
{
}

DocumentReplicator::Effects DocumentReplicator::handle(const DocumentEvent &event, Time now)
{
    m_now = std::max(m_now, now);
    if (m_startedAt == 0ms) {
        m_startedAt = m_now;
        m_lastStoreContact = m_now;
    }
    m_effects.clear();
    if (const auto *changed = std::get_if<DocumentPeersChanged>(&event)) {
        m_peers.clear();
        for (const Instance &daemon : liveDaemons(changed->view))
            m_peers.push_back(daemon.id);
        if (std::find(m_peers.begin(), m_peers.end(), m_self) == m_peers.end())
            m_peers.push_back(m_self);
        const auto byRank = [](const std::string &a, const std::string &b) {
            return rendezvousRank(rankingKey, a) < rendezvousRank(rankingKey, b);
        };
        std::sort(m_peers.begin(), m_peers.end(), byRank);
        m_ownRank = static_cast<std::size_t>(std::find(m_peers.begin(), m_peers.end(), m_self) - m_peers.begin());
    } else if (const auto *fromStore = std::get_if<DocumentFromStore>(&event)) {
        m_lastStoreContact = m_now;
        if (storeIfNewer(fromStore->document))
            pushToChildren(fromStore->document, true);
    } else if (std::holds_alternative<StoreResponded>(event)) {
        m_lastStoreContact = m_now;
    } else {
        updateWatching();
        retryFetches();
        if (m_now - m_lastDigest >= m_timing.digestInterval) {
            m_lastDigest = m_now;
            if (const std::string *peer = randomPeer())
                sendTo(*peer, Digest{m_digestHash, storeAge(m_now) / 1ms, false});
        }
    }
    return std::exchange(m_effects, {});
}

DocumentReplicator::Effects DocumentReplicator::handle(const DaemonIdentity &from, const PeerMessage &message, Time now)
{
    m_now = std::max(m_now, now);
    m_effects.clear();
    std::visit([&](const auto &typed) { onMessage(from.id, typed); }, message);
    return std::exchange(m_effects, {});
}

const Document *DocumentReplicator::find(const std::string &name) const noexcept
{
    const auto found = m_documents.find(name);
    return found == m_documents.end() ? nullptr : &found->second;
}

Duration DocumentReplicator::storeAge(Time now) const noexcept
{
    return now - m_lastStoreContact;
}

void DocumentReplicator::onMessage(const std::string &from, const Piece &piece)
{
    const Document *held = find(piece.document);
    if (held != nullptr && held->revision >= piece.revision)
        return;
    const bool isInBounds = piece.total <= m_timing.maxDocumentBytes && piece.offset <= piece.total
        && piece.bytes.size() <= piece.total - piece.offset;
    if (!isInBounds)
        return;
    IncomingDocument &incoming = m_incoming[piece.document];
    if (piece.revision < incoming.revision)
        return;
    if (piece.revision > incoming.revision || piece.total != incoming.total)
        incoming = IncomingDocument{piece.revision, piece.total, {}, 0, from, m_now};
    incoming.lastProgress = m_now;
    if (!incoming.pieces.emplace(piece.offset, piece.bytes).second)
        return;
    incoming.bytes += piece.bytes.size();
    if (incoming.bytes < incoming.total)
        return;
    Document document{piece.document, piece.revision, {}};
    for (const auto &[offset, bytes] : incoming.pieces)
        document.bytes += bytes;
    m_incoming.erase(piece.document);
    if (document.bytes.size() == piece.total && storeIfNewer(document))
        pushToChildren(document, false);
}

void DocumentReplicator::onMessage(const std::string &from, const Fetch &fetch)
{
    if (const Document *held = find(fetch.document); held != nullptr && held->revision >= fetch.revision)
        sendDocument(from, *held);
}

void DocumentReplicator::onMessage(const std::string &from, const Digest &digest)
{
    m_lastStoreContact = std::max(m_lastStoreContact, m_now - digest.storeAgeMs * 1ms);
    if (digest.hash != m_digestHash)
        return sendDigestList(from, false);
    // The reply tells the requester the age of the last contact with the store.
    if (!digest.isReply)
        sendTo(from, Digest{m_digestHash, storeAge(m_now) / 1ms, true});
}

void DocumentReplicator::onMessage(const std::string &from, const DigestList &list)
{
    for (const auto &[name, revision] : list.revisions) {
        const Document *held = find(name);
        const std::uint64_t ownRevision = held == nullptr ? 0 : held->revision;
        if (ownRevision < revision)
            startFetch(from, name, revision);
        else if (ownRevision > revision)
            sendDocument(from, *held);
    }
    if (!list.isReply)
        sendDigestList(from, true);
}

bool DocumentReplicator::storeIfNewer(const Document &document)
{
    auto &held = m_documents[document.name];
    if (held.revision >= document.revision)
        return false;
    m_digestHash ^= documentHash(held) ^ documentHash(document);
    held = document;
    m_effects.push_back(DocumentUpdated{document});
    return true;
}

void DocumentReplicator::pushToChildren(const Document &document, bool isOrigin)
{
    // The origin can be any node of the tree. It sends to the root, the root's children and its own children, so that
    // the failure of a single daemon near the root doesn't block the push.
    std::vector<std::string> receivers = childrenOf(ownTreeIndex(document.name), document.name);
    if (isOrigin) {
        receivers = childrenOf(0, document.name);
        receivers.push_back(rootOf(document.name));
        const auto own = childrenOf(ownTreeIndex(document.name), document.name);
        receivers.insert(receivers.end(), own.begin(), own.end());
    }
    std::sort(receivers.begin(), receivers.end());
    receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
    for (const std::string &receiver : receivers) {
        if (receiver != m_self)
            sendDocument(receiver, document);
    }
}

void DocumentReplicator::sendDocument(const std::string &to, const Document &document)
{
    const auto total = static_cast<std::uint32_t>(document.bytes.size());
    std::uint32_t offset = 0;
    do {
        const std::string bytes = document.bytes.substr(offset, m_timing.maxPieceBytes);
        sendTo(to, Piece{document.name, document.revision, total, offset, bytes});
        offset += static_cast<std::uint32_t>(m_timing.maxPieceBytes);
    } while (offset < total);
}

void DocumentReplicator::sendDigestList(const std::string &to, bool isReply)
{
    DigestList list{{}, isReply};
    for (const auto &[name, document] : m_documents) {
        list.revisions.push_back({name, document.revision});
        if (list.revisions.size() == maxRevisionsPerList) {
            sendTo(to, list);
            list.revisions.clear();
        }
    }
    if (!list.revisions.empty() || m_documents.empty())
        sendTo(to, list);
}

void DocumentReplicator::startFetch(const std::string &peer, const std::string &name, std::uint64_t revision)
{
    IncomingDocument &incoming = m_incoming[name];
    if (incoming.revision >= revision && m_now - incoming.lastProgress < m_timing.fetchTimeout)
        return;
    // Pieces of the same version are kept, so that a repeated fetch only has to deliver the lost ones.
    if (incoming.revision != revision)
        incoming = IncomingDocument{revision, 0, {}, 0, peer, m_now};
    incoming.source = peer;
    incoming.lastProgress = m_now;
    sendTo(peer, Fetch{name, revision});
}

void DocumentReplicator::retryFetches()
{
    for (auto &[name, incoming] : m_incoming) {
        if (m_now - incoming.lastProgress < m_timing.fetchTimeout)
            continue;
        incoming.lastProgress = m_now;
        // The source had this version; a random peer is also asked in case the source has failed.
        sendTo(incoming.source, Fetch{name, incoming.revision});
        if (const std::string *peer = randomPeer())
            sendTo(*peer, Fetch{name, incoming.revision});
    }
}

std::size_t DocumentReplicator::wantedWatchers() const noexcept
{
    std::size_t count = m_timing.baseWatchers;
    for (Duration age = storeAge(m_now) - m_timing.storeSilenceTimeout; age > 0ms && count < m_timing.maxWatchers;
         age -= m_timing.watcherDoublingInterval)
        count *= 2;
    return std::min(count, m_timing.maxWatchers);
}

void DocumentReplicator::updateWatching()
{
    const bool shouldWatch = m_ownRank < wantedWatchers();
    if (shouldWatch == m_isWatching)
        return;
    m_isWatching = shouldWatch;
    m_effects.push_back(WatchStore{shouldWatch});
}

const std::string *DocumentReplicator::randomPeer()
{
    if (m_peers.size() < 2)
        return nullptr;
    std::uniform_int_distribution<std::size_t> pick(1, m_peers.size() - 1);
    return &m_peers[(m_ownRank + pick(m_random)) % m_peers.size()];
}

/// Returns the root of a document's tree. Trees are rotated by document name to spread the load of inner nodes.
const std::string &DocumentReplicator::rootOf(const std::string &name) const
{
    return m_peers[XXH3_64bits(name.data(), name.size()) % m_peers.size()];
}

/// Returns this daemon's index in the document's tree; the root has index 0.
std::size_t DocumentReplicator::ownTreeIndex(const std::string &name) const
{
    const std::size_t count = m_peers.size();
    return (m_ownRank + count - XXH3_64bits(name.data(), name.size()) % count) % count;
}

/// Returns the peers that the daemon at `index` forwards a document to: its children in a tree of degree `fanOut`.
std::vector<std::string> DocumentReplicator::childrenOf(std::size_t index, const std::string &name) const
{
    const std::size_t count = m_peers.size();
    const std::size_t shift = XXH3_64bits(name.data(), name.size()) % count;
    std::vector<std::string> children;
    for (std::size_t child = index * m_timing.fanOut + 1; child <= (index + 1) * m_timing.fanOut && child < count;
         ++child)
        children.push_back(m_peers[(child + shift) % count]);
    return children;
}

void DocumentReplicator::sendTo(const std::string &peer, PeerMessage message)
{
    m_effects.push_back(SendDocumentMessage{peer, std::move(message)});
}

} // namespace sardinehinge::core
