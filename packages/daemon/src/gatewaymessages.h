#pragma once

#include <sardinehinge/core/gatewayrouter.h>
#include <sardinehinge/core/rangecontrol.h>

#include <variant>

/// What the two duties of a gateway say to each other through their rings.
namespace sardinehinge::daemon {

struct GatewayConfigUpdate
{
    core::GatewayConfig config;
    core::Time sentAt{};
};

struct GatewayTargetsUpdate
{
    std::vector<core::RegisteredTarget> targets;
    core::Time sentAt{};
};

struct GatewayOwnersUpdate
{
    core::RangeOwners owners;
};

struct GatewayDaemonsUpdate
{
    std::size_t count = 1;
};

/// What a target said about itself in the answer to an order.
struct GatewayTargetNotice
{
    std::string service;
    core::TargetIdentity target;
    core::TargetNotice notice;
};

/// Control duty to traffic duty.
using ToTraffic = std::variant<GatewayConfigUpdate, GatewayTargetsUpdate, GatewayOwnersUpdate, GatewayDaemonsUpdate,
                               GatewayTargetNotice, core::PermitGrant, core::Quarantine>;

struct ServiceKeyLoad
{
    std::string service;
    core::KeyLoadReport report;
};

/// Traffic duty to control duty.
using FromTraffic = std::variant<ServiceKeyLoad, core::OwnerRefused, core::TargetBelief, core::AskPermits,
                                 core::TargetCrashed, core::QuarantineRefuted>;

} // namespace sardinehinge::daemon
