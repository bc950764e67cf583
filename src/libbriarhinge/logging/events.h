#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace briarhinge::logging
{

/** Severity of an event for operators. */
enum class Level {
    Info,
    Warning,
    Error,
};

/** A kind of log event. Its number is stable and never reused for another meaning. */
struct EventKind
{
    std::uint16_t number;
    std::string_view name;
    Level level;
};

/** Catalogue of all events; docs/EVENTS.md says how to react to each. */
namespace events
{

inline constexpr EventKind processStarted{100, "process-started", Level::Info};
inline constexpr EventKind processStopping{101, "process-stopping", Level::Info};
inline constexpr EventKind processStopped{102, "process-stopped", Level::Info};
inline constexpr EventKind settingsRefused{103, "settings-refused", Level::Error};
inline constexpr EventKind stoppedEarly{104, "stopped-early", Level::Warning};
inline constexpr EventKind badFrame{200, "bad-frame", Level::Warning};
inline constexpr EventKind peerConnected{201, "peer-connected", Level::Info};
inline constexpr EventKind peerLost{202, "peer-lost", Level::Info};
inline constexpr EventKind platformUnavailable{300, "platform-unavailable", Level::Warning};
inline constexpr EventKind platformAvailable{301, "platform-available", Level::Info};
inline constexpr EventKind platformAnswerLost{302, "platform-answer-lost", Level::Warning};
inline constexpr EventKind ownerSuperseded{310, "owner-superseded", Level::Warning};
inline constexpr EventKind leaseLapsed{311, "lease-lapsed", Level::Warning};
inline constexpr EventKind entryTakenOver{312, "entry-taken-over", Level::Warning};
inline constexpr EventKind takeoverFailed{313, "takeover-failed", Level::Warning};
inline constexpr EventKind partitionsAdopted{314, "partitions-adopted", Level::Info};
inline constexpr EventKind partitionsHandedOver{315, "partitions-handed-over", Level::Info};
inline constexpr EventKind badPartitionTable{316, "bad-partition-table", Level::Error};
inline constexpr EventKind requestRefused{400, "request-refused", Level::Info};
inline constexpr EventKind callFinished{401, "call-finished", Level::Info};
inline constexpr EventKind callRetried{402, "call-retried", Level::Info};
inline constexpr EventKind upstreamFailed{500, "upstream-failed", Level::Warning};
inline constexpr EventKind upstreamDraining{501, "upstream-draining", Level::Info};
inline constexpr EventKind callRepeated{510, "call-repeated", Level::Info};
inline constexpr EventKind callShed{511, "call-shed", Level::Warning};
inline constexpr EventKind upstreamSilent{512, "upstream-silent", Level::Warning};
inline constexpr EventKind requestSuspected{513, "request-suspected", Level::Warning};
inline constexpr EventKind requestQuarantined{514, "request-quarantined", Level::Error};
inline constexpr EventKind callCutOff{515, "call-cut-off", Level::Warning};
inline constexpr EventKind callStalled{540, "call-stalled", Level::Warning};
inline constexpr EventKind callSuspected{541, "call-suspected", Level::Warning};
inline constexpr EventKind callLimited{542, "call-limited", Level::Info};
inline constexpr EventKind upstreamLimited{543, "upstream-limited", Level::Warning};
inline constexpr EventKind configurationInForce{700, "configuration-in-force", Level::Info};
inline constexpr EventKind configurationRefused{701, "configuration-refused", Level::Error};
inline constexpr EventKind configurationGap{702, "configuration-gap", Level::Warning};
inline constexpr EventKind configurationFromPeers{703, "configuration-from-peers", Level::Warning};
inline constexpr EventKind operatorDrain{704, "operator-drain", Level::Info};
inline constexpr EventKind settingsReloaded{105, "settings-reloaded", Level::Info};
inline constexpr EventKind linesDropped{106, "lines-dropped", Level::Warning};
inline constexpr EventKind diskFailing{600, "disk-failing", Level::Error};
inline constexpr EventKind diskRecovered{601, "disk-recovered", Level::Info};
inline constexpr EventKind groupAdopted{610, "group-adopted", Level::Info};
inline constexpr EventKind groupProposed{611, "group-proposed", Level::Info};
inline constexpr EventKind stateFetched{612, "state-fetched", Level::Info};
inline constexpr EventKind retirement{613, "retirement", Level::Info};
inline constexpr EventKind storeUnreachable{614, "store-unreachable", Level::Warning};
inline constexpr EventKind groupTooSmall{615, "group-too-small", Level::Error};
inline constexpr EventKind turnsRepaired{616, "turns-repaired", Level::Info};
inline constexpr EventKind runnerChanged{620, "runner-changed", Level::Info};
inline constexpr EventKind badEntry{621, "bad-entry", Level::Warning};
inline constexpr EventKind routesInForce{622, "routes-in-force", Level::Info};
inline constexpr EventKind deploymentBorrowed{623, "deployment-borrowed", Level::Warning};
inline constexpr EventKind readinessChanged{630, "readiness-changed", Level::Info};
inline constexpr EventKind exchangeEnded{640, "exchange-ended", Level::Info};
inline constexpr EventKind exchangeFailed{641, "exchange-failed", Level::Warning};
inline constexpr EventKind attemptFailed{642, "attempt-failed", Level::Warning};
inline constexpr EventKind turnNotKept{643, "turn-not-kept", Level::Warning};
inline constexpr EventKind runnerChecked{644, "runner-checked", Level::Warning};
inline constexpr EventKind crashRecorded{645, "crash-recorded", Level::Warning};
inline constexpr EventKind digestQuarantined{646, "digest-quarantined", Level::Error};
inline constexpr EventKind runnerLeaving{647, "runner-leaving", Level::Info};
inline constexpr EventKind runnerLimited{648, "runner-limited", Level::Warning};
inline constexpr EventKind secondTry{649, "second-try", Level::Info};
inline constexpr EventKind callersTurnedAway{650, "callers-turned-away", Level::Warning};
inline constexpr EventKind invariantViolated{900, "invariant-violated", Level::Error};

// clang-format off
inline constexpr std::array all{
    processStarted,
    processStopping,
    processStopped,
    settingsRefused,
    stoppedEarly,
    badFrame,
    peerConnected,
    peerLost,
    platformUnavailable,
    platformAvailable,
    platformAnswerLost,
    ownerSuperseded,
    leaseLapsed,
    entryTakenOver,
    takeoverFailed,
    partitionsAdopted,
    partitionsHandedOver,
    badPartitionTable,
    requestRefused,
    callFinished,
    callRetried,
    upstreamFailed,
    upstreamDraining,
    callRepeated,
    callShed,
    upstreamSilent,
    requestSuspected,
    requestQuarantined,
    callCutOff,
    callStalled,
    callSuspected,
    callLimited,
    upstreamLimited,
    configurationInForce,
    configurationRefused,
    configurationGap,
    configurationFromPeers,
    operatorDrain,
    settingsReloaded,
    linesDropped,
    diskFailing,
    diskRecovered,
    groupAdopted,
    groupProposed,
    stateFetched,
    retirement,
    storeUnreachable,
    groupTooSmall,
    turnsRepaired,
    runnerChanged,
    badEntry,
    routesInForce,
    deploymentBorrowed,
    readinessChanged,
    exchangeEnded,
    exchangeFailed,
    attemptFailed,
    turnNotKept,
    runnerChecked,
    crashRecorded,
    digestQuarantined,
    runnerLeaving,
    runnerLimited,
    secondTry,
    callersTurnedAway,
    invariantViolated,
};
// clang-format on

}

}
