namespace cpp sardinehinge.wire

// Messages between daemons, one datagram each. Fields are only ever added, never renumbered.

struct Identity {
  1: string id
  2: i64 incarnation
}

struct PromiseRequest {
  1: string group
  2: i64 term
  3: i64 baseTerm
}

struct PromiseReply {
  1: string group
  2: i64 term
  3: bool granted
  4: i64 promisedTerm
  5: i64 baseTerm
}

struct Heartbeat {
  1: string group
  2: i64 term
  3: i64 baseTerm
  4: i64 sentAt
}

struct HeartbeatAck {
  1: string group
  2: i64 term
  3: i64 baseTerm
  4: i64 sentAt
}

struct Piece {
  1: string document
  2: i64 revision
  3: i32 total
  4: i32 offset
  5: binary bytes
}

struct Fetch {
  1: string document
  2: i64 revision
}

struct Digest {
  1: i64 hash
  2: i64 storeAgeMs
  3: bool isReply
}

struct DocumentRevision {
  1: string document
  2: i64 revision
}

struct DigestList {
  1: list<DocumentRevision> revisions
  2: bool isReply
}

struct RevisionQuery {
  1: string document
  2: i64 token
}

struct RevisionReply {
  1: string document
  2: i64 token
  3: i64 revision
}

struct SlotDemand {
  1: string target
  2: i32 slots
  3: i32 longSlots
  4: i64 wantedShort
  5: i64 wantedLong
  6: i64 grantedShort
  7: i64 grantedLong
  8: i64 finishedShort
  9: i64 finishedLong
}

struct SlotGrant {
  1: string target
  2: i64 grantedShort
  3: i64 grantedLong
  4: bool isCalm
}

union Body {
  1: PromiseRequest promiseRequest
  2: PromiseReply promiseReply
  3: Heartbeat heartbeat
  4: HeartbeatAck heartbeatAck
  5: Piece piece
  6: Fetch fetch
  7: Digest digest
  8: DigestList digestList
  9: RevisionQuery revisionQuery
  10: RevisionReply revisionReply
  11: SlotDemand slotDemand
  12: SlotGrant slotGrant
}

struct Envelope {
  1: Identity sender
  2: string recipient
  3: i64 stampWall      // hybrid logical clock of the sender: microseconds
  4: i32 stampCount     // and events within the microsecond
  5: Body body
}
