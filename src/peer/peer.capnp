@0xb1f0a9d8c7e65432;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("tamarack::wire");

struct RequestId {
    incarnation @0 :UInt64;
    sequence @1 :UInt64;
}

struct EntryReport {
    name @0 :Text;
    incarnation @1 :UInt64;
    generation @2 :UInt64;
    queuedByTier @3 :List(UInt32);
    inFlight @4 :UInt32;
}

struct FingerprintReport {
    fingerprint @0 :UInt64;
    crash @1 :UInt64;
    cleared @2 :Bool;
}

struct DemandRow {
    target @0 :Text;
    tier @1 :UInt8;
    workspace @2 :Text;
    count @3 :UInt32;
    promptTokens @4 :UInt32;
}

struct Credit {
    id @0 :UInt64;
    target @1 :Text;
    tier @2 :UInt8;
    workspace @3 :Text;
    lifeMs @4 :UInt32;
    backlogMs @5 :UInt32;
    microsPerPromptToken @6 :UInt32;
}

struct PeerMessage {
    union {
        entryHeartbeat :group {
            report @0 :EntryReport;
            wantedLevel @1 :UInt8;
            closedLevel @2 :UInt8;
            upstreamLeaving @60 :Bool;
            promisedLevel @61 :UInt8;
        }
        gateHeartbeat :group {
            generation @3 :UInt64;
            engineUp @4 :Bool;
            leaving @5 :Bool;
            targets @6 :List(Text);
            inFlight @7 :UInt32;
            limit @8 :UInt32;
            wantedLevel @9 :UInt8;
            closedLevel @10 :UInt8;
            promisedLevel @62 :UInt8;
            entries @11 :List(EntryReport);
        }
        demand @12 :List(DemandRow);
        grant @13 :List(Credit);
        returnCredits @14 :List(UInt64);
        dispatch :group {
            request @15 :RequestId;
            credit @16 :UInt64;
            gate @17 :UInt64;
            target @18 :Text;
            tier @19 :UInt8;
            workspace @20 :Text;
            fingerprint @21 :UInt64;
            remainingMs @22 :UInt32;
            promptTokens @23 :UInt32;
            alone @24 :Bool;
            keyed @25 :Bool;
            method @26 :Text;
            path @27 :Text;
            contentType @28 :Text;
            body @29 :Data;
            stream @30 :Bool;
            heldMs @59 :UInt32;
        }
        accepted @31 :RequestId;
        refused :group {
            request @32 :RequestId;
            credit @33 :UInt64;
            kind @34 :UInt8;
        }
        answerHead :group {
            request @35 :RequestId;
            status @36 :UInt16;
            contentType @37 :Text;
        }
        answerChunk :group {
            request @38 :RequestId;
            offset @39 :UInt64;
            bytes @40 :Data;
        }
        answerEnd :group {
            request @41 :RequestId;
            complete @42 :Bool;
            length @43 :UInt64;
            crc @44 :UInt32;
            kind @45 :UInt8;
        }
        answerAck :group {
            request @46 :RequestId;
            offset @47 :UInt64;
            final @48 :Bool;
        }
        cancel @49 :RequestId;
        statusQuery :group {
            request @50 :RequestId;
            credit @51 :UInt64;
            gate @52 :UInt64;
            offset @53 :UInt64;
        }
        statusReply :group {
            request @54 :RequestId;
            fate @55 :UInt8;
        }
        configPush :group {
            generation @56 :UInt64;
            text @57 :Text;
        }
        fingerprintReports @58 :List(FingerprintReport);
        recallCredits @63 :List(UInt64);
    }
}

struct UpstreamLoad {
    upstream @0 :UInt64;
    inFlight @1 :UInt32;
    prefillTokens @2 :UInt32;
}

struct QueueDemand {
    service @0 :Text;
    rank @1 :UInt16;
    waiting @2 :UInt32;
    running @3 :UInt32;
    # The part of `waiting` that can no longer meet its objective.
    late @4 :UInt32;
    # The part of `waiting` that waits for a suitable upstream.
    selective @5 :UInt32;
    arrivalsPerSecond @6 :Float32;
    startsPerSecond @7 :Float32;
}

struct QuotaUse {
    workspace @0 :Text;
    sent @1 :Float64;
    pending @2 :Float64;
}

struct CrashRow {
    fingerprint @0 :UInt64;
    upstream @1 :UInt64;
    ageMs @2 :UInt32;
}

struct UpstreamTerms {
    upstream @0 :UInt64;
    hasLimit @1 :Bool;
    limited @2 :Bool;
    limitPerSecond @3 :Float64;
    limitReadAgeMs @4 :UInt32;
    recentSends @5 :UInt32;
    limitSentAgeMs @6 :UInt32;
    leaving @7 :Bool;
}

struct PartCrash {
    part @0 :UInt64;
    upstream @1 :UInt64;
    ageMs @2 :UInt32;
    position @3 :UInt16;
}

struct PartAnswer {
    part @0 :UInt64;
    ageMs @1 :UInt32;
    count @2 :UInt32;
}

struct EntryLoad {
    name @0 :Text;
    incarnation @1 :UInt64;
    sequence @2 :UInt64;
    configVersion @3 :UInt64;
    loads @4 :List(UpstreamLoad);
    demand @5 :List(QueueDemand);
    quotas @6 :List(QuotaUse);
    crashes @7 :List(CrashRow);
    leaving @8 :Bool;
    dataCentre @9 :Text;
    upstreamRevision @10 :UInt64;
    terms @11 :List(UpstreamTerms);
    partCrashes @12 :List(PartCrash);
    partAnswers @13 :List(PartAnswer);
    upstreamEra @14 :UInt64;
    rollouts @15 :List(RolloutEvidence);
    occupancies @16 :List(UpstreamOccupancy);
    returns @17 :List(ReturnSlot);
    workspaceUses @18 :List(WorkspaceUse);
}

# What an entry has seen of the requests to one side of a roll-out.
struct RolloutEvidence {
    service @0 :Text;
    to @1 :Text;
    # Revision at which the order was created, and the latest one that the sender knows.
    created @2 :UInt64;
    revision @3 :UInt64;
    verdict @4 :UInt8;
    orderAgeMs @5 :UInt32;
    hasProof @6 :Bool;
    proofAgeMs @7 :UInt32;
    failedUpstreams @8 :UInt64;
    slowUpstreams @9 :UInt64;
    tallies @10 :List(RolloutTally);
}

# Answers of one side to requests of one kind, counted since the order.
struct RolloutTally {
    isNew @0 :Bool;
    routeTier @1 :UInt8;
    answers @2 :UInt32;
    failures @3 :UInt32;
    slow @4 :UInt32;
}

# What an upstream stated last of its load.
struct UpstreamOccupancy {
    upstream @0 :UInt64;
    running @1 :UInt32;
    waiting @2 :UInt32;
    slots @3 :UInt32;
    # Relative to the usual time; 0: not stated.
    pace @4 :Float32;
    ageMs @5 :UInt32;
}

# Refused requests that are expected back.
struct ReturnSlot {
    service @0 :Text;
    rank @1 :UInt16;
    # Clients by slot of 250 ms; the first slot is that of the message.
    counts @2 :List(UInt16);
}

# What a workspace that is not at rest uses of a service.
struct WorkspaceUse {
}

# What an entry tells other exchange groups about its own. The lists are of equal length.
struct GroupDigest {
    teller @0 :UInt64;
    heard @1 :List(UInt64);
    agesMs @2 :List(UInt16);
}

struct UpstreamChange {
    id @0 :Text;
    service @1 :Text;
    address @2 :Text;
    dataCentre @3 :Text;
    slots @4 :UInt32;
    draining @5 :Bool;
    born @6 :UInt64;
    removed @7 :Bool;
    version @8 :Text;
}

# The upstream incarnation that wrote the first event of a stream.
struct StreamOrigin {
    stream @0 :UInt64;
    upstream @1 :Text;
    born @2 :UInt64;
    version @3 :Text;
    ambiguous @4 :Bool;
}

struct OriginRequest {
    requester @0 :UInt64;
    stream @1 :UInt64;
}

struct OriginResponse {
    requester @0 :UInt64;
    stream @1 :UInt64;
    known @2 :Bool;
    origin @3 :StreamOrigin;
}

struct StoreAsk {
    asker @0 :UInt64;
    askedAtNs @1 :Int64;
    upstreamRevision @2 :UInt64;
    upstreamEra @3 :UInt64;
}

struct StoreAnswer {
    asker @0 :UInt64;
    askedAtNs @1 :Int64;
    configVersion @2 :UInt64;
    ageMs @3 :UInt32;
    hasUpstreams @4 :Bool;
    upstreamRevision @5 :UInt64;
    upstreamChanges @6 :List(UpstreamChange);
    upstreamSince @7 :UInt64;
    # Era of the store, also of `upstreamSince` and `upstreamRevision`.
    storeEra @8 :UInt64;
}

struct EntryMessage {
    union {
        load @0 :EntryLoad;
        storeAsk @1 :StoreAsk;
        storeAnswer @2 :StoreAnswer;
        streamOrigin @3 :StreamOrigin;
        originRequest @4 :OriginRequest;
        originResponse @5 :OriginResponse;
        groupDigest @6 :GroupDigest;
    }
}
