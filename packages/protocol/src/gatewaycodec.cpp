#include <sardinehinge/protocol/gatewaycodec.h>

#include "thriftbuffer.h"

#include <gateway_types.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace sardinehinge::protocol {

namespace {

/// Latencies relative to a norm are carried in thousandths.
constexpr double permille = 1000;
constexpr double mostSlowness = 1000;
/// Bounds of permits in one message, and of the times with them.
constexpr std::uint32_t mostWanted = 100'000;
constexpr std::uint32_t mostCopies = 100'000;
constexpr core::Duration longestWait = std::chrono::hours(24);

std::int64_t toWire(std::uint64_t value) noexcept
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t fromWire(std::int64_t value) noexcept
{
    return static_cast<std::uint64_t>(value);
}

std::int64_t toMicroseconds(core::Duration time) noexcept
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::clamp(time, -longestWait, longestWait)).count();
}

bool isWithinLimits(std::int64_t microseconds) noexcept
{
    constexpr std::int64_t most = std::chrono::microseconds(std::chrono::hours(24)).count();
    return microseconds >= -most && microseconds <= most;
}

std::int64_t toMilliseconds(core::Duration time) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::clamp(time, core::Duration(0), longestWait))
        .count();
}

/// Whether it is a time from 0 to a day.
bool isTime(std::int64_t milliseconds) noexcept
{
    return milliseconds >= 0 && milliseconds <= std::chrono::milliseconds(std::chrono::hours(24)).count();
}

gatewaywire::Fingerprint toWire(const core::RequestFingerprint &fingerprint)
{
    gatewaywire::Fingerprint out;
    out.__set_high(toWire(fingerprint.high));
    out.__set_low(toWire(fingerprint.low));
    return out;
}

core::RequestFingerprint fromWire(const gatewaywire::Fingerprint &fingerprint) noexcept
{
    return {fromWire(fingerprint.high), fromWire(fingerprint.low)};
}

gatewaywire::FeedPosition toWire(const core::FeedPosition &position)
{
    gatewaywire::FeedPosition out;
    out.__set_changedAt(toWire(position.changedAt));
    out.__set_completeTo(toWire(position.completeTo));
    out.__set_relistedAt(toWire(position.relistedAt));
    out.__set_era(toWire(position.era));
    return out;
}

core::FeedPosition fromWire(const gatewaywire::FeedPosition &position) noexcept
{
    return {fromWire(position.changedAt), fromWire(position.completeTo), fromWire(position.relistedAt),
            fromWire(position.era)};
}

/// Puts each kind of message into its field of the datagram.
struct MessageWriter
{
    gatewaywire::Datagram &out;

    void operator()(const core::RangeOwners &message) const
    {
        gatewaywire::Owners owners;
        owners.__set_group(message.service);
        owners.__set_term(toWire(message.term));
        owners.__set_sequence(toWire(message.sequence));
        std::map<std::string, std::int16_t> indices;
        for (const core::RoutedRange &range : message.ranges) {
            const auto [entry, isNew] = indices.emplace(range.owner, static_cast<std::int16_t>(owners.owners.size()));
            if (isNew)
                owners.owners.push_back(range.owner);
            gatewaywire::OwnedPart part;
            part.__set_last(static_cast<std::int32_t>(range.range.last));
            part.__set_owner(entry->second);
            part.__set_state(static_cast<std::int8_t>(range.state));
            owners.parts.push_back(part);
        }
        owners.__isset.owners = owners.__isset.parts = true;
        out.__set_owners(owners);
    }

    void operator()(const core::RangeOwnersChange &message) const
    {
        gatewaywire::OwnersChange change;
        change.__set_group(message.service);
        change.__set_term(toWire(message.term));
        change.__set_baseTerm(toWire(message.baseTerm));
        change.__set_base(toWire(message.base));
        change.__set_sequence(toWire(message.sequence));
        for (const core::RoutedRange &range : message.ranges) {
            gatewaywire::ChangedPart part;
            part.__set_first(static_cast<std::int32_t>(range.range.first));
            part.__set_last(static_cast<std::int32_t>(range.range.last));
            part.__set_owner(range.owner);
            part.__set_state(static_cast<std::int8_t>(range.state));
            change.parts.push_back(part);
        }
        change.__isset.parts = true;
        out.__set_ownersChange(change);
    }

    void operator()(const core::ControllerHeartbeat &message) const
    {
        gatewaywire::Beat beat;
        beat.__set_group(message.service);
        beat.__set_term(toWire(message.term));
        beat.__set_sequence(toWire(message.sequence));
        beat.__set_storeAgeMs(std::chrono::duration_cast<std::chrono::milliseconds>(message.storeAge).count());
        beat.__set_isLeaving(message.isLeaving);
        beat.__set_sentAt(message.sentAt.count());
        beat.__set_wantsAck(message.wantsAck);
        beat.__set_era(toWire(message.era));
        out.__set_beat(beat);
    }

    void operator()(const core::ControllerHeartbeatAck &message) const
    {
        gatewaywire::Ack ack;
        ack.__set_group(message.service);
        ack.__set_term(toWire(message.term));
        ack.__set_sentAt(message.sentAt.count());
        ack.__set_era(toWire(message.era));
        out.__set_ack(ack);
    }

    void operator()(const core::ControllerResigned &message) const
    {
        gatewaywire::Resigned resigned;
        resigned.__set_group(message.service);
        resigned.__set_term(toWire(message.term));
        out.__set_resigned(resigned);
    }

    void operator()(const core::WatchNotice &message) const
    {
        gatewaywire::WatchNotice notice;
        notice.__set_configs(toWire(message.configs));
        notice.__set_targets(toWire(message.targets));
        notice.__set_ageMs(
            static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(message.age).count()));
        notice.__set_evacuations(toWire(message.evacuations));
        notice.__set_hasEvacuatedDomains(message.evacuatedDomains.has_value());
        if (message.evacuatedDomains)
            notice.__set_evacuatedDomains(*message.evacuatedDomains);
        out.__set_watchNotice(notice);
    }

    void operator()(const TargetChanges &message) const
    {
        gatewaywire::TargetChanges changes;
        changes.__set_base(toWire(message.base));
        changes.__set_revision(toWire(message.revision));
        changes.__set_era(toWire(message.era));
        for (const TargetChange &change : message.changes) {
            gatewaywire::TargetChange entry;
            entry.__set_id(change.id);
            entry.__set_isThere(change.target.has_value());
            if (const auto &target = change.target) {
                entry.__set_born(toWire(target->identity.incarnation));
                entry.__set_group(target->service);
                entry.__set_address(target->address);
                entry.__set_failureDomain(target->failureDomain);
                entry.__set_capacity(static_cast<std::int32_t>(target->slots));
                entry.__set_isDraining(target->isDraining);
                entry.__set_sequence(toWire(target->sequence));
                entry.__set_warmupMs(static_cast<std::int32_t>(
                    std::chrono::duration_cast<std::chrono::milliseconds>(target->warmupLeft).count()));
            }
            changes.changes.push_back(entry);
        }
        changes.__isset.changes = true;
        out.__set_targetChanges(changes);
    }

    void operator()(const OwnersWanted &message) const
    {
        gatewaywire::OwnersWanted wanted;
        wanted.__set_group(message.service);
        out.__set_wanted(wanted);
    }

    void operator()(const LoadMessage &message) const
    {
        gatewaywire::Load load;
        load.__set_group(message.service);
        for (const auto &[key, count] : message.requests) {
            gatewaywire::KeyCount entry;
            entry.__set_key(static_cast<std::int32_t>(key));
            entry.__set_count(static_cast<std::int32_t>(count));
            load.keys.push_back(entry);
        }
        for (const auto &[target, slowness] : message.slowness) {
            gatewaywire::Slowness entry;
            entry.__set_target(target);
            entry.__set_permille(static_cast<std::int32_t>(std::lround(std::min(slowness, mostSlowness) * permille)));
            load.slowness.push_back(entry);
        }
        load.__isset.keys = load.__isset.slowness = true;
        out.__set_load(load);
    }

    void operator()(const RefusedMessage &message) const
    {
        gatewaywire::Refused refused;
        refused.__set_group(message.service);
        refused.__set_target(message.target);
        refused.__set_key(static_cast<std::int32_t>(message.key));
        out.__set_refused(refused);
    }

    void operator()(const LeavingMessage &message) const
    {
        gatewaywire::Leaving leaving;
        leaving.__set_group(message.service);
        leaving.__set_target(message.target.id);
        leaving.__set_born(toWire(message.target.incarnation));
        out.__set_leaving(leaving);
    }

    void operator()(const core::PermitRequest &message) const
    {
        gatewaywire::PermitRequest request;
        request.__set_group(message.service);
        request.__set_target(message.target.id);
        request.__set_born(toWire(message.target.incarnation));
        request.__set_rate(message.rate);
        request.__set_wanted(static_cast<std::int32_t>(std::min(message.wanted, mostWanted)));
        request.__set_maxWaitMs(static_cast<std::int32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::min(message.maxWait, longestWait)).count()));
        request.__set_number(toWire(message.number));
        out.__set_permitRequest(request);
    }

    void operator()(const core::PermitGrant &message) const
    {
        gatewaywire::PermitGrant grant;
        grant.__set_group(message.service);
        grant.__set_target(message.target.id);
        grant.__set_born(toWire(message.target.incarnation));
        grant.__set_number(toWire(message.number));
        grant.__set_count(static_cast<std::int32_t>(std::min(message.count, mostWanted)));
        grant.__set_startsInUs(toMicroseconds(message.startsIn));
        grant.__set_intervalUs(toMicroseconds(message.interval));
        grant.__set_retryInUs(toMicroseconds(message.retryIn));
        out.__set_permitGrant(grant);
    }

    void operator()(const core::CrashReport &message) const
    {
        gatewaywire::CrashReport report;
        report.__set_request(toWire(message.request));
        report.__set_target(message.target.id);
        report.__set_born(toWire(message.target.incarnation));
        report.__set_sentAgoMs(toMilliseconds(message.sentAgo));
        report.__set_endedAgoMs(toMilliseconds(message.endedAgo));
        report.__set_copies(static_cast<std::int32_t>(std::min(message.copies, mostCopies)));
        out.__set_crashReport(report);
    }

    void operator()(const QuarantineMessage &message) const
    {
        gatewaywire::Quarantines quarantines;
        for (const core::Quarantine &entry : message.entries) {
            gatewaywire::Quarantine each;
            each.__set_request(toWire(entry.request));
            each.__set_generation(static_cast<std::int32_t>(entry.generation));
            each.__set_evidenceAgeMs(toMilliseconds(entry.evidenceAge));
            each.__set_timeLeftMs(toMilliseconds(entry.timeLeft));
            quarantines.entries.push_back(each);
        }
        quarantines.__isset.entries = true;
        out.__set_quarantines(quarantines);
    }

    void operator()(const QuarantineDigest &message) const
    {
        gatewaywire::QuarantineDigest digest;
        digest.__set_digest(toWire(message.digest));
        digest.__set_isReply(message.isReply);
        out.__set_quarantineDigest(digest);
    }

    void operator()(const Hello &message) const
    {
        gatewaywire::Hello hello;
        hello.__set_address(message.address);
        hello.__set_isReply(message.isReply);
        hello.__set_linkMbps(static_cast<std::int32_t>(message.linkMbps));
        out.__set_hello(hello);
    }
};

bool isKey(std::int32_t value) noexcept
{
    return value >= 0 && value <= static_cast<std::int32_t>(core::lastKey);
}

std::optional<GatewayMessage> readOwners(const gatewaywire::Owners &in)
{
    core::RangeOwners owners{in.group, fromWire(in.term), fromWire(in.sequence), {}};
    std::uint32_t first = 0;
    for (const gatewaywire::OwnedPart &part : in.parts) {
        const bool isValid = isKey(part.last) && static_cast<std::uint32_t>(part.last) >= first && part.owner >= 0
            && static_cast<std::size_t>(part.owner) < in.owners.size() && part.state >= 0
            && part.state <= static_cast<std::int8_t>(core::RangeState::OwnerLost);
        if (!isValid)
            return std::nullopt;
        const auto last = static_cast<std::uint32_t>(part.last);
        owners.ranges.push_back({{first, last},
                                 in.owners[static_cast<std::size_t>(part.owner)],
                                 static_cast<core::RangeState>(part.state)});
        first = last + 1;
    }
    return owners;
}

std::optional<GatewayMessage> readChange(const gatewaywire::OwnersChange &in)
{
    core::RangeOwnersChange change{in.group,          fromWire(in.term),     fromWire(in.baseTerm),
                                   fromWire(in.base), fromWire(in.sequence), {}};
    std::int32_t next = 0;
    for (const gatewaywire::ChangedPart &part : in.parts) {
        const bool isValid = part.first >= next && isKey(part.last) && part.last >= part.first && part.state >= 0
            && part.state <= static_cast<std::int8_t>(core::RangeState::OwnerLost);
        if (!isValid)
            return std::nullopt;
        change.ranges.push_back({{static_cast<std::uint32_t>(part.first), static_cast<std::uint32_t>(part.last)},
                                 part.owner,
                                 static_cast<core::RangeState>(part.state)});
        next = part.last + 1;
    }
    return change;
}

std::optional<GatewayMessage> readLoad(const gatewaywire::Load &in)
{
    LoadMessage load{in.group, {}, {}};
    for (const gatewaywire::KeyCount &entry : in.keys) {
        if (!isKey(entry.key) || entry.count < 0)
            return std::nullopt;
        load.requests[static_cast<std::uint32_t>(entry.key)] += static_cast<std::uint32_t>(entry.count);
    }
    for (const gatewaywire::Slowness &entry : in.slowness) {
        if (entry.permille <= 0)
            return std::nullopt;
        load.slowness[entry.target] = entry.permille / permille;
    }
    return load;
}

std::optional<GatewayMessage> readTargetChanges(const gatewaywire::TargetChanges &in)
{
    TargetChanges changes{fromWire(in.base), fromWire(in.revision), {}, fromWire(in.era)};
    if (changes.revision < changes.base)
        return std::nullopt;
    for (const gatewaywire::TargetChange &entry : in.changes) {
        if (entry.id.empty() || (entry.isThere && (entry.capacity < 1 || entry.warmupMs < 0)))
            return std::nullopt;
        TargetChange change{entry.id, std::nullopt};
        if (entry.isThere)
            change.target = core::RegisteredTarget{{entry.id, fromWire(entry.born)},
                                                   entry.group,
                                                   entry.address,
                                                   entry.failureDomain,
                                                   static_cast<std::uint32_t>(entry.capacity),
                                                   entry.isDraining,
                                                   std::chrono::milliseconds(entry.warmupMs),
                                                   fromWire(entry.sequence)};
        changes.changes.push_back(std::move(change));
    }
    return changes;
}

std::optional<GatewayMessage> readPermitRequest(const gatewaywire::PermitRequest &in)
{
    const bool isValid = !in.group.empty() && !in.target.empty() && std::isfinite(in.rate) && in.rate >= 0
        && in.wanted >= 0 && in.wanted <= static_cast<std::int32_t>(mostWanted) && in.maxWaitMs >= 0;
    if (!isValid)
        return std::nullopt;
    return core::PermitRequest{in.group,
                               {in.target, fromWire(in.born)},
                               in.rate,
                               static_cast<std::uint32_t>(in.wanted),
                               std::chrono::milliseconds(in.maxWaitMs),
                               fromWire(in.number)};
}

std::optional<GatewayMessage> readPermitGrant(const gatewaywire::PermitGrant &in)
{
    const bool isValid = !in.group.empty() && !in.target.empty() && in.count >= 0
        && in.count <= static_cast<std::int32_t>(mostWanted) && isWithinLimits(in.startsInUs)
        && isWithinLimits(in.intervalUs) && in.intervalUs >= 0 && isWithinLimits(in.retryInUs) && in.retryInUs >= 0;
    if (!isValid)
        return std::nullopt;
    return core::PermitGrant{in.group,
                             {in.target, fromWire(in.born)},
                             fromWire(in.number),
                             static_cast<std::uint32_t>(in.count),
                             std::chrono::microseconds(in.startsInUs),
                             std::chrono::microseconds(in.intervalUs),
                             std::chrono::microseconds(in.retryInUs)};
}

std::optional<GatewayMessage> readCrashReport(const gatewaywire::CrashReport &in)
{
    const core::RequestFingerprint request = fromWire(in.request);
    if (!request.isSet() || in.target.empty() || !isTime(in.sentAgoMs) || !isTime(in.endedAgoMs) || in.copies < 1
        || in.copies > static_cast<std::int32_t>(mostCopies))
        return std::nullopt;
    return core::CrashReport{request,
                             {in.target, fromWire(in.born)},
                             std::chrono::milliseconds(in.sentAgoMs),
                             std::chrono::milliseconds(in.endedAgoMs),
                             static_cast<std::uint32_t>(in.copies)};
}

std::optional<GatewayMessage> readQuarantines(const gatewaywire::Quarantines &in)
{
    QuarantineMessage message;
    if (in.entries.size() > core::QuarantineKeeper::maxEntries)
        return std::nullopt;
    for (const gatewaywire::Quarantine &entry : in.entries) {
        const core::RequestFingerprint request = fromWire(entry.request);
        if (!request.isSet() || entry.generation < 1 || !isTime(entry.evidenceAgeMs) || !isTime(entry.timeLeftMs))
            return std::nullopt;
        message.entries.push_back({request, static_cast<std::uint32_t>(entry.generation),
                                   std::chrono::milliseconds(entry.evidenceAgeMs),
                                   std::chrono::milliseconds(entry.timeLeftMs)});
    }
    return message;
}

std::optional<GatewayMessage> readMessage(const gatewaywire::Datagram &in)
{
    const auto &isset = in.__isset;
    const int count = isset.owners + isset.beat + isset.resigned + isset.wanted + isset.load + isset.refused
        + isset.hello + isset.ack + isset.ownersChange + isset.watchNotice + isset.targetChanges + isset.leaving
        + isset.permitRequest + isset.permitGrant + isset.crashReport + isset.quarantines + isset.quarantineDigest;
    if (count != 1)
        return std::nullopt;
    if (isset.owners)
        return readOwners(in.owners);
    if (isset.beat)
        return core::ControllerHeartbeat{in.beat.group,
                                         in.sender,
                                         fromWire(in.beat.term),
                                         fromWire(in.beat.sequence),
                                         std::chrono::milliseconds(in.beat.storeAgeMs),
                                         in.beat.isLeaving,
                                         core::Time(in.beat.sentAt),
                                         in.beat.wantsAck,
                                         fromWire(in.beat.era)};
    if (isset.ownersChange)
        return readChange(in.ownersChange);
    if (isset.targetChanges)
        return readTargetChanges(in.targetChanges);
    if (isset.watchNotice) {
        if (in.watchNotice.ageMs < 0)
            return std::nullopt;
        core::WatchNotice notice{in.sender, fromWire(in.watchNotice.configs), fromWire(in.watchNotice.targets),
                                 std::chrono::milliseconds(in.watchNotice.ageMs), fromWire(in.watchNotice.evacuations)};
        if (in.watchNotice.hasEvacuatedDomains)
            notice.evacuatedDomains = in.watchNotice.evacuatedDomains;
        return notice;
    }
    if (isset.ack)
        return core::ControllerHeartbeatAck{in.ack.group,
                                            {in.sender, fromWire(in.incarnation)},
                                            fromWire(in.ack.term),
                                            core::Time(in.ack.sentAt),
                                            fromWire(in.ack.era)};
    if (isset.resigned)
        return core::ControllerResigned{in.resigned.group, in.sender, fromWire(in.resigned.term)};
    if (isset.wanted)
        return OwnersWanted{in.wanted.group};
    if (isset.load)
        return readLoad(in.load);
    if (isset.refused)
        return isKey(in.refused.key) ? std::optional<GatewayMessage>(
                   RefusedMessage{in.refused.group, in.refused.target, static_cast<std::uint32_t>(in.refused.key)})
                                     : std::nullopt;
    if (isset.crashReport)
        return readCrashReport(in.crashReport);
    if (isset.quarantines)
        return readQuarantines(in.quarantines);
    if (isset.quarantineDigest)
        return QuarantineDigest{fromWire(in.quarantineDigest.digest), in.quarantineDigest.isReply};
    if (isset.permitRequest)
        return readPermitRequest(in.permitRequest);
    if (isset.permitGrant)
        return readPermitGrant(in.permitGrant);
    if (isset.leaving) {
        if (in.leaving.group.empty() || in.leaving.target.empty())
            return std::nullopt;
        return LeavingMessage{in.leaving.group, {in.leaving.target, fromWire(in.leaving.born)}};
    }
    if (in.hello.linkMbps < 0)
        return std::nullopt;
    return Hello{in.hello.address, in.hello.isReply, static_cast<std::uint32_t>(in.hello.linkMbps)};
}

core::Error decodeError(std::string detail)
{
    return {core::ErrorCode::BadRequest, "decode", {}, std::move(detail)};
}

} // namespace

std::string encode(const GatewayDatagram &datagram)
{
    gatewaywire::Datagram out;
    out.__set_sender(datagram.sender.id);
    out.__set_incarnation(toWire(datagram.sender.incarnation));
    std::visit(MessageWriter{out}, datagram.message);
    return internal::toBytes(out);
}

core::Result<GatewayDatagram> decodeGateway(std::string_view bytes)
{
    if (bytes.size() > internal::datagramLimit)
        return decodeError("larger than a datagram");
    try {
        const auto in = internal::fromBytes<gatewaywire::Datagram>(bytes);
        auto message = readMessage(in);
        if (!message || in.sender.empty())
            return decodeError("no sender, or not one message with values in range");
        return GatewayDatagram{{in.sender, fromWire(in.incarnation)}, std::move(*message)};
    } catch (const std::exception &exception) {
        return decodeError(exception.what());
    }
}

} // namespace sardinehinge::protocol
