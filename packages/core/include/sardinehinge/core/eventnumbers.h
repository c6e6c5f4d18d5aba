#pragma once

#include <cstdint>

/// Numbers of the events on the time line and in the log. docs/EVENTS.md describes each; a test compares the two.
namespace sardinehinge::core::events {

// 100-199: control of shard owners.
constexpr std::uint32_t candidacyStarted = 100;
constexpr std::uint32_t stewardshipStarted = 101;
constexpr std::uint32_t controlStarted = 102;
constexpr std::uint32_t steppedDown = 103;
constexpr std::uint32_t witnessSilent = 104;
constexpr std::uint32_t assignmentWritten = 110;
constexpr std::uint32_t movesPlanned = 111;
constexpr std::uint32_t targetLost = 120;
constexpr std::uint32_t targetReported = 121;

// 200-299: documents and the platform.
constexpr std::uint32_t documentInForce = 200;
constexpr std::uint32_t documentRefused = 201;
constexpr std::uint32_t storeLost = 210;
constexpr std::uint32_t storeBack = 211;
constexpr std::uint32_t watchStarted = 212;
constexpr std::uint32_t watchStopped = 213;
constexpr std::uint32_t writeAnswerLost = 214;

// 300-399: requests.
constexpr std::uint32_t requestOutcomeUnknown = 300;

// 400-499: the process.
constexpr std::uint32_t daemonStarted = 400;
constexpr std::uint32_t drainStarted = 401;
constexpr std::uint32_t daemonStopped = 402;
constexpr std::uint32_t peerMessageRefused = 404;

// 500-599: operators.
constexpr std::uint32_t workspaceApplied = 500;
constexpr std::uint32_t workspaceApplyRefused = 501;

} // namespace sardinehinge::core::events
