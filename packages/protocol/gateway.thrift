// Datagrams between gateway daemons. Each stands alone: loss, doubling and reordering are harmless.
namespace cpp sardinehinge.gatewaywire

struct OwnedPart {
  1: i32 last,    // The first key is the one after the part before.
  2: i16 owner,   // Index into the table of owners.
  3: i8 state,
}

struct Owners {
  1: string group,
  2: i64 term,
  3: i64 sequence,
  4: list<string> owners,
  5: list<OwnedPart> parts,
}

struct ChangedPart {
  1: i32 first,
  2: i32 last,
  3: string owner,
  4: i8 state,
}

struct OwnersChange {
  1: string group,
  2: i64 term,
  3: i64 base,
  4: i64 sequence,
  5: list<ChangedPart> parts,
  6: i64 baseTerm,
}

struct Beat {
  1: string group,
  2: i64 term,
  3: i64 sequence,
  4: i64 storeAgeMs,
  5: bool isLeaving,
  6: i64 sentAt,
  7: bool wantsAck,
  8: i64 era,
}

struct Ack {
  1: string group,
  2: i64 term,
  3: i64 sentAt,
  4: i64 era,
}

struct Resigned {
  1: string group,
  2: i64 term,
}

struct OwnersWanted {
  1: string group,
}

struct KeyCount {
  1: i32 key,
  2: i32 count,
}

struct Slowness {
  1: string target,
  2: i32 permille,
}

struct Load {
  1: string group,
  2: list<KeyCount> keys,
  3: list<Slowness> slowness,
}

struct Refused {
  1: string group,
  2: string target,
  3: i32 key,
}

struct FeedPosition {
  1: i64 changedAt,
  2: i64 completeTo,
  3: i64 relistedAt,
  4: i64 era,
}

struct WatchNotice {
  1: FeedPosition configs,
  2: FeedPosition targets,
  3: i32 ageMs,
  4: FeedPosition evacuations,
  5: list<string> evacuatedDomains,
  6: bool hasEvacuatedDomains,  // False: too many for a notice.
}

struct TargetChange {
  1: string id,
  2: bool isThere,  // False: it was deleted, or can't be read; the rest is empty then.
  3: i64 born,
  4: string group,
  5: string address,
  6: string failureDomain,
  7: i32 capacity,
  8: bool isDraining,
  9: i32 warmupMs,
  10: i64 sequence,
}

struct TargetChanges {
  1: i64 base,      // Store revision of the change before these.
  2: i64 revision,
  3: list<TargetChange> changes,
  4: i64 era,
}

struct Leaving {
  1: string group,
  2: string target,
  3: i64 born,
}

struct PermitRequest {
  1: string group,
  2: string target,
  3: i64 born,
  4: double rate,     // Requests a second.
  5: i32 wanted,
  6: i32 maxWaitMs,
  7: i64 number,
}

struct PermitGrant {
  1: string group,
  2: string target,
  3: i64 born,
  4: i64 number,
  5: i32 count,
  6: i64 startsInUs,
  7: i64 intervalUs,
  8: i64 retryInUs,
}

struct Fingerprint {
  1: i64 high,
  2: i64 low,
}

struct CrashReport {
  1: Fingerprint request,
  2: string target,
  3: i64 born,
  4: i64 sentAgoMs,
  5: i64 endedAgoMs,
  6: i32 copies,
}

struct Quarantine {
  1: Fingerprint request,
  2: i32 generation,
  3: i64 evidenceAgeMs,
  4: i64 timeLeftMs,
}

struct Quarantines {
  1: list<Quarantine> entries,
}

struct QuarantineDigest {
  1: i64 digest,
  2: bool isReply,
}

struct Hello {
  1: string address,
  2: bool isReply,
  3: i32 linkMbps,
}

struct Datagram {
  1: string sender,
  2: i64 incarnation,
  3: optional Owners owners,
  4: optional Beat beat,
  5: optional Resigned resigned,
  6: optional OwnersWanted wanted,
  7: optional Load load,
  8: optional Refused refused,
  9: optional Hello hello,
  10: optional Ack ack,
  11: optional OwnersChange ownersChange,
  12: optional WatchNotice watchNotice,
  13: optional TargetChanges targetChanges,
  14: optional Leaving leaving,
  15: optional PermitRequest permitRequest,
  16: optional PermitGrant permitGrant,
  17: optional CrashReport crashReport,
  18: optional Quarantines quarantines,
  19: optional QuarantineDigest quarantineDigest,
}
