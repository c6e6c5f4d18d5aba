#pragma once

#include <sardinehinge/core/messages.h>
#include <sardinehinge/core/result.h>

#include <string>

namespace sardinehinge::edges {

/// Orders and reports as JSON, the form in which targets take them: see docs/API.md.
std::string encodeOrder(const core::TargetOrder &order);
core::Result<core::TargetOrder> decodeOrder(const std::string &json);
std::string encodeReport(const core::TargetReport &report);
core::Result<core::TargetReport> decodeReport(const std::string &json);

/// Header fields of requests to targets and of their answers.
constexpr const char *groupHeader = "Sardinehinge-Group";
constexpr const char *shardHeader = "Sardinehinge-Shard";
constexpr const char *epochHeader = "Sardinehinge-Epoch";
constexpr const char *deadlineHeader = "Sardinehinge-Deadline-Ms";
constexpr const char *requestIdHeader = "X-Request-Id";
/// In an answer: the request was not started; the value is `overloaded`, `not-owner` or `leaving`.
constexpr const char *notStartedHeader = "Sardinehinge-Not-Started";
/// In an answer: the request ran, but the shard's lease had ended when it was done.
constexpr const char *leaseLostHeader = "Sardinehinge-Lease-Lost";
/// Where targets take orders.
constexpr const char *orderPath = "/sardinehinge/order";

} // namespace sardinehinge::edges
