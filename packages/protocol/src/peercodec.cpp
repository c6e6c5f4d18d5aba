#include <sardinehinge/protocol/peercodec.h>

#include "thriftbuffer.h"

#include <peer_types.h>

#include <optional>
#include <utility>

namespace sardinehinge::protocol {

namespace {

std::int64_t toWire(std::uint64_t value) noexcept
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t fromWire(std::int64_t value) noexcept
{
    return static_cast<std::uint64_t>(value);
}

/// Puts each kind of message into its field of the union.
struct BodyWriter
{
    wire::Body &body;

    void operator()(const core::PromiseRequest &message) const
    {
        wire::PromiseRequest out;
        out.__set_group(message.group);
        out.__set_term(toWire(message.term));
        out.__set_baseTerm(toWire(message.baseTerm));
        body.__set_promiseRequest(out);
    }

    void operator()(const core::PromiseReply &message) const
    {
        wire::PromiseReply out;
        out.__set_group(message.group);
        out.__set_term(toWire(message.term));
        out.__set_granted(message.granted);
        out.__set_promisedTerm(toWire(message.promisedTerm));
        out.__set_baseTerm(toWire(message.baseTerm));
        body.__set_promiseReply(out);
    }

    void operator()(const core::Heartbeat &message) const
    {
        body.__set_heartbeat(confirmation<wire::Heartbeat>(message));
    }
    void operator()(const core::HeartbeatAck &message) const
    {
        body.__set_heartbeatAck(confirmation<wire::HeartbeatAck>(message));
    }

    void operator()(const core::Piece &message) const
    {
        wire::Piece out;
        out.__set_document(message.document);
        out.__set_revision(toWire(message.revision));
        out.__set_total(static_cast<std::int32_t>(message.total));
        out.__set_offset(static_cast<std::int32_t>(message.offset));
        out.__set_bytes(message.bytes);
        body.__set_piece(out);
    }

    void operator()(const core::Fetch &message) const
    {
        wire::Fetch out;
        out.__set_document(message.document);
        out.__set_revision(toWire(message.revision));
        body.__set_fetch(out);
    }

    void operator()(const core::Digest &message) const
    {
        wire::Digest out;
        out.__set_hash(toWire(message.hash));
        out.__set_storeAgeMs(message.storeAgeMs);
        out.__set_isReply(message.isReply);
        body.__set_digest(out);
    }

    void operator()(const core::DigestList &message) const
    {
        wire::DigestList out;
        for (const auto &[document, revision] : message.revisions) {
            wire::DocumentRevision entry;
            entry.__set_document(document);
            entry.__set_revision(toWire(revision));
            out.revisions.push_back(entry);
        }
        out.__set_isReply(message.isReply);
        body.__set_digestList(out);
    }

    void operator()(const core::RevisionQuery &message) const
    {
        wire::RevisionQuery out;
        out.__set_document(message.document);
        out.__set_token(toWire(message.token));
        body.__set_revisionQuery(out);
    }

    void operator()(const core::RevisionReply &message) const
    {
        wire::RevisionReply out;
        out.__set_document(message.document);
        out.__set_token(toWire(message.token));
        out.__set_revision(toWire(message.revision));
        body.__set_revisionReply(out);
    }

    void operator()(const core::SlotDemand &message) const
    {
        wire::SlotDemand out;
        out.__set_target(message.target);
        out.__set_slots(static_cast<std::int32_t>(message.slots));
        out.__set_longSlots(static_cast<std::int32_t>(message.longSlots));
        out.__set_wantedShort(toWire(message.wanted.shortWork));
        out.__set_wantedLong(toWire(message.wanted.longWork));
        out.__set_grantedShort(toWire(message.granted.shortWork));
        out.__set_grantedLong(toWire(message.granted.longWork));
        out.__set_finishedShort(toWire(message.finished.shortWork));
        out.__set_finishedLong(toWire(message.finished.longWork));
        body.__set_slotDemand(out);
    }

    void operator()(const core::SlotGrant &message) const
    {
        wire::SlotGrant out;
        out.__set_target(message.target);
        out.__set_grantedShort(toWire(message.granted.shortWork));
        out.__set_grantedLong(toWire(message.granted.longWork));
        out.__set_isCalm(message.isCalm);
        body.__set_slotGrant(out);
    }

private:
    template<typename Wire, typename Message>
    static Wire confirmation(const Message &message)
    {
        Wire out;
        out.__set_group(message.group);
        out.__set_term(toWire(message.term));
        out.__set_baseTerm(toWire(message.baseTerm));
        out.__set_sentAt(message.sentAt);
        return out;
    }
};

core::DigestList readDigestList(const wire::DigestList &in)
{
    core::DigestList list{{}, in.isReply};
    for (const wire::DocumentRevision &entry : in.revisions)
        list.revisions.push_back({entry.document, fromWire(entry.revision)});
    return list;
}

core::SlotDemand readSlotDemand(const wire::SlotDemand &in)
{
    return {in.target,
            static_cast<std::uint32_t>(in.slots),
            static_cast<std::uint32_t>(in.longSlots),
            {fromWire(in.wantedShort), fromWire(in.wantedLong)},
            {fromWire(in.grantedShort), fromWire(in.grantedLong)},
            {fromWire(in.finishedShort), fromWire(in.finishedLong)}};
}

/// The message in a body, or nothing when no known field is set.
std::optional<core::PeerMessage> readBody(const wire::Body &body)
{
    const auto &set = body.__isset;
    if (set.promiseRequest) {
        const auto &in = body.promiseRequest;
        return core::PromiseRequest{in.group, fromWire(in.term), fromWire(in.baseTerm)};
    }
    if (set.promiseReply) {
        const auto &in = body.promiseReply;
        return core::PromiseReply{in.group, fromWire(in.term), in.granted, fromWire(in.promisedTerm),
                                  fromWire(in.baseTerm)};
    }
    if (set.heartbeat) {
        const auto &in = body.heartbeat;
        return core::Heartbeat{in.group, fromWire(in.term), fromWire(in.baseTerm), in.sentAt};
    }
    if (set.heartbeatAck) {
        const auto &in = body.heartbeatAck;
        return core::HeartbeatAck{in.group, fromWire(in.term), fromWire(in.baseTerm), in.sentAt};
    }
    if (set.piece) {
        const auto &in = body.piece;
        return core::Piece{in.document, fromWire(in.revision), static_cast<std::uint32_t>(in.total),
                           static_cast<std::uint32_t>(in.offset), in.bytes};
    }
    if (set.fetch)
        return core::Fetch{body.fetch.document, fromWire(body.fetch.revision)};
    if (set.digest)
        return core::Digest{fromWire(body.digest.hash), body.digest.storeAgeMs, body.digest.isReply};
    if (set.digestList)
        return readDigestList(body.digestList);
    if (set.revisionQuery)
        return core::RevisionQuery{body.revisionQuery.document, fromWire(body.revisionQuery.token)};
    if (set.revisionReply) {
        const auto &in = body.revisionReply;
        return core::RevisionReply{in.document, fromWire(in.token), fromWire(in.revision)};
    }
    if (set.slotDemand)
        return readSlotDemand(body.slotDemand);
    if (set.slotGrant) {
        const auto &in = body.slotGrant;
        return core::SlotGrant{in.target, {fromWire(in.grantedShort), fromWire(in.grantedLong)}, in.isCalm};
    }
    return std::nullopt;
}

core::Error decodeError(std::string detail)
{
    return {core::ErrorCode::BadRequest, "decode", {}, std::move(detail)};
}

} // namespace

std::string encode(const Envelope &envelope)
{
    wire::Envelope out;
    wire::Identity sender;
    sender.__set_id(envelope.sender.id);
    sender.__set_incarnation(toWire(envelope.sender.incarnation));
    out.__set_sender(sender);
    out.__set_recipient(envelope.recipient);
    out.__set_stampWall(envelope.stamp.wallMicroseconds);
    out.__set_stampCount(static_cast<std::int32_t>(envelope.stamp.count));
    std::visit(BodyWriter{out.body}, envelope.message);
    out.__isset.body = true;
    return internal::toBytes(out);
}

core::Result<Envelope> decode(std::string_view datagram)
{
    if (datagram.size() > internal::datagramLimit)
        return decodeError("larger than a datagram");
    try {
        const auto in = internal::fromBytes<wire::Envelope>(datagram);
        auto message = readBody(in.body);
        if (!message || in.sender.id.empty())
            return decodeError("no sender or no known message");
        return Envelope{{in.sender.id, fromWire(in.sender.incarnation)},
                        in.recipient,
                        {in.stampWall, static_cast<std::uint32_t>(in.stampCount)},
                        std::move(*message)};
    } catch (const std::exception &exception) {
        return decodeError(exception.what());
    }
}

} // namespace sardinehinge::protocol
