#include <sardinehinge/edges/ownershipcodec.h>

#include "jsonreader.h"

namespace sardinehinge::edges {

using internal::decodeError;
using internal::JsonReader;
using internal::parseObject;
using internal::toText;

namespace {

QJsonArray writeShards(const std::vector<core::ShardEpoch> &shards)
{
    QJsonArray array;
    for (const auto &[shard, epoch] : shards)
        array.append(QJsonArray{static_cast<qint64>(shard), static_cast<qint64>(epoch)});
    return array;
}

std::vector<core::ShardEpoch> readShards(const QJsonArray &array)
{
    std::vector<core::ShardEpoch> shards;
    for (const QJsonValue value : array) {
        const QJsonArray pair = value.toArray();
        shards.push_back(
            {static_cast<std::uint32_t>(pair.at(0).toInteger()), static_cast<std::uint64_t>(pair.at(1).toInteger())});
    }
    return shards;
}

/// 64-bit values that may exceed 2^53 travel as strings.
QJsonValue wide(std::int64_t value)
{
    return QString::number(value);
}

std::int64_t readWide(JsonReader &reader, const char *name)
{
    return QString::fromStdString(reader.string(name, "0")).toLongLong();
}

} // namespace

std::string encodeOrder(const core::TargetOrder &order)
{
    return toText({{"group", QString::fromStdString(order.group)},
                   {"term", static_cast<qint64>(order.term)},
                   {"sequence", static_cast<qint64>(order.sequence)},
                   {"incarnation", wide(static_cast<std::int64_t>(order.targetIncarnation))},
                   {"anchor", wide(order.anchor)},
                   {"leaseMs", static_cast<qint64>(order.lease / std::chrono::milliseconds(1))},
                   {"grants", writeShards(order.grants)},
                   {"releases", writeShards(order.releases)}});
}

core::Result<core::TargetOrder> decodeOrder(const std::string &json)
{
    std::vector<std::string> faults;
    JsonReader reader(parseObject(json, faults), {}, faults);
    core::TargetOrder order;
    order.group = reader.string("group", {}, true);
    order.term = reader.number("term", 0, true);
    order.sequence = reader.number("sequence", 0, true);
    order.targetIncarnation = static_cast<std::uint64_t>(readWide(reader, "incarnation"));
    order.anchor = readWide(reader, "anchor");
    order.lease = std::chrono::milliseconds(static_cast<std::int64_t>(reader.number("leaseMs", 0, true)));
    order.grants = readShards(reader.array("grants"));
    order.releases = readShards(reader.array("releases"));
    if (!faults.empty())
        return decodeError(faults);
    return order;
}

std::string encodeReport(const core::TargetReport &report)
{
    return toText({{"group", QString::fromStdString(report.group)},
                   {"term", static_cast<qint64>(report.term)},
                   {"sequence", static_cast<qint64>(report.sequence)},
                   {"accepted", report.accepted},
                   {"incarnation", wide(static_cast<std::int64_t>(report.incarnation))},
                   {"clock", wide(report.clock)},
                   {"held", writeShards(report.held)}});
}

core::Result<core::TargetReport> decodeReport(const std::string &json)
{
    std::vector<std::string> faults;
    JsonReader reader(parseObject(json, faults), {}, faults);
    core::TargetReport report;
    report.group = reader.string("group", {}, true);
    report.term = reader.number("term", 0, true);
    report.sequence = reader.number("sequence", 0, true);
    report.accepted = reader.boolean("accepted", false);
    report.incarnation = static_cast<std::uint64_t>(readWide(reader, "incarnation"));
    report.clock = readWide(reader, "clock");
    report.held = readShards(reader.array("held"));
    if (!faults.empty())
        return decodeError(faults);
    return report;
}

} // namespace sardinehinge::edges
