#pragma once

#include <cstdint>

/// Event numbers on the time line and in the log. docs/EVENTS.md describes each number;
/// tests/process/events_catalogue.sh compares the two lists.
namespace sardinehinge::core::events {

// 100-199: election of controllers and shard ownership.
constexpr std::uint32_t candidacyStarted = 100;
constexpr std::uint32_t stewardshipStarted = 101;
constexpr std::uint32_t controlStarted = 102;
constexpr std::uint32_t steppedDown = 103;
constexpr std::uint32_t witnessSilent = 104;
constexpr std::uint32_t assignmentWritten = 110;
constexpr std::uint32_t movesPlanned = 111;
constexpr std::uint32_t targetLost = 120;
constexpr std::uint32_t targetReported = 121;

// 200-299: documents and the platform (store and watches).
constexpr std::uint32_t documentInForce = 200;
constexpr std::uint32_t documentRefused = 201;
constexpr std::uint32_t storeUnreachable = 210;
constexpr std::uint32_t storeReachable = 211;
constexpr std::uint32_t watchStarted = 212;
constexpr std::uint32_t watchStopped = 213;
constexpr std::uint32_t writeAnswerLost = 214;

// 300-399: requests.
constexpr std::uint32_t requestOutcomeUnknown = 300;

// 400-499: daemon process and peers.
constexpr std::uint32_t daemonStarted = 400;
constexpr std::uint32_t drainStarted = 401;
constexpr std::uint32_t daemonStopped = 402;
constexpr std::uint32_t peerMessageRefused = 404;

// 500-599: operator commands.
constexpr std::uint32_t workspaceApplied = 500;
constexpr std::uint32_t workspaceApplyRefused = 501;

// 600-699: gateway.
constexpr std::uint32_t gatewayConfigInForce = 600;
constexpr std::uint32_t gatewayConfigRefused = 601;
constexpr std::uint32_t targetRegistered = 602;
constexpr std::uint32_t targetDraining = 603;
constexpr std::uint32_t targetRemoved = 604;
constexpr std::uint32_t targetEntryRefused = 605;
constexpr std::uint32_t platformUnreachable = 606;
constexpr std::uint32_t platformReachable = 607;
constexpr std::uint32_t settingsReloaded = 608;
constexpr std::uint32_t logLinesDropped = 609;
constexpr std::uint32_t rangeControlClaimed = 610;
constexpr std::uint32_t rangeControlStarted = 611;
constexpr std::uint32_t rangeControlEnded = 612;
constexpr std::uint32_t rangeGranted = 613;
constexpr std::uint32_t rangeReleasing = 614;
constexpr std::uint32_t rangeLeaseExpiring = 615;
constexpr std::uint32_t rangeFree = 616;
constexpr std::uint32_t rangesRecorded = 617;
constexpr std::uint32_t keyRefused = 618;
constexpr std::uint32_t ownersAnnounced = 619;
constexpr std::uint32_t gatewayRequestEnded = 620;
constexpr std::uint32_t peerJoined = 622;
constexpr std::uint32_t watchModeChanged = 623;
constexpr std::uint32_t taskFailed = 624;
constexpr std::uint32_t storeEraSeen = 625;
constexpr std::uint32_t targetEntryOutdated = 626;
constexpr std::uint32_t rangeRestoreNeeded = 627;
constexpr std::uint32_t callerConnectionClosed = 628;
constexpr std::uint32_t gatewayConfigPartRefused = 629;
constexpr std::uint32_t targetBeliefBegan = 630;
constexpr std::uint32_t targetBeliefEnded = 631;
constexpr std::uint32_t targetLeavingTold = 632;
constexpr std::uint32_t permitCoordinatorSilent = 633;
constexpr std::uint32_t watchCut = 634;
constexpr std::uint32_t targetVanished = 635;
constexpr std::uint32_t gatewayConfigReceived = 636;
constexpr std::uint32_t feedReadFailed = 637;
constexpr std::uint32_t dutyLate = 638;
constexpr std::uint32_t rangeControlLoad = 639;
constexpr std::uint32_t targetProbed = 640;
constexpr std::uint32_t crashCounted = 641;
constexpr std::uint32_t requestQuarantined = 642;
constexpr std::uint32_t quarantineEnded = 643;
constexpr std::uint32_t heldBytesRefused = 660;
constexpr std::uint32_t callerDisplaced = 661;
constexpr std::uint32_t evacuationBegan = 670;
constexpr std::uint32_t evacuationEnded = 671;
constexpr std::uint32_t evacuationComplete = 672;
constexpr std::uint32_t targetCold = 673;
constexpr std::uint32_t spillBegan = 680;
constexpr std::uint32_t spillEnded = 681;

} // namespace sardinehinge::core::events
